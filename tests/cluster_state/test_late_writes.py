"""Transactions that get no answer and are carried out later, after newer ones.

Whoever was told something must be able to rely on it: the ledger, the rentals and the jobs'
own code write through a transport that loses answers and holds transactions back.
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
    """A connection to a local site's state service; says what becomes of transactions.

    ``overtaken``: all that were held back are carried out just before this one.
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
        asked = dict(part.split("=") for part in query.split("&") if part)
        request: Any = SimpleNamespace(method=method, path=path, query=asked)
        answer = await self.service.handle(request, body or b"")
        if fate == "unanswered":
            raise CallError("the answer was lost")
        return answer.status, answer.body

    async def release(self) -> None:
        """Carry out what was held back."""
        late, self.late = self.late, []
        request: Any = SimpleNamespace(method="POST", path="/multi", query={})
        for body in late:
            await self.service.handle(request, body)

    async def lead(self, name: str) -> int:
        """Write the leader's key, as another leader does; return its token."""
        body = msgspec.json.encode({"writes": [{"set": LEADER_KEY, "value": name}]})
        request: Any = SimpleNamespace(method="POST", path="/multi", query={})
        await self.service.handle(request, body)
        return self.service.store.revision

    def stored(self, key: str) -> Any:
        entry = self.service.store.get(key)
        return None if entry is None else msgspec.json.decode(entry.value)


KEYS = ["f/1", "h/1", "h/2", "p/1/0"]
#: Writes of one turn, as key and whether it is put; what becomes of their transactions; and
#: whether another leader takes over before them.
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
def test_what_was_told_committed_stays(
    turns: list[tuple[dict[str, bool], list[str], bool, bool]],
) -> None:
    """Only an absent key comes back, only as it was created, and only where that is said."""

    async def scenario() -> None:
        transport = LateTransport()
        state = StateClient(cast(HttpClient, transport), "state", LIMITS)
        told: dict[str, Any] = dict.fromkeys(KEYS)
        created: dict[str, list[int]] = defaultdict(list)
        unsettled_keys: set[str] = set()

        async def lead(name: str) -> tuple[StateWriter, "asyncio.Task[None]"]:
            ledger = StateWriter(state, await transport.lead(name))
            for key in KEYS:
                if (known := await state.get(key)) is not None:
                    ledger.record_version(key, known.version)
            return ledger, asyncio.create_task(ledger.run())

        def look(ledger: StateWriter) -> None:
            unsettled_keys.update(key for key in KEYS if ledger.is_creation_unconfirmed(key))
            for key, value in told.items():
                stored = transport.stored(key)
                came_back = value is None and key in unsettled_keys and stored in created[key]
                assert stored == value or came_back, (key, stored, value)

        ledger, background_task = await lead("n-0")
        count = 0
        for writes, fates, together, changes in turns:
            if changes:
                ledger.close()
                await asyncio.gather(background_task, return_exceptions=True)
                ledger, background_task = await lead("n-1")
                for key in KEYS:
                    # What had come back is there for the next leader, and is no surprise.
                    told[key] = transport.stored(key)
                unsettled_keys.clear()
            transport.fates = list(fates)
            values: dict[str, Any] = {}
            for key, put in writes.items():
                count += 1
                values[key] = count if put else None
                if put and told[key] is None:
                    created[key].append(count)
            if together:
                await ledger.write(values)
            else:
                await asyncio.gather(*(ledger.write({k: v}) for k, v in values.items()))
            told.update(values)
            look(ledger)
            if "overtaken" in fates:
                await transport.release()
                look(ledger)
        await transport.release()
        look(ledger)
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


@given(st.lists(st.sampled_from([*FATES, "late"]), max_size=8))
def test_nothing_of_a_leader_is_carried_out_once_its_key_is_another(fates: list[str]) -> None:
    async def scenario() -> None:
        transport = LateTransport()
        state = StateClient(cast(HttpClient, transport), "state", LIMITS)
        ledger = StateWriter(state, await transport.lead("n-0"))
        await transport.lead("n-1")
        transport.fates = list(fates)
        background_task = asyncio.create_task(ledger.run())
        with pytest.raises(LeadershipLostError):
            await ledger.write({"j/1": 1, "h/1": 2})
        await transport.release()
        assert transport.stored("j/1") is transport.stored("h/1") is None
        ledger.close()
        await asyncio.gather(background_task, return_exceptions=True)

    run(scenario())


# -- rentals ----------------------------------------------------------------------------------


def term(state: StandInState, cloud: StandInCloud) -> Leader:
    leader = new_leader(state, now_us())
    leader.term.cloud = cast(Any, cloud)
    return leader


async def played(leader: Leader, act: Any) -> None:
    """Let a leader do something, with its writes, and end."""
    background_task = asyncio.create_task(leader.state_writer.run())
    await act()
    await settle()
    await leader.close()
    await asyncio.gather(background_task, return_exceptions=True)


