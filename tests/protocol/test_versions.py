"""Versions that run side by side read each other's records and messages.

The literals are byte for byte what format 1 (weldhead 0.2) wrote. The classes named ``Old...``
decode records and messages as format 1 does.
"""

import asyncio
import logging
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import add_job, cluster, job_spec
from tests.support.leaders import START, Clock, new_leader
from tests.support.old_formats import OldFinal, OldJob, OldSpec
from tests.support.settings import SETTINGS
from tests.support.stand_ins import StandInState
from weldhead.clock import now_us
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.records import (
    AdmissionBinding,
    FinalRecord,
    GateAction,
    GateHold,
    JobRecord,
    LeaderRecord,
    RentalRecord,
    admitted_record,
    cancelled_record,
    decode_progress,
    without_gate,
)
from weldhead.controller.process import ControllerProcess
from weldhead.protocol import peer
from weldhead.protocol.settings import parse_settings
from weldhead.protocol.validation import is_job_id
from weldhead.protocol.versions import CURRENT_FORMAT, JOB_DEPENDENCIES_FORMAT
from weldhead.protocol.wire import JobSpec
from weldhead.tunables.defaults import Tunables

JOB_RECORD = (
    b'{"spec":{"uid":"run-000412","jobclass":"train","owner":"red","shape":"batch",'
    b'"urgency":"normal","pieces":4,"cores":2.0,"cards":0.0,"ram_gb":2.0,"build":"img",'
    b'"pull_gb":1.0,"same_place":false,"apart":false,"loaners":true,"expected_s":60.0,'
    b'"tack_s":0.0,"weld_s":0.0,"frames":["m4"],"yard":"a","due_s":900.0},'
    b'"submitted_us":1760000000000000}'
)


CANCELLED_RECORD = (
    b'{"spec":{"uid":"run-000413","jobclass":"train","owner":"red","shape":"batch",'
    b'"urgency":"normal","pieces":4,"cores":2.0,"cards":0.0,"ram_gb":2.0,"build":"img",'
    b'"pull_gb":1.0,"same_place":false,"apart":false,"loaners":true,"expected_s":60.0,'
    b'"tack_s":0.0,"weld_s":0.0},"submitted_us":1760000000000000,"cancelled":true}'
)


FINAL_RECORD = b'{"status":"done","done":4}'


RENTAL = (
    b'{"type":"m4","zone":"a","spot":true,"count":2,"hired_us":1760000000000000,'
    b'"settled":true,"machines":{"vm-000231":"10.1.0.232:9000","vm-000232":null}}'
)


OPEN_RENTAL = b'{"type":"m4","zone":"a","spot":false,"count":3,"hired_us":1760000000000000}'


LEADER_RECORD = b'{"name":"welder-0","nonce":"0123456789abcdef","ttl_us":3000000}'


PROGRESS = b'"GQI="'


FRAMES: dict[str, peer.Message] = {
    "0000000b92a568656c6c6fa36e2d30": peer.Hello("n-0"),
    "0000001495a470696e670729c391a9766d2d303030323331": peer.Ping(7, 41, True, ("vm-000231",)),
    "0000000893a4706f6e6707c3": peer.Pong(7, True),
    "0000001c95a361736b08a67375626d6974aa72756e2d303030343132c4027b7d": peer.ForwardedRequest(
        8, "submit", "run-000412", b"{}"
    ),
    "0000000f94a6616e7377657208ccc9c4027b7d": peer.ForwardedAnswer(8, 201, b"{}"),
    "0000000d94a4686f6c640929ce0016e360": peer.PromiseRequest(9, 41, 1_500_000),
    "0000000893a468656c6409c3": peer.PromiseAnswer(9, True),
    "0000000c93a872657369676e65640a29": peer.LeaderResigned(10, 41),
}


def decode(body: bytes, kind: Any) -> Any:
    return msgspec.json.decode(body, type=kind)


