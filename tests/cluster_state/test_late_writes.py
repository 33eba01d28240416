"""Transactions that get no answer and are applied later, after newer ones.

The state writer, the rental manager and the code that commits jobs write through a transport that
loses answers and delays transactions. A result that was confirmed to a caller must stay valid.
"""

import asyncio
from collections import defaultdict
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec, machine_type
from tests.support.fleets import StandInCloud, settle
from tests.support.leaders import new_leader, put_job
from tests.support.stand_ins import StandInState
from tests.support.users import GOOD_BODY, JOB, StandInNode, desk
from tests.support.writes import run
from weldhead.clock import now_us
from weldhead.cluster_state.records import (
    LEADER_KEY,
    PROGRESS,
    RENTALS,
    JobRecord,
    RentalRecord,
    final_key,
    job_key,
)
from weldhead.cluster_state.state_writer import LeadershipLostError, StateWriter
from weldhead.controller.leadership.leader import Leader
from weldhead.protocol.settings import StateLimits
from weldhead.scheduling.autoscaling.rental_offers import RentalOffer
from weldhead.site.store.server import StateService
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.state_client import StateClient

LIMITS = StateLimits(1e6, 1e6, 8.0, 12)
FATES = ["ok", "refused", "lost", "unanswered", "late"]


class LateTransport:
    """A connection to a local site's state service that determines the fate of transactions.

    The fate ``overtaken`` applies all delayed transactions just before the current one.
    """

    def __init__(self) -> None:
        self.service = StateService(LIMITS)
        self.fates: list[str] = []
        self.late: list[bytes] = []

    async def call(
        self, method: str, url: str, body: bytes | None, *_: Any, **__: Any
    ) -> tuple[int, bytes]:
        path, _mark, query = url.removeprefix("http://state").partition("?")
        fate = self.fates.pop(0) if path == "/multi" and self.fates else "ok"
        if fate == "overtaken":
            await self.release()
        if fate == "refused":
            return 503, b"{}"
        if fate == "lost":
            raise CallError("lost")
        if fate == "late" and body is not None:
            self.late.append(body)
            raise CallError("held back")
        query_args = dict(part.split("=") for part in query.split("&") if part)
        request: Any = SimpleNamespace(method=method, path=path, query=query_args)
        answer = await self.service.handle(request, body or b"")
        if fate == "unanswered":
            raise CallError("the answer was lost")
        return answer.status, answer.body

    async def release(self) -> None:
        """Apply the delayed transactions."""
        late, self.late = self.late, []
        request: Any = SimpleNamespace(method="POST", path="/multi", query={})
        for body in late:
            await self.service.handle(request, body)

    async def lead(self, name: str) -> int:
        """Write the leader's key as a new leader does; return the new leader's token."""
        body = msgspec.json.encode({"writes": [{"set": LEADER_KEY, "value": name}]})
        request: Any = SimpleNamespace(method="POST", path="/multi", query={})
        await self.service.handle(request, body)
        return self.service.store.revision

    def stored(self, key: str) -> Any:
        entry = self.service.store.get(key)
        return None if entry is None else msgspec.json.decode(entry.value)


KEYS = ["f/1", "h/1", "h/2", "p/1/0"]
#: For each turn: its keys, with whether each is put or deleted; the fates of the transactions;
#: whether the keys are written together; and whether another leader takes over before.
TURNS = st.lists(
    st.tuples(
        st.dictionaries(st.sampled_from(KEYS), st.booleans(), min_size=1, max_size=3),
        st.lists(st.sampled_from([*FATES, "overtaken"]), max_size=4),
        st.booleans(),
        st.sampled_from([False, False, False, True]),
    ),
    min_size=1,
    max_size=8,
)


@given(TURNS)
def test_confirmed_writes_stay_committed(
    turns: list[tuple[dict[str, bool], list[str], bool, bool]],
) -> None:
    """Guards against late transactions that change keys after a write was confirmed.

    Only an absent key may come back, only with a value that it was created with, and only if
    ``StateWriter.is_creation_unconfirmed`` reported that.
    """

    async def scenario() -> None:
        transport = LateTransport()
        state = StateClient(cast(HttpClient, transport), "state", LIMITS)
        confirmed_values: dict[str, Any] = dict.fromkeys(KEYS)
        created: dict[str, list[int]] = defaultdict(list)
        unsettled_keys: set[str] = set()

        async def start_writer(name: str) -> tuple[StateWriter, "asyncio.Task[None]"]:
            writer = StateWriter(state, await transport.lead(name))
            for key in KEYS:
                if (known := await state.get(key)) is not None:
                    writer.record_version(key, known.version)
            return writer, asyncio.create_task(writer.run())

        def check_confirmed_values(writer: StateWriter) -> None:
            unsettled_keys.update(key for key in KEYS if writer.is_creation_unconfirmed(key))
            for key, value in confirmed_values.items():
                stored = transport.stored(key)
                is_restored = value is None and key in unsettled_keys and stored in created[key]
                assert stored == value or is_restored, (key, stored, value)

        writer, writer_task = await start_writer("n-0")
        count = 0
        for writes, fates, writes_together, replaces_leader in turns:
            if replaces_leader:
                writer.close()
                await asyncio.gather(writer_task, return_exceptions=True)
                writer, writer_task = await start_writer("n-1")
                for key in KEYS:
                    # The next leader has read the keys that came back before its term.
                    confirmed_values[key] = transport.stored(key)
                unsettled_keys.clear()
            transport.fates = list(fates)
            values: dict[str, Any] = {}
            for key, is_put in writes.items():
                count += 1
                values[key] = count if is_put else None
                if is_put and confirmed_values[key] is None:
                    created[key].append(count)
            if writes_together:
                await writer.write(values)
            else:
                await asyncio.gather(*(writer.write({k: v}) for k, v in values.items()))
            confirmed_values.update(values)
            check_confirmed_values(writer)
            if "overtaken" in fates:
                await transport.release()
                check_confirmed_values(writer)
        await transport.release()
        check_confirmed_values(writer)
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


