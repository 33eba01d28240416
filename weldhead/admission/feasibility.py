"""Checks whether a job could ever run: within its team's limit, on some machine type."""

from collections.abc import Mapping, Sequence

from weldhead.protocol import http_status
from weldhead.protocol.settings import Team
from weldhead.protocol.validation import WIRE_NAMES, SubmissionRefusedError
from weldhead.protocol.wire import JobSpec, MachineType
from weldhead.quota.amounts import required_units
from weldhead.quota.teams import quota_bounds


def check_feasible(
    spec: JobSpec, teams: Mapping[str, Team], catalog: Sequence[MachineType]
) -> None:
    """Raise SubmissionRefusedError(http_status.UNPROCESSABLE) if the job can never run."""
    team = teams.get(spec.team)
    if team is None:
        raise SubmissionRefusedError(http_status.UNPROCESSABLE, "unknown team", WIRE_NAMES["team"])
    if not any(machine_type.fits(spec) for machine_type in catalog):
        raise SubmissionRefusedError(
            422, "a task fits no allowed machine type", WIRE_NAMES["types"]
        )
    concurrent_tasks = spec.tasks if spec.is_service else 1
    for field, limit in zip(("cpus", "gpus"), quota_bounds(team).limit, strict=True):
        # Integer units are exact: three tasks of 0.1 CPU are within a limit of 0.3.
        if required_units(getattr(spec, field)) * concurrent_tasks > limit:
            raise SubmissionRefusedError(
                http_status.UNPROCESSABLE, "needs more than the team's limit", WIRE_NAMES[field]
            )
