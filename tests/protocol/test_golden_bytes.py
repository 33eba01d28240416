"""The encoding of every record and message is still the one that format 5 first wrote.

``golden_bytes.json`` has one literal of each type with every field set. Records, files and HTTP
bodies are JSON; frames between controllers are hexadecimal digits. These tests fail if a field is
renamed in the code without a mapping to its encoded name.
"""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from weldhead.calendars import binding as calendar_binding
from weldhead.calendars import calendar_document, calendar_state
from weldhead.client import answers, decisions, policy
from weldhead.cluster_state import preemption_history, records
from weldhead.controller.configuration import (
    document_file,
    gate_binder,
    late_notifications,
    run_time_history,
)
from weldhead.controller.scheduling_loop import preemption_recorder
from weldhead.documents import records as document_records
from weldhead.gates import gate_document, gate_state
from weldhead.protocol import peer, settings, wire
from weldhead.site import front, pool, worker
from weldhead.site.store import model as store

GOLDEN: dict[str, str] = json.loads(
    Path(__file__).with_name("golden_bytes.json").read_text(encoding="utf-8")
)
TYPES: dict[str, Any] = {
    "record: LeaderRecord": records.LeaderRecord,
    "record: UnsettledRecord": records.UnsettledRecord,
    "record: JobRecord": records.JobRecord,
    "record: FinalRecord": records.FinalRecord,
    "record: RentalRecord": records.RentalRecord,
    "document: Calendar": calendar_document.Calendar,
    "record: CalendarState": calendar_state.CalendarState,
    "client: Answer": answers.Answer,
    "client: Run": decisions.Run,
    "client: Policy": policy.Policy,
    "record: PreemptedRecord": preemption_recorder.PreemptedRecord,
    "record: HeadRecord": document_records.HeadRecord,
    "record: DocumentSet": document_records.DocumentSet,
    "documents file: Source": document_file.DocumentFile,
    "document: Gate": gate_document.Gate,
    "record: GateState": gate_state.GateState,
    "peer: Hello": peer.Hello,
    "peer: Ping": peer.Ping,
    "peer: Pong": peer.Pong,
    "peer: ForwardedRequest": peer.ForwardedRequest,
    "peer: ForwardedAnswer": peer.ForwardedAnswer,
    "peer: PromiseRequest": peer.PromiseRequest,
    "peer: PromiseAnswer": peer.PromiseAnswer,
    "peer: IndirectProbe": peer.IndirectProbe,
    "peer: IndirectProbeAnswer": peer.IndirectProbeAnswer,
    "peer: LeaderResigned": peer.LeaderResigned,
    "settings: Settings": settings.Settings,
    "wire: JobSpec": wire.JobSpec,
    "wire: JobStatus": wire.JobStatus,
    "wire: ErrorBody": wire.ErrorBody,
    "wire: TaskReport": wire.ReportedTask,
    "wire: Report": wire.Heartbeat,
    "wire: Command": wire.Command,
    "wire: ReportAnswer": wire.HeartbeatAnswer,
    "wire: DirectCommands": wire.DirectCommands,
    "wire: Redirect": wire.LeaderRedirect,
    "wire: MachineType": wire.MachineType,
    "wire: Catalog": wire.Catalog,
    "wire: RentalRequest": wire.RentalRequest,
    "wire: MachineNames": wire.MachineNames,
    "wire: ListedMachine": wire.ListedMachine,
    "wire: MachineList": wire.MachineList,
    "wire: Entry": wire.KeyValue,
    "wire: Page": wire.KeyValuePage,
    "wire: Condition": wire.Condition,
    "wire: Put": wire.PutKey,
    "wire: Delete": wire.DeleteKey,
    "wire: Committed": wire.CommittedRevision,
    "wire: Grant": wire.GrantedLease,
    "wire: GrantRequest": wire.LeaseRequest,
    "wire: Event": wire.KeyEvent,
    "wire: Changes": wire.KeyChanges,
    "site: AttemptRecord": front.AttemptRecord,
    "site: TaskFailure": front.TaskFailure,
    "site: JobOutcome": front.JobOutcome,
    "site pool: Rented": pool.Rented,
    "site pool: Launched": pool.Launched,
    "site pool: Gone": pool.Gone,
    "site store log: Put": store.StoredPut,
    "site store log: Removal": store.Removal,
    "site store log: Commit": store.Commit,
    "site store log: Granted": store.LeaseGranted,
    "site store log: Ended": store.LeaseEnded,
    "site store log: Kept": store.StoredKey,
    "site store log: Base": store.SnapshotHeader,
    "site: Work": worker.JobDescription,
    "record: late jobs": late_notifications.Chunk,
    "record: class history": run_time_history.ClassHistory,
    "record: progress": str,
}
#: Messages that are encoded but never decoded by this code.
WRITTEN_ONLY = {
    "wire: Transaction": wire.Transaction(
        [wire.Condition("leader", 41)],
        [wire.PutKey("j/run-1", {"a": 1}, 7), wire.DeleteKey("p/run-1/0")],
    )
}


def test_every_literal_has_a_type() -> None:
    assert GOLDEN.keys() == TYPES.keys() | WRITTEN_ONLY.keys()


@pytest.mark.parametrize("kind", [k for k in TYPES if not k.startswith("peer: ")])
def test_json_decodes_and_encodes_to_the_same_bytes(kind: str) -> None:
    literal = GOLDEN[kind].encode()
    value = msgspec.json.decode(literal, type=TYPES[kind])
    assert msgspec.json.encode(value) == literal


@pytest.mark.parametrize("kind", [k for k in TYPES if k.startswith("peer: ")])
def test_frames_decode_and_encode_to_the_same_bytes(kind: str) -> None:
    frame = bytes.fromhex(GOLDEN[kind])
    assert peer.decode_frame_length(frame[:4]) == len(frame) - 4
    message = peer.decode_message(frame[4:])
    assert type(message) is TYPES[kind]
    assert peer.encode_frame(message) == frame


@pytest.mark.parametrize("kind", WRITTEN_ONLY)
def test_written_only_messages_encode_to_the_same_bytes(kind: str) -> None:
    assert msgspec.json.encode(WRITTEN_ONLY[kind]).decode() == GOLDEN[kind]


def test_keys_of_records_are_unchanged() -> None:
    keys = [
        records.LEADER_KEY,
        records.UNSETTLED_KEY,
        records.job_key("run-1"),
        records.progress_key("run-1", 2),
        records.final_key("run-1"),
        records.RENTALS + "n-0-41-1",
        preemption_history.preempted_key(preemption_history.shard_of("run-1")),
        document_records.HEAD_KEY,
        document_records.document_key(7, "gate/g"),
        document_records.state_key(calendar_binding.CALENDAR_KIND, "c"),
        document_records.state_key(gate_binder.KIND, "g"),
        document_records.state_key(late_notifications.KIND, "0"),
        run_time_history.HISTORY_KEY,
    ]
    assert keys == [
        "leader",
        "unsettled",
        "j/run-1",
        "p/run-1/2",
        "f/run-1",
        "h/n-0-41-1",
        "t/3",
        "d/head",
        "d/doc/7/gate/g",
        "d/state/calendar/c",
        "d/state/gate/g",
        "d/state/late/0",
        "d/state/history/classes",
    ]