@given(st.lists(st.sampled_from([*FATES, "late"]), max_size=8))
def test_writes_of_replaced_leader_are_never_applied(fates: list[str]) -> None:
    async def scenario() -> None:
        transport = LateTransport()
        state = StateClient(cast(HttpClient, transport), "state", LIMITS)
        writer = StateWriter(state, await transport.lead("n-0"))
        await transport.lead("n-1")
        transport.fates = list(fates)
        writer_task = asyncio.create_task(writer.run())
        with pytest.raises(LeadershipLostError):
            await writer.write({"j/1": 1, "h/1": 2})
        await transport.release()
        assert transport.stored("j/1") is transport.stored("h/1") is None
        writer.close()
        await asyncio.gather(writer_task, return_exceptions=True)

    run(scenario())


# -- rentals ----------------------------------------------------------------------------------


def start_leader(state: StandInState, cloud: StandInCloud) -> Leader:
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    return leader


async def run_term(leader: Leader, action: Any) -> None:
    """Run an action of a leader with its state writer, then end the leader's term."""
    writer_task = asyncio.create_task(leader.state_writer.run())
    await action()
    await settle()
    await leader.close()
    await asyncio.gather(writer_task, return_exceptions=True)


@pytest.mark.parametrize("capacity", [0, 2, 1_000])
@pytest.mark.parametrize("fates", [["late"], ["late", "late"], ["late", "unanswered", "late"]])
def test_settled_rental_is_not_requested_by_later_leader(
    capacity: int, fates: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A record that is written late comes back unsettled, so the successor repeats the request.

    A request that had been refused then rented machines that were no longer needed. For a rental
    whose machines had been returned, the successor got the names of machines that no longer exist.
    """
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETION_BATCH_DELAY_S", 0)
    state, cloud = StandInState(), StandInCloud()
    cloud.capacity = capacity
    first = start_leader(state, cloud)

    async def rent_and_return() -> None:
        first.term.background_tasks.start(
            "deletions", first.rental_manager.returner.delete_returned
        )
        state.fates = list(fates)
        first.rental_manager.rent(RentalOffer(machine_type(), "a", True), 2)
        await settle()
        first.rental_manager.return_machines(dict(first.cluster.machines))
        await settle()
        assert not first.cluster.machines
        state.release_late()

    async def begin() -> None:
        second.rental_manager.start()
        await settle()

    run(run_term(first, rent_and_return))
    cloud.capacity = 1_000
    request_count = len(cloud.rented)
    second = start_leader(state, cloud)
    run(run_term(second, begin))
    assert len(cloud.rented) == request_count == 1
    assert not second.cluster.machines and not second.rental_manager.pending()
    # A record that the first term could not safely delete is deleted by the next term.
    assert not [key for key in state.keys if key.startswith(RENTALS)]


def test_rental_with_answered_writes_leaves_no_record() -> None:
    state, cloud = StandInState(), StandInCloud()
    cloud.capacity = 0
    first = start_leader(state, cloud)

    async def rent() -> None:
        first.rental_manager.rent(RentalOffer(machine_type(), "a", True), 2)
        await settle()

    run(run_term(first, rent))
    assert not [key for key in state.keys if key.startswith(RENTALS)]


@given(st.lists(st.sampled_from(FATES), max_size=6), st.booleans())
def test_enrolled_machine_is_known_to_every_successor(
    fates: list[str], releases_late: bool
) -> None:
    """Guards against tasks on a machine that the next leader does not know to be in use."""
    state = StandInState()
    machines: dict[str, str | None] = {"vm-000001": None, "vm-000002": None}
    state.put("h/x", RentalRecord("m4", "a", False, 2, 0, True, dict(machines)))
    first = start_leader(state, StandInCloud())

    async def mark() -> None:
        state.fates = list(fates)
        for number, machine in enumerate(list(first.cluster.machines.values())):
            machine.address = f"10.0.0.{number}:1"
            await first.rental_manager.enroll(machine)
            if releases_late:
                state.release_late()
        assert all(machine.enrolled for machine in first.cluster.machines.values())

    run(run_term(first, mark))
    state.release_late()
    second = start_leader(state, StandInCloud())
    found = {name: machine.address for name, machine in second.cluster.machines.items()}
    assert found == {"vm-000001": "10.0.0.0:1", "vm-000002": "10.0.0.1:1"}


# -- jobs -------------------------------------------------------------------------------------


@given(
    st.lists(st.lists(st.sampled_from(FATES), max_size=3), min_size=4, max_size=4),
    st.lists(st.booleans(), min_size=4, max_size=4),
    st.lists(st.booleans(), min_size=3, max_size=3),
    st.booleans(),
)
def test_job_state_never_goes_back(
    fates: list[list[str]], releases: list[bool], successions: list[bool], cancelled: bool
) -> None:
    """Late writes and changes of leader must not undo acceptance, progress, cancellation or end."""
    state = StandInState()
    told_statuses: list[tuple[int, str]] = []

    def step(number: int) -> None:
        if releases[number]:
            state.release_late()
        state.fates = list(fates[number])

    async def submit() -> None:
        # Like a user, the test submits the job until it is accepted.
        while True:
            answer = await desk(state).submit(GOOD_BODY)
            if answer.status in (200, 201):
                return

    async def save() -> None:
        job = leader.cluster.jobs[JOB]
        for index in range(2):
            job.complete_waiting(index)
        await leader.completions._save_progress(job)
        assert job.committed == 2

    async def cancel() -> None:
        job = leader.cluster.jobs[JOB]
        if cancelled:
            assert await leader.completions.cancel(job, 60_000_000)
        assert job.committed == 2

    async def end() -> None:
        job = leader.cluster.jobs[JOB]
        if not cancelled:
            for index in job.waiting_indexes(job.spec.tasks):
                job.complete_waiting(index)
        await leader.completions._try_finish_job(job)
        assert JOB not in leader.cluster.jobs

    step(0)
    run(submit())
    leader = start_leader(state, StandInCloud())
    for number, action in enumerate((save, cancel, end), 1):
        step(number)
        run(run_term(leader, action))
        if successions[number - 1] or number < 3:
            # Writes of the previous term may still be applied late.
            leader = start_leader(state, StandInCloud())
    state.release_late()
    status = "withdrawn" if cancelled else "done"

    async def ask() -> None:
        node = StandInNode()
        for answer in (await desk(state, node).poll(JOB), await desk(state).submit(GOOD_BODY)):
            body = msgspec.json.decode(answer.body)
            told_statuses.append((answer.status, body["status"]))

    state.fates = []
    run(ask())
    assert told_statuses == [(200, status)] * 2
    assert job_key(JOB) not in state.keys and final_key(JOB) in state.keys
    last = start_leader(state, StandInCloud())
    assert JOB not in last.cluster.jobs

    async def clear() -> None:
        last.completions.start()
        await settle()

    # Progress that was written late has no effect and is deleted by the next term.
    run(run_term(last, clear))
    assert not [key for key in state.keys if key.startswith(PROGRESS)]


def test_late_submission_does_not_restore_ended_job() -> None:
    """The user repeats a submission, and the job ends before the first submission is applied."""
    state = StandInState()
    state.fates = ["late", "ok"]
    statuses: list[int] = []

    async def submit() -> None:
        for _ in range(2):
            statuses.append((await desk(state).submit(GOOD_BODY)).status)

    run(submit())
    assert statuses == [503, 201]
    leader = start_leader(state, StandInCloud())

    async def end() -> None:
        job = leader.cluster.jobs[JOB]
        for index in job.waiting_indexes(job.spec.tasks):
            job.complete_waiting(index)
        await leader.completions._try_finish_job(job)

    run(run_term(leader, end))
    state.release_late()
    assert job_key(JOB) not in state.keys


def test_cancellation_of_replaced_leader_is_not_applied_late() -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    leader = start_leader(state, StandInCloud())
    job = leader.cluster.jobs["run-000001"]
    # After three delayed writes, all writes are refused until another leader takes over.
    state.fates = ["late"] * 3 + ["refused"] * 1_000

    async def cancel() -> None:
        cancellation = asyncio.create_task(leader.completions.cancel(job, 60_000_000))
        await settle()
        assert len(state.late) == 3
        state.put(LEADER_KEY, {"name": "n-1", "nonce": "y", "ttl_us": 3_000_000})
        state.fates = []
        assert not await cancellation

    run(run_term(leader, cancel))
    state.release_late()
    record, _ = state.keys[job_key("run-000001")]
    assert not msgspec.convert(record, JobRecord).cancelled
