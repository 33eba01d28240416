"""What a caller is told about a submission."""

import enum

import msgspec


class Outcome(enum.Enum):
    """``done``, ``withdrawn`` and ``refused`` are final; ``unknown`` never is."""

    DONE = "done"
    WITHDRAWN = "withdrawn"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RunAnswer(msgspec.Struct, omit_defaults=True):
    """One of a submission's runs, each under an id of its own.

    ``failed`` says how its command failed, where that is why it was withdrawn. ``tries`` is
    how often the submission was sent. ``suspect``: the server knew the id when it got our
    first try; that can be a repeat inside the service, or a job of somebody else.
    """

    id: str
    outcome: Outcome
    tries: int
    failed: str | None = None
    suspect: bool = False


class Answer(msgspec.Struct, omit_defaults=True):
    """What is known about a submission.

    ``known`` says it in words. ``status``, ``field`` and ``reason`` are those of a refusal;
    ``done`` of ``tasks`` tasks were complete when the server last said so; ``late_by_s`` is
    by how much the server expects the deadline to be missed. ``due_at`` (RFC 3339, UTC) is when a
    calendar has it finished, ``late`` whether that is expected to be missed (None: nobody can
    tell), ``held_by`` the gate that holds it.
    """

    key: str
    id: str
    outcome: Outcome
    known: str
    tasks: int = 1
    done: int | None = None
    running: int | None = None
    accepted: bool = False
    status: int | None = None
    field: str | None = None
    reason: str | None = None
    forecast_s: float | None = None
    late_by_s: float | None = None
    late: bool | None = None
    due_at: str | None = None
    held_by: str | None = None
    runs: list[RunAnswer] = []

    @property
    def final(self) -> bool:
        """Whether this is the one final answer."""
        return self.outcome is not Outcome.UNKNOWN

    @property
    def failed(self) -> str | None:
        """How the last run's command failed, if it was given up for that."""
        return self.runs[-1].failed if self.runs else None
