"""The answers that a client returns to its caller about a submission."""

import enum

import msgspec


class Outcome(enum.Enum):
    """How a submission ended: ``unknown`` is not final, all other outcomes are."""

    DONE = "done"
    WITHDRAWN = "withdrawn"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RunAnswer(msgspec.Struct, omit_defaults=True):
    """The outcome of one run of a submission; each run has its own job id.

    ``failed`` describes the failure of the run's command if the client withdrew the run for
    that reason. ``tries`` counts how often the client sent the run. ``suspect`` is true if the
    server already knew the id at the client's first try: either the service repeated the
    request internally, or another client's job has the same id.
    """

    id: str
    outcome: Outcome
    tries: int
    failed: str | None = None
    suspect: bool = False


class Answer(msgspec.Struct, omit_defaults=True):
    """The client's knowledge about a submission, final or not.

    ``known`` describes the submission's state for people. ``status``, ``field`` and ``reason``
    are set if the server refused the job: the HTTP status, the invalid field and the reason.
    At the server's last answer, ``done`` of ``tasks`` tasks were complete; ``late_by_s`` is the
    delay past the deadline that the server expects. ``due_at`` (RFC 3339, UTC) is the time by
    which a calendar requires the job to be finished, ``late`` whether the server expects the
    job to miss that time (None: unknown), ``held_by`` the gate that holds the job back.
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
        """Whether this is the submission's final answer."""
        return self.outcome is not Outcome.UNKNOWN

    @property
    def failed(self) -> str | None:
        """How the last run's command failed, if the client withdrew the run for that reason."""
        return self.runs[-1].failed if self.runs else None
