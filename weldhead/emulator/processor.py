"""What the controllers' work is charged in processor time, where they have a share of a core.

The charges are constants per message and per planning pass, by what it handles, in microseconds
of a whole core; ``loop.py`` adds one for each callback. They are round figures of the order that
the same work was measured to take on one development machine, made once: a run has to repeat
from its seed. ``docs/design/pressure.md`` says what they were taken from and what is left out.
"""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from weldhead.controller.fleet.autoscaler import Autoscaler
from weldhead.controller.scheduling_loop.scheduling_loop import SchedulingLoop
from weldhead.emulator.loop import VirtualLoop
from weldhead.scheduling.forecast.job_forecasts import JobForecasts

#: A controller's start: interpreter and modules.
START_US = 700_000.0
#: One side of an HTTP request and its answer, and what a controller does for it.
REQUEST_US = 250.0
#: One write or reading of a link between controllers.
PACKET_US = 50.0
#: Encoding and decoding, for each byte.
BYTE_US = 0.05
#: A planning pass of each kind, whatever there is to plan.
PASS_US = 180.0
#: Placement: for each task that it starts.
STARTED_TASK_US = 60.0
#: The preemptor and the fleet's size: for each machine.
MACHINE_US = 5.0
#: The fleet's size: for each job that waits, up to as many as it considers.
SIZED_JOB_US = 33.0
#: Forecasts: for each job that is looked at.
FORECAST_JOB_US = 12.0


def request_us(body: bytes | None) -> float:
    """Return what one side of a request is charged."""
    return REQUEST_US + BYTE_US * len(body or b"")


def packet_us(data: bytes) -> float:
    """Return what one side of a link is charged for a write."""
    return PACKET_US + BYTE_US * len(data)


def _placement_us(deciding: SchedulingLoop, _: Any) -> float:
    """Return the charge of a placement pass."""
    return PASS_US + STARTED_TASK_US * len(deciding.last_plan.starts)


def _preemptor_us(deciding: SchedulingLoop, _: Any) -> float:
    """Return the charge of a run of the preemptor."""
    return PASS_US + MACHINE_US * len(deciding._term.cluster.machines)


def _fleet_us(sizing: Autoscaler, _: Any) -> float:
    """Return the charge of a look at the fleet's size."""
    deciding, scene = sizing._scheduling_loop, sizing._scheduling_loop.current_input
    waiting = len(scene.backlog) if scene is not None else 0
    considered = min(waiting, sizing._term.tunables.fleet.most_considered)
    return _preemptor_us(deciding, None) + SIZED_JOB_US * considered


def _forecasts_us(_: JobForecasts, looked: list[Any]) -> float:
    """Return the charge of a look at the forecasts."""
    return PASS_US + FORECAST_JOB_US * len(looked)


#: Whose methods are charged after they have returned, and how much.
_METERS: tuple[tuple[type, str, Callable[[Any, Any], float]], ...] = (
    (SchedulingLoop, "place", _placement_us),
    (SchedulingLoop, "_preempt_for_waiting", _preemptor_us),
    (Autoscaler, "_scale", _fleet_us),
    (Autoscaler, "rent_replacements", _fleet_us),
    (JobForecasts, "refresh", _forecasts_us),
)


@contextmanager
def metered(loop: VirtualLoop, core_share: float) -> Iterator[None]:
    """Charge planning passes in this process while it lasts; nothing without a share."""
    with ExitStack() as changes:
        for owner, name, cost_us in _METERS if core_share else ():
            method = _charged(loop, getattr(owner, name), cost_us)
            changes.enter_context(patch.object(owner, name, method))
        yield


def _charged(
    loop: VirtualLoop, method: Callable[..., Any], cost_us: Callable[[Any, Any], float]
) -> Callable[..., Any]:
    def charged(self: Any, *arguments: Any) -> Any:
        result = method(self, *arguments)
        loop.spend(cost_us(self, result))
        return result

    return charged
