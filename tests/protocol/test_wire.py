"""Encoding and decoding: JSON messages, progress records, peer frames and the settings file."""

import math
from typing import cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec, machine_type
from tests.support.settings import SETTINGS
from weldhead.admission.feasibility import check_feasible
from weldhead.cluster_state.records import decode_progress, encode_progress
from weldhead.protocol import peer
from weldhead.protocol.settings import SettingsError, StateLimits, parse_settings
from weldhead.protocol.wire import (
    Command,
    Condition,
    DeleteKey,
    Heartbeat,
    HeartbeatAnswer,
    JobSpec,
    PutKey,
    Transaction,
    split_task_name,
    task_name,
)
from weldhead.transport.http_client import HttpClient
from weldhead.transport.state_client import StateClient

HEARTBEAT = b"""{"welder":"vm-000231","endpoint":"10.1.0.232:9000","frame":"g8","yard":"a",
 "loaners":true,"shift":1,"stamp":88,"torch":41,"recall_s":null,"novel":{"x":[1]},
 "pieces":[{"piece":"run-000412/3","pass":2,"status":"running"},
           {"piece":"run-000398/0","pass":1,"status":"ended","cause":"done"}]}"""


def test_heartbeat_is_decoded_and_unknown_fields_are_ignored() -> None:
    heartbeat = msgspec.json.decode(HEARTBEAT, type=Heartbeat)
    assert (heartbeat.machine, heartbeat.session, heartbeat.sequence, heartbeat.token) == (
        "vm-000231",
        1,
        88,
        41,
    )
    assert heartbeat.tasks[1].why == "done"
    assert heartbeat.notice_s is None


def test_answers_and_transactions_use_the_encoded_names() -> None:
    answer = HeartbeatAnswer(
        41, [Command("kill", "run-1/1", 1, 10.0), Command("run", "run-1/2", 2)]
    )
    assert msgspec.json.decode(msgspec.json.encode(answer)) == {
        "torch": 41,
        "orders": [
            {"order": "kill", "piece": "run-1/1", "pass": 1, "cooldown_s": 10.0},
            {"order": "run", "piece": "run-1/2", "pass": 2},
        ],
    }
    transaction = Transaction([Condition("a/b", 0)], [PutKey("a/b", {"x": 1}, 7), DeleteKey("c/d")])
    assert msgspec.json.decode(msgspec.json.encode(transaction)) == {
        "if": [{"key": "a/b", "mark": 0}],
        "writes": [{"set": "a/b", "value": {"x": 1}, "permit": 7}, {"delete": "c/d"}],
    }


@given(
    st.builds(
        job_spec,
        number=st.integers(0, 999_999),
        tasks=st.integers(1, 100_000),
        zone=st.none() | st.text(min_size=1, max_size=5),
        types=st.none() | st.lists(st.text(max_size=5), max_size=3).map(tuple),
        deadline_s=st.none() | st.floats(0, 1e6),
        needs=st.none() | st.lists(st.text(max_size=5), min_size=1, max_size=3).map(tuple),
    )
)
def test_job_specs_survive_the_store(spec: JobSpec) -> None:
    assert msgspec.json.decode(msgspec.json.encode(spec), type=JobSpec) == spec


@given(st.binary(max_size=300).map(lambda flags: bytes(f % 2 for f in flags)))
def test_progress_round_trip(flags: bytes) -> None:
    expected = [index for index, flag in enumerate(flags) if flag]
    assert decode_progress(encode_progress(flags), len(flags)) == expected


def test_progress_of_a_full_chunk_takes_under_2_kib() -> None:
    assert len(encode_progress(bytes([1]) * 8192)) < 2048


@given(st.integers(0, 99_999))
def test_task_names(index: int) -> None:
    assert split_task_name(task_name("run-000412", index)) == ("run-000412", index)


@pytest.mark.parametrize("name", ["", "run-1", "run-1/", "/1", "run-1/x", "run-1/-1"])
def test_malformed_task_name_is_refused(name: str) -> None:
    with pytest.raises(ValueError):
        split_task_name(name)


