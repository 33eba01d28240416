"""How the jobs of a class may be repeated, from a file that says it a class."""

from pathlib import Path
from typing import Literal

import msgspec

from weldhead.tomlfiles import build_problem, parse_toml, read_text

Cause = Literal["failed", "withdrawn"]


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is done about a job that does not get done.

    ``repeat`` is how often it is submitted again under a new id (0: never), ``on`` after
    which outcomes: ``failed`` (it was given up because a task's command had failed
    ``fail_after`` times) or ``withdrawn`` (by anybody but this client). ``fail_after`` 0:
    it is never given up. ``undecided`` is what happens when nothing is known
    ``patience_s`` after the first try: ``keep`` trying under the same id, or ``withdraw`` it.
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
    """Policies by class, and the one of all others."""

    default: Policy = Policy()
    classes: dict[str, Policy] = {}

    def of(self, job_class: str) -> Policy:
        """Return a class's policy."""
        return self.classes.get(job_class, self.default)


def parse_policies(source: str, text: str) -> Policies:
    """Decode and check; FileProblem names line and field."""
    policies = parse_toml(source, text, Policies)
    named = [(["class", name], policy) for name, policy in policies.classes.items()]
    for path, policy in [(["default"], policies.default), *named]:
        for field, most in (("repeat", 1000), ("fail_after", 1_000_000)):
            if not 0 <= getattr(policy, field) <= most:
                raise build_problem(source, text, [*path, field], f"must be 0 to {most}")
        for field in ("pause_s", "patience_s"):
            if not 0 <= getattr(policy, field) <= 86_400:
                raise build_problem(source, text, [*path, field], "must be 0 to 86400 seconds")
        if policy.repeat and not policy.on:
            raise build_problem(source, text, [*path, "on"], "must name an outcome")
    return policies


def read_policies(path: Path) -> Policies:
    """Read a file of policies."""
    return parse_policies(str(path), read_text(path))
