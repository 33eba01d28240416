"""Old and new side by side: what either version writes, the other reads and acts on.

The literals are what format 1 (weldhead 0.2) wrote, byte for byte; the Old structs restate
how it reads.
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
from weldhead.protocol.versions import CHAINS_FORMAT, FORMAT
from weldhead.protocol.wire import JobSpec
from weldhead.tunables.defaults import Tunables

JOB = (
    b'{"spec":{"uid":"run-000412","jobclass":"train","owner":"red","shape":"batch",'
    b'"urgency":"normal","pieces":4,"cores":2.0,"cards":0.0,"ram_gb":2.0,"build":"img",'
    b'"pull_gb":1.0,"same_place":false,"apart":false,"loaners":true,"expected_s":60.0,'
    b'"tack_s":0.0,"weld_s":0.0,"frames":["m4"],"yard":"a","due_s":900.0},'
    b'"submitted_us":1760000000000000}'
)


CANCELLED = (
    b'{"spec":{"uid":"run-000413","jobclass":"train","owner":"red","shape":"batch",'
    b'"urgency":"normal","pieces":4,"cores":2.0,"cards":0.0,"ram_gb":2.0,"build":"img",'
    b'"pull_gb":1.0,"same_place":false,"apart":false,"loaners":true,"expected_s":60.0,'
    b'"tack_s":0.0,"weld_s":0.0},"submitted_us":1760000000000000,"cancelled":true}'
)


FINAL = b'{"status":"done","done":4}'


HIRE = (
    b'{"type":"m4","zone":"a","spot":true,"count":2,"hired_us":1760000000000000,'
    b'"settled":true,"machines":{"vm-000231":"10.1.0.232:9000","vm-000232":null}}'
)


OPEN_HIRE = b'{"type":"m4","zone":"a","spot":false,"count":3,"hired_us":1760000000000000}'


LEADER = b'{"name":"welder-0","nonce":"0123456789abcdef","ttl_us":3000000}'


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


def read(body: bytes, kind: Any) -> Any:
    return msgspec.json.decode(body, type=kind)


def test_records_of_format_1_are_read_and_what_they_lack_means_the_defaults() -> None:
    job = read(JOB, JobRecord)
    expected = job_spec(412, zone="a", types=("m4",), deadline_s=900.0)
    assert job == JobRecord(expected, 1_760_000_000_000_000)
    assert job.spec.needs is None
    assert read(CANCELLED, JobRecord).cancelled
    assert read(FINAL, FinalRecord) == FinalRecord("done", 4, 0, False)
    rental = read(HIRE, RentalRecord)
    assert rental.machines == {"vm-000231": "10.1.0.232:9000", "vm-000232": None}
    assert (read(OPEN_HIRE, RentalRecord).settled, read(OPEN_HIRE, RentalRecord).machines) == (
        False,
        {},
    )
    assert read(LEADER, LeaderRecord) == LeaderRecord("welder-0", "0123456789abcdef", 3_000_000)
    assert decode_progress(read(PROGRESS, str), 10) == [0, 3, 4, 9]


@pytest.mark.parametrize("frame", FRAMES)
def test_frames_of_format_1_are_read(frame: str) -> None:
    body = bytes.fromhex(frame)
    assert peer.frame_length(body[:4]) == len(body) - 4
    assert peer.decode_message(body[4:]) == FRAMES[frame]


class OldHire(msgspec.Struct):
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


class OldAsk(msgspec.Struct, array_like=True, tag="ask"):
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
    old = read(msgspec.json.encode(JobRecord(spec, at_us, cancelled)), OldJob)
    assert (old.submitted_us, old.cancelled) == (at_us, cancelled)
    assert (old.spec.uid, old.spec.pieces, old.spec.yard) == (spec.id, spec.tasks, spec.zone)
    # It rewrites a job only to cancel it: what it drops is not asked for any more.
    again = read(msgspec.json.encode(OldJob(old.spec, at_us, True)), JobRecord)
    assert again == JobRecord(msgspec.structs.replace(spec, needs=None), at_us, True)


def test_format_1_reads_ends_rentals_and_shortened_cancellations() -> None:
    end = msgspec.json.encode(FinalRecord("withdrawn", 2, 2**50, True))
    assert read(end, OldFinal) == OldFinal("withdrawn", 2)
    rental = RentalRecord("m4", "a", True, 2, 5, True, {"vm-1": None, "vm-2": "10.0.0.1:1"})
    old = read(msgspec.json.encode(rental), OldHire)
    assert (old.settled, old.machines) == (True, rental.machines)
    long = job_spec(7, types=tuple(f"{n:0200}" for n in range(30)), image="i" * 200)
    short = cancelled_record(long, 5, 2048)
    body = msgspec.json.encode(short)
    assert len(body) <= 2048 < len(msgspec.json.encode(JobRecord(long, 5)))
    stored = read(body, OldJob)
    # What usage counts, and how many tasks there are, stays.
    assert (stored.cancelled, stored.spec.owner, stored.spec.cores) == (True, "red", 2.0)
    assert stored.spec.pieces == 4
    # What fits stays whole.
    assert cancelled_record(job_spec(7), 5, 2048).spec == job_spec(7)


def test_format_1_reads_the_messages_that_are_sent_now() -> None:
    decoder = msgspec.msgpack.Decoder(OldPing | OldPong | OldAsk)
    for message, old in (
        (peer.Ping(7, 41, True, ("vm-1",)), OldPing(7, 41, True, ("vm-1",))),
        (peer.Pong(7, True, FORMAT), OldPong(7, True)),
        (peer.ForwardedRequest(8, "poll", "run-1", b""), OldAsk(8, "poll", "run-1", b"")),
    ):
        assert decoder.decode(peer.encode_frame(message)[4:]) == old


def test_nothing_of_chains_goes_to_a_peer_that_has_not_said_that_it_knows_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node of format 1 would accept the job without what it waits for, and start it."""
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

    assert (link.format, node.peers.peers_support(CHAINS_FORMAT)) == (0, True)
    assert (ask(chained=True), ask(chained=False)) == ([], ["submit"])
    link.format = 1
    assert not node.peers.peers_support(CHAINS_FORMAT)
    assert (ask(chained=True), ask(chained=False)) == ([], ["submit"])
    link.format = 2
    assert node.peers.peers_support(CHAINS_FORMAT)
    link.format = FORMAT
    assert node.peers.peers_support(CHAINS_FORMAT)
    assert (ask(chained=True), ask(chained=False)) == (["submit"], ["submit"])


