"""Policies that say, for each job class, when the client repeats or gives up a job."""

from pathlib import Path
from typing import Literal

import msgspec

from weldhead.tomlfiles import build_problem, parse_toml, read_text

Cause = Literal["failed", "withdrawn"]


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The client's reaction to a job that fails, is withdrawn or gets no answer.

    ``repeat`` is the maximum number of times that the client submits the job again, each time
    under a new id (0: never), after a pause of ``pause_s``. ``on`` lists the outcomes after
    which the client does so: ``failed`` (the client withdrew the job because a task's command
    had failed ``fail_after`` times) or ``withdrawn`` (by anyone but this client). With a
    ``fail_after`` of 0 the client never withdraws a job because of failures. ``undecided``
    applies if ``patience_s`` after the first try the client does not know whether the job was
    accepted: ``keep`` trying under the same id, or ``withdraw`` the job.
    """

    repeat: int = 0
    on: tuple[Cause, ...] = ("failed",)
    pause_s: float = 10.0
    fail_after: int = 3
    undecided: Literal["keep", "withdraw"] = "keep"
    patience_s: float = 60.0


class Policies(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"classes": "class"}
):
    """The policies of single job classes, and the default for all other classes."""

    default: Policy = Policy()
    classes: dict[str, Policy] = {}

    def of(self, job_class: str) -> Policy:
        """Return the policy that applies to a job class."""
        return self.classes.get(job_class, self.default)


def parse_policies(source: str, text: str) -> Policies:
    """Decode and check a text of policies; FileProblemError names line and field."""
    policies = parse_toml(source, text, Policies)
    named = [(["class", name], policy) for name, policy in policies.classes.items()]
    for path, policy in [(["default"], policies.default), *named]:
        for field, maximum in (("repeat", 1000), ("fail_after", 1_000_000)):
            if not 0 <= getattr(policy, field) <= maximum:
                raise build_problem(source, text, [*path, field], f"must be 0 to {maximum}")
        for field in ("pause_s", "patience_s"):
            if not 0 <= getattr(policy, field) <= 86_400:
                raise build_problem(source, text, [*path, field], "must be 0 to 86400 seconds")
        if policy.repeat and not policy.on:
            raise build_problem(source, text, [*path, "on"], "must name an outcome")
    return policies


def read_policies(path: Path) -> Policies:
    """Read and check a file of policies; FileProblemError names line and field."""
    return parse_policies(str(path), read_text(path))
