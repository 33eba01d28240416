"""Leaders of stand-in state services, at a clock that the test moves."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar, cast

import msgspec
import pytest

from tests.support.builders import machine_type
from tests.support.settings import SETTINGS
from tests.support.stand_ins import StandInState, StandInWorker
from weldhead.cluster_state.records import (
    LEADER_KEY,
    JobRecord,
    RentalRecord,
    job_key,
)
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.controller.leadership.leader import Leader
from weldhead.controller.leadership.leader_lease import LeaderLease, default_timing
from weldhead.controller.term import Term, TermContext
from weldhead.protocol.settings import parse_settings
from weldhead.protocol.wire import JobSpec
from weldhead.transport.cloud_client import CloudClient
from weldhead.transport.http_client import HttpClient
from weldhead.transport.state_client import StateClient
from weldhead.tunables.defaults import Tunables

T = TypeVar("T")

S = 1_000_000


START = 1_000 * S


#: The modules of a term that read the clock.
CLOCKED = (
    "configuration.calendar_binder",
    "configuration.calendar_keeper",
    "configuration.deadline_table_follower",
    "requests.completions",
    "scheduling_loop.scheduling_loop",
    "workers.command_dispatcher",
    "requests.request_handler",
    "requests.job_status_reader",
    "requests.submission_handler",
    "requests.poll_handler",
    "configuration.gate_binder",
    "configuration.gate_keeper",
    "leadership.leader",
    "workers.heartbeat_handler",
    "requests.job_status",
    "scheduling_loop.preemption_recorder",
    "requests.job_dependencies",
    "scheduling_loop.completion_forecaster",
    "workers.reachability_monitor",
    "leadership.term_recovery",
    "fleet.rental_manager",
    "fleet.autoscaler",
    "term",
    "workers.machine_monitor",
)


class Clock:
    """The steady clock and the time of day, moved by the test."""

    def __init__(self) -> None:
        self.us = START

    def __call__(self) -> int:
        return self.us


class fixed_clock:
    """A context in which the leader's module sees the test's clock."""

    def __enter__(self) -> Clock:
        self.patch = pytest.MonkeyPatch()
        clock = Clock()
        for module in CLOCKED:
            for name in ("now_us", "wall_us"):
                self.patch.setattr(f"weldhead.controller.{module}.{name}", clock, raising=False)
        self.patch.setattr("weldhead.cluster_state.state_writer.now_us", clock)
        return clock

    def __exit__(self, *_: object) -> None:
        self.patch.undo()


def new_leader(
    state: StandInState,
    at_us: int,
    predecessor_over_us: int = 0,
    documents: DocumentReplica | None = None,
) -> Leader:
    leader = leader_of(state, at_us, predecessor_over_us, documents)
    asyncio.run(leader.recovery.load())
    leader._check_known()
    return leader


def leader_of(
    state: StandInState,
    at_us: int,
    predecessor_over_us: int = 0,
    documents: DocumentReplica | None = None,
    answers_until_us: int | None = None,
) -> Leader:
    """A leader whose term has not been loaded yet."""
    document = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    document["facts"]["teams"] = [{"name": "red", "cpus": 8, "cpus_max": 100}]
    settings = parse_settings(msgspec.json.encode(document))
    token = state.put(LEADER_KEY, {"name": "n-0", "nonce": "x", "ttl_us": 3 * S})
    authority = LeaderLease(default_timing(1_000 * S), frozenset())
    authority.begin(token, 1, at_us)
    context = TermContext(
        settings, Tunables(), authority, cast(StateClient, state), cast(CloudClient, None),
        cast(HttpClient, None), [machine_type()], predecessor_over_us, lambda reason: None,
        at_us + 15 * S if answers_until_us is None else answers_until_us,
    )  # fmt: skip
    return Leader(Term(context), documents)


class LeaderOnLoop:
    """A leader on a loop of its own; between calls only its state writer runs."""

    leader: Leader

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._writer_task: asyncio.Task[None] | None = None

    def start_writer(self) -> None:
        self._writer_task = self.loop.create_task(self.leader.state_writer.run())

    def close(self) -> None:
        if self._writer_task is not None:
            self.leader.state_writer.close()
            self._writer_task.cancel()
            self.loop.run_until_complete(asyncio.gather(self._writer_task, return_exceptions=True))

    def run(self, call: Awaitable[T]) -> T:
        async def wait() -> T:
            return await call

        return self.loop.run_until_complete(wait())


def put_job(state: StandInState, spec: JobSpec, **changes: Any) -> None:
    state.put(job_key(spec.id), JobRecord(spec, START - 10 * S, **changes))


def put_machine(state: StandInState, name: str, *, up: bool = True) -> StandInWorker:
    machines: dict[str, str | None] = {name: "10.0.0.9:1" if up else None}
    record = RentalRecord("m4", "a", False, 1, START - 60 * S, True, machines)
    state.put(f"h/{name}", record)
    return StandInWorker(name, 4.0)


def report(leader: Leader, worker: StandInWorker, at_us: int) -> bool:
    """Let a worker report and execute the answer; false if it was not answered."""

    async def deliver() -> bool:
        answer = leader.handle_heartbeat(worker.report(), at_us, relayed=False)
        if answer is None:
            return False
        worker.answered(answer)
        return True

    return asyncio.run(deliver())
