"""A gate as its document states it."""

from collections.abc import Iterator
from typing import Any, Literal

import msgspec


class Act(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True):
    """The jobs that perform an act: of this class and, if one is named, of this team."""

    job_class: str
    team: str = ""

    def is_by(self, job_class: str, team: str) -> bool:
        """Whether a job of that class and team performs it."""
        return self.job_class == job_class and self.team in ("", team)


class Gate(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", omit_defaults=True):
    """What holds jobs of some classes until an edition is approved and published.

    ``rebuild``, ``approval`` and ``publication`` name the jobs that make an edition, approve
    and publish it. ``former``: what becomes of work that was released for the former edition
    when a rebuild begins: it finishes, or is stopped and held.
    """

    name: str
    holds: list[str]
    rebuild: Act
    approval: Act
    publication: Act
    teams: list[str] = []
    former: Literal["finish", "stop"] = "finish"

    def problems(self) -> Iterator[tuple[list[Any], str]]:
        """Iterate over what is wrong with it: field, and why."""
        if not self.holds:
            yield ["holds"], "it holds no class"
        for field in ("rebuild", "approval", "publication"):
            if getattr(self, field).job_class in self.holds:
                yield [field], "a job that opens the gate would wait for it"

    def holds_job(self, job_class: str, team: str) -> bool:
        """Whether it holds jobs of a class and a team."""
        return job_class in self.holds and (not self.teams or team in self.teams)
