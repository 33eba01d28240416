"""A gate as its document states it."""

from collections.abc import Iterator, Sequence
from typing import Any, Literal

import msgspec

#: What the jobs that work on a gate do, in the order in which an edition needs them.
GATE_ACTIONS = ("rebuild", "approval", "publication", "withdrawal")


class GateActionRule(
    msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True
):
    """The jobs that perform an act: of this class and, if one is named, of this team."""

    job_class: str
    team: str = ""

    def is_by(self, job_class: str, team: str) -> bool:
        """Whether a job of that class and team performs it."""
        return self.job_class == job_class and self.team in ("", team)

    def overlaps(self, other: "GateActionRule") -> bool:
        """Whether some job would perform both."""
        teams = {self.team, other.team}
        return self.job_class == other.job_class and (len(teams) == 1 or "" in teams)

    def __str__(self) -> str:
        team = f" of team {self.team}" if self.team else ""
        return f"a job of class {self.job_class}{team}"


class Gate(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True):
    """What holds jobs of some classes until an edition is approved and published.

    ``rebuild``, ``approval`` and ``publication`` name the jobs that make an edition, approve
    and publish it; those of ``withdrawal``, if there are any, take an approval back.
    ``former``: what becomes of work that was released for the former edition when a rebuild
    begins or an approval is withdrawn: it finishes, or is stopped and held.
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
        """Iterate over what is wrong with it: field, and why."""
        if not self.holds:
            yield ["holds"], "it holds no class"
        acts = dict(self.acts())
        for field, act in acts.items():
            if act.job_class in self.holds:
                yield [field], "a job that opens the gate would wait for it"
            for other in GATE_ACTIONS[: GATE_ACTIONS.index(field)]:
                if other in acts and act.overlaps(acts[other]):
                    yield [field], f"the same jobs as its {other}"

    def acts(self) -> Iterator[tuple[str, GateActionRule]]:
        """Iterate over its acts and who performs them."""
        for name in GATE_ACTIONS:
            act: GateActionRule | None = getattr(self, name)
            if act is not None:
                yield name, act

    def act_of(self, job_class: str, team: str) -> str:
        """Return the act that a job of a class and a team performs; "" if none."""
        return next((name for name, act in self.acts() if act.is_by(job_class, team)), "")

    def holds_job(self, job_class: str, team: str) -> bool:
        """Whether it holds jobs of a class and a team."""
        return job_class in self.holds and (not self.teams or team in self.teams)


def clashes(gates: Sequence[Gate]) -> Iterator[tuple[int, list[Any], str]]:
    """Iterate over what is wrong between gates: which one, its field, and why.

    A job waits for one gate at most and works on one at most, so that none waits in a circle.
    """
    for number, gate in enumerate(gates):
        for other in gates[:number]:
            teams = set(gate.teams) & set(other.teams) or not (gate.teams and other.teams)
            if teams and set(gate.holds) & set(other.holds):
                yield number, ["holds"], f"gate {other.name} holds the same jobs"
            for name, act in gate.acts():
                if any(act.overlaps(known) for _, known in other.acts()):
                    yield number, [name], f"the same jobs work on gate {other.name}"
        for other in gates:
            if other is gate:
                continue
            for name, act in gate.acts():
                if act.job_class in other.holds:
                    yield number, [name], f"gate {other.name} holds these jobs"