def test_records_of_format_1_are_read_with_default_values() -> None:
    job = decode(JOB_RECORD, JobRecord)
    expected = job_spec(412, zone="a", types=("m4",), deadline_s=900.0)
    assert job == JobRecord(expected, 1_760_000_000_000_000)
    assert job.spec.needs is None
    assert decode(CANCELLED_RECORD, JobRecord).cancelled
    assert decode(FINAL_RECORD, FinalRecord) == FinalRecord("done", 4, 0, False)
    rental = decode(RENTAL, RentalRecord)
    assert rental.machines == {"vm-000231": "10.1.0.232:9000", "vm-000232": None}
    assert (
        decode(OPEN_RENTAL, RentalRecord).settled,
        decode(OPEN_RENTAL, RentalRecord).machines,
    ) == (
        False,
        {},
    )
    assert decode(LEADER_RECORD, LeaderRecord) == LeaderRecord(
        "welder-0", "0123456789abcdef", 3_000_000
    )
    assert decode_progress(decode(PROGRESS, str), 10) == [0, 3, 4, 9]


@pytest.mark.parametrize("frame", FRAMES)
def test_frames_of_format_1_are_read(frame: str) -> None:
    body = bytes.fromhex(frame)
    assert peer.decode_frame_length(body[:4]) == len(body) - 4
    assert peer.decode_message(body[4:]) == FRAMES[frame]


class OldRental(msgspec.Struct):
    type: str
    zone: str
    spot: bool
    count: int
    hired_us: int
    settled: bool = False
    machines: dict[str, str | None] = {}


class OldPing(msgspec.Struct, array_like=True, tag="ping"):
    id: int
    token: int
    state_ok: bool
    silent: tuple[str, ...] = ()


class OldPong(msgspec.Struct, array_like=True, tag="pong"):
    id: int
    state_ok: bool


class OldForwardedRequest(msgspec.Struct, array_like=True, tag="ask"):
    id: int
    kind: str
    job_id: str
    body: bytes


SPECS = st.builds(
    job_spec,
    number=st.integers(0, 999_999),
    tasks=st.integers(1, 100_000),
    priority=st.sampled_from(["idle", "normal", "high", "production"]),
    zone=st.none() | st.text(min_size=1, max_size=5),
    deadline_s=st.none() | st.floats(0, 1e6),
    needs=st.none() | st.lists(st.sampled_from(["run-1", "run-2"]), min_size=1).map(tuple),
)


@given(SPECS, st.integers(0, 2**52), st.booleans())
def test_format_1_reads_the_jobs_that_are_written_now(
    spec: JobSpec, at_us: int, cancelled: bool
) -> None:
    old = decode(msgspec.json.encode(JobRecord(spec, at_us, cancelled)), OldJob)
    assert (old.submitted_us, old.cancelled) == (at_us, cancelled)
    assert (old.spec.uid, old.spec.pieces, old.spec.yard) == (spec.id, spec.tasks, spec.zone)
    # Format 1 rewrites a job only to cancel it, and then the needed jobs that it drops are unused.
    again = decode(msgspec.json.encode(OldJob(old.spec, at_us, True)), JobRecord)
    assert again == JobRecord(msgspec.structs.replace(spec, needs=None), at_us, True)


def test_format_1_reads_ends_rentals_and_cut_cancellations() -> None:
    end = msgspec.json.encode(FinalRecord("withdrawn", 2, 2**50, True))
    assert decode(end, OldFinal) == OldFinal("withdrawn", 2)
    rental = RentalRecord("m4", "a", True, 2, 5, True, {"vm-1": None, "vm-2": "10.0.0.1:1"})
    old = decode(msgspec.json.encode(rental), OldRental)
    assert (old.settled, old.machines) == (True, rental.machines)
    long = job_spec(7, types=tuple(f"{n:0200}" for n in range(30)), image="i" * 200)
    short = cancelled_record(long, 5, 2048)
    body = msgspec.json.encode(short)
    assert len(body) <= 2048 < len(msgspec.json.encode(JobRecord(long, 5)))
    stored = decode(body, OldJob)
    # The fields for quota accounting and the number of tasks are kept.
    assert (stored.cancelled, stored.spec.owner, stored.spec.cores) == (True, "red", 2.0)
    assert stored.spec.pieces == 4
    # A record that fits the limit is not shortened.
    assert cancelled_record(job_spec(7), 5, 2048).spec == job_spec(7)


