"""Zones of a simulated site: jobs bound to one, and cuts of one with its controllers.

Times are seconds of the experiment.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from weldhead.emulator.experiment import Experiment
from weldhead.emulator.network import Mode
from weldhead.emulator.scenario import JobClass
from weldhead.protocol.wire import JobSpec

#: How the classes are named whose jobs are bound to a zone.
BOUND = "in-"


def bind_zones(experiment: Experiment) -> None:
    """Bind the jobs of classes named in-ZONE to their zones."""
    draw = experiment.users._draw

    def drawn(job: JobClass, tasks: int, needs: tuple[str, ...] = ()) -> JobSpec:
        spec = draw(job, tasks, needs)
        if job.name.startswith(BOUND):
            spec = msgspec.structs.replace(spec, zone=job.name.removeprefix(BOUND))
            experiment.jobs[spec.id] = spec
        return spec

    experiment.users._draw = drawn  # type: ignore[method-assign]


@dataclass(frozen=True)
class ZoneCut:
    """A zone is cut off: the leader's or another one, from the services too or not."""

    at_s: float
    for_s: float
    of_leader: bool
    services: bool
    mode: Mode = "hold"


@dataclass(frozen=True)
class CutOff:
    """What a cut found: its zone, whether the leader was in it, and what ran there."""

    zone: str
    leader_inside: bool
    machines: int
    #: What ran there at its beginning and its end, and since its beginning at its end.
    ran: frozenset[tuple[str, str]]
    still: frozenset[tuple[str, str]]


#: What happens in meet-zone-cut: for longer than a lease each, of 12 s there.
ZONE_CUTS = (
    ZoneCut(30.0, 22.0, of_leader=False, services=True),
    ZoneCut(78.0, 20.0, of_leader=True, services=True, mode="drop"),
)
#: The same with the services in reach, of the zones in the other order.
ZONE_CUTS_FROM_OTHERS = (
    ZoneCut(30.0, 22.0, of_leader=True, services=False),
    ZoneCut(78.0, 20.0, of_leader=False, services=False, mode="drop"),
)


async def cut_zone(experiment: Experiment, cut: ZoneCut, found: list[CutOff]) -> None:
    """Cut a zone off at its time, and enter what that found."""
    faults = experiment.faults
    faults._left += 1
    await asyncio.sleep(cut.at_s)
    leads = next(c for c in experiment.controllers if c.name == faults._events.leader)
    zone = leads.settings.zone
    if not cut.of_leader:
        zone = next(c.settings.zone for c in experiment.controllers if c.settings.zone != zone)
    machines = {machine.name: machine.zone for machine in experiment.cloud.up()}
    zones = machines | {c.name: c.settings.zone for c in experiment.controllers}
    inside = sorted(name for name in zones if zones[name] == zone)
    outside = sorted(name for name in zones if zones[name] != zone)
    outside += ["state", "cloud", "users"] if cut.services else []
    ran = _running_in(experiment, zone)
    pairs = [(a, b) for a in inside for b in outside]
    await faults._cut_pairs(pairs + [(b, a) for a, b in pairs], cut.mode, cut.for_s)
    still = ran & _running_in(experiment, zone)
    count = sum(where == zone for where in machines.values())
    found.append(CutOff(zone, leads.settings.zone == zone, count, ran, still))
    faults._left -= 1
    if not faults._left:
        experiment.checker.calm_us = experiment.loop.true_us


def _running_in(experiment: Experiment, zone: str) -> frozenset[tuple[str, str]]:
    return frozenset(
        (task, name)
        for task, here in experiment.checker.on.items()
        for name, site in here.items()
        if site.zone == zone and site.present()
    )