MESSAGES = st.one_of(
    st.builds(peer.Hello, st.text(max_size=20)),
    st.builds(
        peer.Ping,
        st.integers(0, 2**63),
        st.integers(0, 2**63),
        st.booleans(),
        st.lists(st.text(max_size=9), max_size=3).map(tuple),
    ),
    st.builds(
        peer.ForwardedRequest,
        st.integers(0, 2**63),
        st.sampled_from(["poll", "submit"]),
        st.text(max_size=9),
        st.binary(max_size=99),
    ),
    st.builds(peer.PromiseRequest, st.integers(0, 99), st.integers(0, 99), st.integers(0, 10**7)),
    st.builds(peer.PromiseAnswer, st.integers(0, 99), st.booleans()),
    st.builds(peer.Pong, st.integers(0, 99), st.booleans(), st.integers(1, 9)),
)


@given(MESSAGES)
def test_peer_frames_round_trip(message: peer.Message) -> None:
    frame = peer.encode_frame(message)
    assert peer.decode_frame_length(frame[:4]) == len(frame) - 4
    assert peer.decode_message(frame[4:]) == message


@given(st.binary(max_size=200))
def test_nonsense_from_a_peer_is_refused_not_crashed_on(body: bytes) -> None:
    try:
        message = peer.decode_message(body)
    except peer.PeerProtocolError:
        return
    assert peer.decode_message(peer.encode_frame(message)[4:]) == message


def test_oversized_frame_is_refused() -> None:
    with pytest.raises(peer.PeerProtocolError):
        peer.decode_frame_length((peer.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))


def test_settings_are_decoded() -> None:
    settings = parse_settings(msgspec.json.encode(SETTINGS))
    assert settings.peers[0].name == "n-1"
    assert settings.facts.limits.cpu_share == 0.5
    assert settings.facts.objectives[0].job_class == "x"


def test_team_limit_of_0_means_no_limit_also_when_reencoded() -> None:
    """A guest team has neither a guarantee nor a limit, and both are 0 in the settings.

    When 0 was taken for a limit, all jobs of such a team were refused with 422.
    """
    document = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    document["facts"]["teams"] = [{"name": "guest", "cpus": 0.0, "cpus_max": 0.0}]
    settings = parse_settings(msgspec.json.encode(document))
    again = parse_settings(msgspec.json.encode(settings))
    for (guest,) in (settings.facts.teams, again.facts.teams):
        assert (guest.cpus, guest.cpus_max, guest.gpus_max) == (0.0, math.inf, math.inf)
        check_feasible(job_spec(team="guest", tasks=50), {"guest": guest}, [machine_type()])


def test_tightest_limits_are_valid_before_and_after_a_change() -> None:
    """Limits of the state service change without notice, so both sets have to be respected.

    A client that waited for the change would exceed the new limits.
    """
    document = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    state = document["facts"]["state"]
    now = parse_settings(msgspec.json.encode(document)).facts.state
    assert now.tightest() == now
    state["next"] = {"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 4, "novel": 1}
    limits = parse_settings(msgspec.json.encode(document)).facts.state
    assert limits.tightest() == StateLimits(100.0, 18.0, 2.0, 4)
    assert limits.tightest().value_bytes == 2048
    client = StateClient(cast(HttpClient, None), "10.0.0.1:1", limits)
    assert (client.max_writes, client.limits.value_kb) == (4, 2.0)
    # A limit that will be larger after the change does not raise the present limit.
    state["next"] = {"value_kb": 64.0}
    assert parse_settings(msgspec.json.encode(document)).facts.state.tightest().value_kb == 8.0


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (("serve_on",), "nowhere", "serve_on"),
        (("external", "state"), "10.0.0.1:99999", "external.state"),
        (("facts", "workers", "lease_s"), 0, "facts.workers.lease_s"),
        (("facts", "state", "txn_ops"), 2, "facts.state.txn_ops"),
        (("facts", "state", "next"), {"txn_ops": 3}, "facts.state.txn_ops"),
        (("facts", "state", "next"), {"value_kb": 1.0}, "facts.state.value_kb"),
        (("facts", "teams"), None, "teams"),
        (("facts", "teams"), [{"name": "red", "cpus": -1}], "facts.teams: red: cpus"),
        (("facts", "teams"), [{"name": "red", "cpus_max": -4}], "facts.teams: red: cpus_max"),
        (("facts", "teams"), [{"name": "red"}, {"name": "red"}], "facts.teams: two"),
        (("label",), 7, "label"),
    ],
)
def test_error_in_settings_names_the_field(
    path: tuple[str, ...], value: object, field: str
) -> None:
    document = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    parent = document
    for part in path[:-1]:
        parent = parent[part]
    parent[path[-1]] = value
    with pytest.raises(SettingsError, match=field):
        parse_settings(msgspec.json.encode(document))