def old_fleet(state: StandInState, machines: int) -> None:
    """A rental as format 1 wrote it under the larger limit."""
    names: dict[str, str | None] = {f"vm-{n:012}": f"10.1.0.{n}:9000" for n in range(machines)}
    state.put("h/welder-0-7-1", OldHire("m4", "a", True, machines, START, True, names))


def recorded(state: StandInState) -> dict[str, str | None]:
    """What a leader of format 1 would find."""
    found: dict[str, str | None] = {}
    for key, (value, _) in sorted(state.keys.items()):
        if key.startswith("h/"):
            found |= msgspec.convert(value, OldHire).machines
    return found


@pytest.mark.parametrize("ends_after", [0, 1, 2, 3, None])
def test_a_rental_over_the_limit_is_divided_in_steps_that_lose_no_machine(
    clock: Clock,
    ends_after: int | None,
) -> None:
    state = StandInState()
    old_fleet(state, 50)
    everything = recorded(state)
    state.value_bytes, state.max_writes = 1024, 4
    leader = new_leader(state, clock())

    async def divide(leader: Any, ends_after: int | None) -> None:
        background_task = asyncio.create_task(leader.state_writer.run())
        if ends_after is not None:
            state.fates = ["ok"] * ends_after + ["lost"] * 100
        leader.rental_manager.start()
        for _ in range(200):
            await asyncio.sleep(0)
            # At each moment any leader finds all of them.
            assert recorded(state) == everything
        await leader.close()
        background_task.cancel()
        await asyncio.gather(background_task, return_exceptions=True)

    asyncio.run(divide(leader, ends_after))
    if ends_after is not None:
        state.fates.clear()
        leader = new_leader(state, clock())
        assert sorted(leader.cluster.machines) == sorted(everything)
        assert all(machine.enrolled for machine in leader.cluster.machines.values())
        asyncio.run(divide(leader, None))
    values = [v for k, (v, _) in state.keys.items() if k.startswith("h/")]
    assert len(values) > 1
    assert all(len(msgspec.json.encode(value)) <= 1024 for value in values)
    # Each machine is in one record now, and its machine knows which.
    assert sum(len(value["machines"]) for value in values) == 50
    for machine in leader.cluster.machines.values():
        assert machine.name in state.keys[f"h/{machine.rental_name}"][0]["machines"]