@pytest.mark.parametrize("capacity", [0, 2, 1_000])
@pytest.mark.parametrize("fates", [["late"], ["late", "late"], ["late", "unanswered", "late"]])
def test_a_rental_that_was_settled_is_asked_for_by_no_later_leader(
    capacity: int, fates: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its record, written late, came back unsettled, and the successor asked once more.

    What had been refused was rented then, though nobody wanted it; of what had been had and
    returned the successor was told the names of machines that were gone.
    """
    monkeypatch.setattr("weldhead.controller.fleet.machine_returner.DELETE_GATHER_S", 0)
    state, cloud = StandInState(), StandInCloud()
    cloud.capacity = capacity
    first = term(state, cloud)

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

    run(played(first, rent_and_return))
    cloud.capacity = 1_000
    asked = len(cloud.rented)
    second = term(state, cloud)
    run(played(second, begin))
    assert len(cloud.rented) == asked == 1
    assert not second.cluster.machines and not second.rental_manager.pending()
    # What had to be kept of it goes with the term that could not delete it for good.
    assert not [key for key in state.keys if key.startswith(RENTALS)]


def test_a_rental_whose_record_was_answered_leaves_nothing() -> None:
    state, cloud = StandInState(), StandInCloud()
    cloud.capacity = 0
    first = term(state, cloud)

    async def rent() -> None:
        first.rental_manager.rent(RentalOffer(machine_type(), "a", True), 2)
        await settle()

    run(played(first, rent))
    assert not [key for key in state.keys if key.startswith(RENTALS)]


@given(st.lists(st.sampled_from(FATES), max_size=6), st.booleans())
def test_an_up_mark_once_told_is_there_for_every_successor(fates: list[str], moves: bool) -> None:
    """Nothing was started where the next leader does not look."""
    state = StandInState()
    machines: dict[str, str | None] = {"vm-000001": None, "vm-000002": None}
    state.put("h/x", RentalRecord("m4", "a", False, 2, 0, True, dict(machines)))
    first = term(state, StandInCloud())

    async def mark() -> None:
        state.fates = list(fates)
        for number, machine in enumerate(list(first.cluster.machines.values())):
            machine.address = f"10.0.0.{number}:1"
            await first.rental_manager.enroll(machine)
            if moves:
                state.release_late()
        assert all(machine.enrolled for machine in first.cluster.machines.values())

    run(played(first, mark))
    state.release_late()
    second = term(state, StandInCloud())
    found = {name: machine.address for name, machine in second.cluster.machines.items()}
    assert found == {"vm-000001": "10.0.0.0:1", "vm-000002": "10.0.0.1:1"}


# -- jobs -------------------------------------------------------------------------------------


@given(
    st.lists(st.lists(st.sampled_from(FATES), max_size=3), min_size=4, max_size=4),
    st.lists(st.booleans(), min_size=4, max_size=4),
    st.lists(st.booleans(), min_size=3, max_size=3),
    st.booleans(),
)
def test_a_job_goes_forward_only(
    fates: list[list[str]], releases: list[bool], successions: list[bool], cancelled: bool
) -> None:
    """Accepted, saved, cancelled or not, over: whatever is written late, and whoever leads."""
    state = StandInState()
    told: list[tuple[int, str]] = []

    def step(number: int) -> None:
        if releases[number]:
            state.release_late()
        state.fates = list(fates[number])

    async def submit() -> None:
        # Until it is accepted, as its user does.
        while True:
            answer = await desk(state).submit(GOOD_BODY)
            if answer.status in (200, 201):
                return

    async def save() -> None:
        job = leader.cluster.jobs[JOB]
        for index in range(2):
            job.complete_waiting(index)
        await leader.completions._save(job)
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
        await leader.completions._end(job)
        assert JOB not in leader.cluster.jobs

    step(0)
    run(submit())
    leader = term(state, StandInCloud())
    for number, act in enumerate((save, cancel, end), 1):
        step(number)
        run(played(leader, act))
        if successions[number - 1] or number < 3:
            # The former term's writes may still be under way.
            leader = term(state, StandInCloud())
    state.release_late()
    status = "withdrawn" if cancelled else "done"

    async def ask() -> None:
        node = StandInNode()
        for answer in (await desk(state, node).poll(JOB), await desk(state).submit(GOOD_BODY)):
            body = msgspec.json.decode(answer.body)
            told.append((answer.status, body["status"]))

    state.fates = []
    run(ask())
    assert told == [(200, status)] * 2
    assert job_key(JOB) not in state.keys and final_key(JOB) in state.keys
    last = term(state, StandInCloud())
    assert JOB not in last.cluster.jobs

    async def clear() -> None:
        last.completions.start()
        await settle()

    # Progress written late means nothing, and goes with the next term.
    run(played(last, clear))
    assert not [key for key in state.keys if key.startswith(PROGRESS)]


def test_a_submission_carried_out_late_does_not_bring_a_job_back() -> None:
    """Its user had asked again, and the job was over before the first request came."""
    state = StandInState()
    state.fates = ["late", "ok"]
    statuses: list[int] = []

    async def submit() -> None:
        for _ in range(2):
            statuses.append((await desk(state).submit(GOOD_BODY)).status)

    run(submit())
    assert statuses == [503, 201]
    leader = term(state, StandInCloud())

    async def end() -> None:
        job = leader.cluster.jobs[JOB]
        for index in job.waiting_indexes(job.spec.tasks):
            job.complete_waiting(index)
        await leader.completions._end(job)

    run(played(leader, end))
    state.release_late()
    assert job_key(JOB) not in state.keys


def test_a_cancellation_given_up_by_a_replaced_leader_is_not_carried_out_later() -> None:
    state = StandInState()
    put_job(state, job_spec(1))
    leader = term(state, StandInCloud())
    job = leader.cluster.jobs["run-000001"]
    # Refused from then on, until another leads.
    state.fates = ["late"] * 3 + ["refused"] * 1_000

    async def cancel() -> None:
        asking = asyncio.create_task(leader.completions.cancel(job, 60_000_000))
        await settle()
        assert len(state.late) == 3
        state.put(LEADER_KEY, {"name": "n-1", "nonce": "y", "ttl_us": 3_000_000})
        state.fates = []
        assert not await asking

    run(played(leader, cancel))
    state.release_late()
    record, _ = state.keys[job_key("run-000001")]
    assert not msgspec.convert(record, JobRecord).cancelled
