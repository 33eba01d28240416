"""The document that configures a release gate."""

from collections.abc import Iterator, Sequence
from typing import Any, Literal

import msgspec

#: The actions of jobs on a gate, in the order in which an edition needs them.
GATE_ACTIONS = ("rebuild", "approval", "publication", "withdrawal")


class GateActionRule(
    msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True
):
    """Selects the jobs that perform an action: by class and, unless it is empty, by team."""

    job_class: str
    team: str = ""

    def matches(self, job_class: str, team: str) -> bool:
        """Return whether a job of the given class and team performs the action."""
        return self.job_class == job_class and self.team in ("", team)

    def overlaps(self, other: "GateActionRule") -> bool:
        """Return whether a job could match both rules."""
        teams = {self.team, other.team}
        return self.job_class == other.job_class and (len(teams) == 1 or "" in teams)

    def __str__(self) -> str:
        team = f" of team {self.team}" if self.team else ""
        return f"a job of class {self.job_class}{team}"


class Gate(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True):
    """Holds jobs of some classes until an edition is approved and published.

    ``holds`` lists the job classes that the gate holds, and ``teams`` restricts the gate to jobs
    of these teams (empty: all teams).

    ``rebuild``, ``approval`` and ``publication`` select the jobs that make, approve and publish an
    edition. ``withdrawal``, if set, selects the jobs that withdraw an approval.

    ``former`` decides about running tasks that were released for an earlier edition when a rebuild
    begins or an approval is withdrawn: they may finish, or they are stopped and their jobs held.
    """

    name: str
    holds: list[str]
    rebuild: GateActionRule
    approval: GateActionRule
    publication: GateActionRule
    withdrawal: GateActionRule | None = None
    teams: list[str] = []
    former: Literal["finish", "stop"] = "finish"

    def problems(self) -> Iterator[tuple[list[Any], str]]:
        """Iterate over the errors in the document: the path of the field, and the reason."""
        if not self.holds:
            yield ["holds"], "a gate has to hold at least one job class"
        rules = dict(self.action_rules())
        for field, rule in rules.items():
            if rule.job_class in self.holds:
                yield [field], "a job that opens the gate would wait for it"
            for other in GATE_ACTIONS[: GATE_ACTIONS.index(field)]:
                if other in rules and rule.overlaps(rules[other]):
                    yield [field], f"the same jobs also perform its {other}"

    def action_rules(self) -> Iterator[tuple[str, GateActionRule]]:
        """Iterate over the gate's actions and the rules that select the jobs for them."""
        for action in GATE_ACTIONS:
            rule: GateActionRule | None = getattr(self, action)
            if rule is not None:
                yield action, rule

    def action_of(self, job_class: str, team: str) -> str:
        """Return the action that a job of a class and a team performs; "" if there is none."""
        return next(
            (action for action, rule in self.action_rules() if rule.matches(job_class, team)), ""
        )

    def holds_job(self, job_class: str, team: str) -> bool:
        """Return whether the gate holds jobs of a class and a team."""
        return job_class in self.holds and (not self.teams or team in self.teams)


def find_conflicts(gates: Sequence[Gate]) -> Iterator[tuple[int, list[Any], str]]:
    """Iterate over conflicts between gates: the gate's index, the path of its field, the reason.

    A job may be held by at most one gate and act on at most one gate, and a job that acts on a
    gate may not be held by another gate. So no jobs can wait for each other in a cycle.
    """
    for index, gate in enumerate(gates):
        for other in gates[:index]:
            teams = set(gate.teams) & set(other.teams) or not (gate.teams and other.teams)
            if teams and set(gate.holds) & set(other.holds):
                yield index, ["holds"], f"gate {other.name} holds the same jobs"
            for action, rule in gate.action_rules():
                if any(rule.overlaps(other_rule) for _, other_rule in other.action_rules()):
                    yield index, [action], f"the same jobs also act on gate {other.name}"
        for other in gates:
            if other is gate:
                continue
            for action, rule in gate.action_rules():
                if rule.job_class in other.holds:
                    yield index, [action], f"gate {other.name} holds these jobs"