def test_a_record_that_fits_is_left_alone(clock: Clock) -> None:
    state = StandInState()
    old_fleet(state, 50)
    leader = new_leader(state, clock())
    assert len(leader.rental_manager._divide_machines("welder-0-7-1")) == 1


def test_a_pong_says_the_format_and_a_link_remembers_it_while_it_is_up(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A peer that comes back may be another version: nothing is assumed of a new connection."""
    node = ControllerProcess(parse_settings(msgspec.json.encode(SETTINGS)), Tunables())
    node._state = cast(Any, SimpleNamespace(is_available=True))
    pong = asyncio.run(node._handle_peer_message("n-1", peer.Ping(7, 0, True)))
    assert pong == peer.Pong(7, True, FORMAT, False)

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
    said = [record.getMessage() for record in caplog.records]
    assert [line for line in said if "format" in line] == [
        "peer n-1 has format 1",
        f"peer n-1 has format {FORMAT}",
    ]
    assert node._links["n-1"].format == 0


def test_an_older_pong_does_not_say_that_its_sender_is_in_no_term() -> None:
    """Beside an older version a node that has just started keeps its former promises."""
    node = ControllerProcess(
        parse_settings(msgspec.json.encode(SETTINGS)), Tunables(), started_us=now_us()
    )
    older = msgspec.msgpack.encode(("pong", 7, True, 2))
    for name in node._links:
        node.election.observe_pong(name, cast(peer.Pong, peer.decode_message(older)), now_us())
    assert not node.election.candidacy.can_lead(now_us())
    for name in node._links:
        assert not node.election.candidacy.can_lead(now_us())
        node.election.observe_pong(name, peer.Pong(7, True, FORMAT, False), now_us())
    assert node.election.candidacy.can_lead(now_us())


class ChainsSpec(OldSpec, frozen=True):
    waits_on: tuple[str, ...] | None = None


class ChainsJob(msgspec.Struct):
    """How formats 2 and 3 read a job."""

    spec: ChainsSpec
    submitted_us: int
    cancelled: bool = False


@pytest.mark.parametrize(
    "binding",
    [
        AdmissionBinding(gate_hold=GateHold("book", 3)),
        AdmissionBinding(gate_action=GateAction("book", "approval", 3)),
    ],
)
def test_a_leader_that_knows_chains_and_no_gates_never_starts_what_a_gate_concerns(
    binding: AdmissionBinding,
) -> None:
    # Such a version may come back and lead while held jobs exist: their records name a need
    # that no job can have, so nobody ever commits its end.
    spec = job_spec(1, needs=("run-000009",))
    record = admitted_record(spec, START, binding)
    old = msgspec.json.decode(msgspec.json.encode(record), type=ChainsJob)
    assert old.spec.waits_on == ("run-000009", "gate/book")
    assert not is_job_id("gate/book") and without_gate(record.spec) == spec
    # What it does with a list of needs.
    of = cluster()
    chains = DependencyGraph(of.jobs)
    job = add_job(of, spec)
    chains.add(job, old.spec.waits_on)
    chains.mark_done("run-000009", START)
    assert job.waiting == 0 and chains.unresolved == {"gate/book"}
    # A cancellation that it writes is one for this version, and the other way round.
    cancelled = cancelled_record(record.spec, START, 8_192)
    assert msgspec.json.decode(msgspec.json.encode(cancelled), type=ChainsJob).cancelled


def test_a_job_that_concerns_no_gate_is_recorded_as_ever() -> None:
    spec = job_spec(412, zone="a", types=("m4",), deadline_s=900.0)
    record = admitted_record(spec, 1_760_000_000_000_000, AdmissionBinding())
    assert msgspec.json.encode(record) == JOB