def test_format_1_reads_current_peer_messages() -> None:
    decoder = msgspec.msgpack.Decoder(OldPing | OldPong | OldForwardedRequest)
    for message, old in (
        (peer.Ping(7, 41, True, ("vm-1",)), OldPing(7, 41, True, ("vm-1",))),
        (peer.Pong(7, True, CURRENT_FORMAT), OldPong(7, True)),
        (
            peer.ForwardedRequest(8, "poll", "run-1", b""),
            OldForwardedRequest(8, "poll", "run-1", b""),
        ),
    ):
        assert decoder.decode(peer.encode_frame(message)[4:]) == old


def test_dependent_job_is_not_sent_to_peer_of_format_1(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job that needs other jobs is sent only to peers that have stated a format that has this.

    A controller of format 1 would accept the job without its needed jobs and start it at once.
    """
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    link = node._links["n-1"]
    link._writer = cast(Any, object())
    link.last_message_us, link.state_ok = 10**18, True
    sent: list[str] = []

    async def forward(_: Any, kind: str, *__: Any) -> None:
        sent.append(kind)

    monkeypatch.setattr(node.peers, "forward", forward)

    def ask(*, chained: bool) -> list[str]:
        sent.clear()
        asyncio.run(node.peers.ask_served_peer("submit", "run-1", b"", chained=chained))
        return list(sent)

    assert (link.format, node.peers.peers_support(JOB_DEPENDENCIES_FORMAT)) == (0, True)
    assert (ask(chained=True), ask(chained=False)) == ([], ["submit"])
    link.format = 1
    assert not node.peers.peers_support(JOB_DEPENDENCIES_FORMAT)
    assert (ask(chained=True), ask(chained=False)) == ([], ["submit"])
    link.format = 2
    assert node.peers.peers_support(JOB_DEPENDENCIES_FORMAT)
    link.format = CURRENT_FORMAT
    assert node.peers.peers_support(JOB_DEPENDENCIES_FORMAT)
    assert (ask(chained=True), ask(chained=False)) == (["submit"], ["submit"])


def put_old_rental(state: StandInState, machine_count: int) -> None:
    """Store a rental record as format 1 wrote it when the value limit was larger."""
    names: dict[str, str | None] = {f"vm-{n:012}": f"10.1.0.{n}:9000" for n in range(machine_count)}
    state.put("h/welder-0-7-1", OldRental("m4", "a", True, machine_count, START, True, names))


def recorded_machines(state: StandInState) -> dict[str, str | None]:
    """Return the machines, with addresses, that a leader of format 1 would read."""
    found: dict[str, str | None] = {}
    for key, (value, _) in sorted(state.keys.items()):
        if key.startswith("h/"):
            found |= msgspec.convert(value, OldRental).machines
    return found


@pytest.mark.parametrize("failure_after", [0, 1, 2, 3, None])
def test_dividing_an_oversized_rental_record_loses_no_machine(
    clock: Clock,
    failure_after: int | None,
) -> None:
    state = StandInState()
    put_old_rental(state, 50)
    all_machines = recorded_machines(state)
    state.value_bytes, state.max_writes = 1024, 4
    leader = new_leader(state, clock())

    async def divide(leader: Any, failure_after: int | None) -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        if failure_after is not None:
            state.fates = ["ok"] * failure_after + ["lost"] * 100
        leader.rental_manager.start()
        for _ in range(200):
            await asyncio.sleep(0)
            # A new leader would find all machines at any time.
            assert recorded_machines(state) == all_machines
        await leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(divide(leader, failure_after))
    if failure_after is not None:
        state.fates.clear()
        leader = new_leader(state, clock())
        assert sorted(leader.cluster.machines) == sorted(all_machines)
        assert all(machine.enrolled for machine in leader.cluster.machines.values())
        asyncio.run(divide(leader, None))
    values = [v for k, (v, _) in state.keys.items() if k.startswith("h/")]
    assert len(values) > 1
    assert all(len(msgspec.json.encode(value)) <= 1024 for value in values)
    # Each machine is in exactly one record, and its ``rental_name`` names that record.
    assert sum(len(value["machines"]) for value in values) == 50
    for machine in leader.cluster.machines.values():
        assert machine.name in state.keys[f"h/{machine.rental_name}"][0]["machines"]


def test_rental_record_within_the_limit_is_not_divided(clock: Clock) -> None:
    state = StandInState()
    put_old_rental(state, 50)
    leader = new_leader(state, clock())
    assert len(leader.rental_manager._divide_machines("welder-0-7-1")) == 1


def test_peer_format_is_known_from_pong_until_disconnect(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A peer that reconnects may run another version.

    So the format of a peer is unknown on a new connection until its first pong.
    """
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    node._state = cast(Any, SimpleNamespace(is_available=True))
    pong = asyncio.run(node._handle_peer_message("n-1", peer.Ping(7, 0, True)))
    assert pong == peer.Pong(7, True, CURRENT_FORMAT, False)

    class Writer:
        transport = SimpleNamespace(abort=lambda: None)

        def write(self, _: bytes) -> None:
            pass

    frames = [bytes.fromhex("0000000893a4706f6e6707c3"), peer.encode_frame(pong)]

    async def connect() -> None:
        reader = asyncio.StreamReader()
        for frame in frames:
            reader.feed_data(frame)
        reader.feed_eof()

        async def open_connection(*_: Any) -> Any:
            return reader, Writer()

        monkeypatch.setattr(
            "weldhead.transport.peer_links.asyncio.open_connection", open_connection
        )
        await node._links["n-1"]._connect()

    with caplog.at_level(logging.INFO):
        asyncio.run(connect())
    messages = [record.getMessage() for record in caplog.records]
    assert [line for line in messages if "format" in line] == [
        "peer n-1 has format 1",
        f"peer n-1 has format {CURRENT_FORMAT}",
    ]
    assert node._links["n-1"].format == 0


def test_pong_without_leads_field_counts_as_from_a_leader() -> None:
    """A controller that has just started may have promised not to lead in its previous process.

    It may lead once its peers state that they are in no term. A pong of format 2 does not state
    that, so the earlier promise is kept.
    """
    node = ControllerProcess(
        parse_settings(msgspec.json.encode(SETTINGS)), Tunables(), started_us=now_us()
    )
    older = msgspec.msgpack.encode(("pong", 7, True, 2))
    for name in node._links:
        node.election.observe_pong(name, cast(peer.Pong, peer.decode_message(older)), now_us())
    assert not node.election.candidacy.can_lead(now_us())
    for name in node._links:
        assert not node.election.candidacy.can_lead(now_us())
        node.election.observe_pong(name, peer.Pong(7, True, CURRENT_FORMAT, False), now_us())
    assert node.election.candidacy.can_lead(now_us())


class Format2Spec(OldSpec, frozen=True):
    waits_on: tuple[str, ...] | None = None


class Format2Job(msgspec.Struct):
    """A job record as formats 2 and 3 decode it."""

    spec: Format2Spec
    submitted_us: int
    cancelled: bool = False


@pytest.mark.parametrize(
    "binding",
    [
        AdmissionBinding(gate_hold=GateHold("book", 3)),
        AdmissionBinding(gate_action=GateAction("book", "approval", 3)),
    ],
)
def test_leader_without_gates_never_starts_a_gated_job(
    binding: AdmissionBinding,
) -> None:
    # After a downgrade, a version with dependencies but without gates may lead while gates hold
    # jobs. The records of these jobs need a job with an id that no job can have, so its end is
    # never recorded.
    spec = job_spec(1, needs=("run-000009",))
    record = admitted_record(spec, START, binding)
    old = msgspec.json.decode(msgspec.json.encode(record), type=Format2Job)
    assert old.spec.waits_on == ("run-000009", "gate/book")
    assert not is_job_id("gate/book") and without_gate(record.spec) == spec
    # The older version starts the job only when all needed jobs are done.
    state = cluster()
    graph = DependencyGraph(state.jobs)
    job = add_job(state, spec)
    graph.add(job, old.spec.waits_on)
    graph.mark_done("run-000009", START)
    assert job.waiting == 0 and graph.unresolved == {"gate/book"}
    # Each of the two versions reads a cancellation that the other one writes.
    cancelled = cancelled_record(record.spec, START, 8_192)
    assert msgspec.json.decode(msgspec.json.encode(cancelled), type=Format2Job).cancelled


def test_record_of_a_job_without_gate_is_unchanged() -> None:
    spec = job_spec(412, zone="a", types=("m4",), deadline_s=900.0)
    record = admitted_record(spec, 1_760_000_000_000_000, AdmissionBinding())
    assert msgspec.json.encode(record) == JOB_RECORD
