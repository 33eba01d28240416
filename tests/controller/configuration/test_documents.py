"""Documents: editions come into force whole, whoever fails in between."""

import asyncio
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec
from tests.support.leaders import START, put_job
from tests.support.stand_ins import StandInState
from weldhead.cluster_state.records import AdmissionBinding, CalendarDeadline, JobRecord, job_key
from weldhead.cluster_state.state_writer import StateWriter
from weldhead.controller.configuration.document_file import parse_source
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import EditionVerdict, judge_edition, leftovers, steps
from weldhead.documents.records import HEAD_KEY, DocumentSet, HeadRecord, document_key, edition_of
from weldhead.protocol.wire import Condition
from weldhead.tomlfiles import FileProblemError
from weldhead.transport.state_client import StateClient

SOURCE = """
edition = 3

[[calendar]]
name = "morning"
zone = "Europe/Zagreb"
rule = "FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR"
first-day = 2026-01-01
hour = "06:30"
classes = ["balance"]

[[gate]]
name = "book"
holds = ["cuts"]
rebuild = { job-class = "rebuild" }
approval = { job-class = "approve", team = "sales" }
publication = { job-class = "publish" }
"""


def offers(number: int) -> st.SearchStrategy[DocumentSet]:
    names = st.sampled_from(["gate/a", "gate/b", "calendar/a", "calendar/b", "gate/c"])
    bodies = st.integers(0, 9).map(lambda n: msgspec.Raw(b'{"n":%d}' % n))
    return st.dictionaries(names, bodies, max_size=5).map(lambda found: DocumentSet(number, found))


def seen(cache: DocumentCache) -> dict[str, bytes] | None:
    """What a reader takes to be in force; None: a document of it is missing."""
    head = cache.head
    found = {}
    for name in head.documents if head is not None else ():
        kept = cache.get(document_key(head.edition if head else 0, name), msgspec.Raw)
        if kept is None:
            return None
        found[name] = bytes(kept.value)
    return found


@given(st.data())
def test_an_edition_is_in_force_whole_or_not_at_all(data: Any) -> None:
    # Leaders end after any step; the next one brings the same or another edition into force.
    cache, revision = DocumentCache(), 0
    numbers = st.integers(1, 4)
    last: dict[str, bytes] = {}
    for _ in range(data.draw(st.integers(1, 5))):
        offer = data.draw(numbers.flatmap(offers))
        verdict = judge_edition(cache.head, offer, 1_000)
        if verdict is not EditionVerdict.TAKEN:
            assert cache.head is not None and cache.head.edition >= offer.edition
            continue
        changes = steps(offer, cache.documents(), data.draw(st.integers(1, 3)))
        changes += [{key: None} for key in leftovers(cache.head, cache.documents())]
        for step in changes[: data.draw(st.integers(0, len(changes)))]:
            revision += 1
            for key, value in step.items():
                if value is None:
                    cache.drop(key, revision)
                else:
                    cache.put(key, msgspec.json.encode(value), revision)
            if HEAD_KEY in step:
                last = {name: bytes(body) for name, body in offer.documents.items()}
            assert seen(cache) == last
    # What the end has left behind is of no edition that is in force.
    head = cache.head
    strays = leftovers(head, cache.documents())
    assert all(edition_of(key) != (head.edition if head else 0) for key in strays)


def test_the_same_number_with_other_content_is_refused() -> None:
    offer = DocumentSet(4, {"gate/a": msgspec.Raw(b"1")})
    head = HeadRecord(4, DocumentSet(4, {"gate/a": msgspec.Raw(b"2")}).digest, ("gate/a",))
    assert judge_edition(head, offer, 100) is EditionVerdict.CONTRADICTS
    assert judge_edition(HeadRecord(4, offer.digest), offer, 100) is EditionVerdict.SAME
    assert judge_edition(HeadRecord(5, offer.digest), offer, 100) is EditionVerdict.OLDER
    assert judge_edition(None, offer, 0) is EditionVerdict.TOO_LARGE


@given(st.permutations([("put", b"1", 3), ("put", b"2", 5), ("drop", b"", 7), ("put", b"3", 9)]))
def test_a_copy_never_goes_back(order: list[tuple[str, bytes, int]]) -> None:
    cache = DocumentCache()
    newest = 0
    for what, body, mark in order:
        before = cache.version("d/x")
        if what == "put":
            cache.put("d/x", body, mark)
        else:
            cache.drop("d/x", mark)
        newest = max(newest, mark)
        assert cache.version("d/x") in (0, before, mark) and cache.version("d/x") <= newest
        assert not cache.version("d/x") or cache.version("d/x") >= before or what == "drop"


@pytest.mark.parametrize(
    ("change", "line", "word"),
    [
        (("edition = 3", "edition = 0"), 2, "from 1 on"),
        (('hour = "06:30"', 'hour = "6:30"'), 9, "HH:MM"),
        (('name = "book"', 'name = "Book!"'), 13, "letters"),
        (('classes = ["balance"]', "classes = []"), 5, "binds no class"),
        (('holds = ["cuts"]', 'holds = ["cuts"]\nhold = 1'), 15, "unknown"),
        (('"rebuild" }', '"cuts" }'), 15, "would wait for it"),
    ],
)
def test_errors_name_the_line(change: tuple[str, str], line: int, word: str) -> None:
    with pytest.raises(FileProblemError) as problem:
        parse_source("days.toml", SOURCE.replace(*change), 8_000)
    assert word in str(problem.value) and f"days.toml:{line}" in str(problem.value)


def test_a_document_that_no_record_takes_is_refused_with_its_line() -> None:
    with pytest.raises(FileProblemError, match=r"days.toml:4: .*100 at most"):
        parse_source("days.toml", SOURCE, 100)


def publisher(
    state: StandInState, offer: DocumentSet | None
) -> tuple[DocumentPublisher, StateWriter]:
    token = state.put("leader", {"name": "n-0", "nonce": "x", "ttl_us": 3})
    client = cast(StateClient, state)
    ledger = StateWriter(client, token)

    async def nobody(kind: str, job_id: str, body: bytes) -> None:
        return None

    documents = DocumentReplica(client, offer, nobody)
    return DocumentPublisher(documents, client, lambda: ledger, lambda: True), ledger


def test_a_successor_goes_on_where_a_leader_ended() -> None:
    async def play() -> None:
        state = StandInState()
        offer = parse_source("days.toml", SOURCE, 8_000)
        first, ledger = publisher(state, offer)
        await first.load()
        # It ends after the first step of the edition, before the head.
        running = asyncio.create_task(ledger.run())
        await first.write(steps(offer, [], 1)[0])
        running.cancel()
        assert HEAD_KEY not in state.keys
        second, ledger = publisher(state, offer)
        await second.load()
        assert len(second.cache.documents()) == 1 and second.cache.head is None
        tasks = [asyncio.create_task(ledger.run()), asyncio.create_task(second.publish())]
        for _ in range(200):
            await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        head = second.cache.get(HEAD_KEY, HeadRecord)
        assert head is not None and head.value.edition == 3
        assert seen(second.cache) == {n: bytes(b) for n, b in offer.documents.items()}
        # Another one reads the same, and takes no older edition.
        third, _ = publisher(state, None)
        await third.load()
        assert seen(third.cache) == seen(second.cache)
        older = msgspec.json.encode(DocumentSet(2, {}))
        assert third.accept_offer(older).body == b'"older"'

    asyncio.run(play())


def test_what_bound_a_job_is_loaded_with_it() -> None:
    state = StandInState()
    bound = CalendarDeadline("morning", 3, START + 5)
    put_job(state, job_spec(1), deadline=bound)
    record = msgspec.json.decode(
        msgspec.json.encode(state.keys[job_key(job_spec(1).id)][0]), type=JobRecord
    )
    assert record.deadline == bound
    earlier = AdmissionBinding(
        CalendarDeadline("noon", 3, START), conditions=(Condition("d/a", 1),)
    )
    both = AdmissionBinding(bound, conditions=(Condition("d/b", 2),)).merged(earlier)
    assert both.deadline == earlier.deadline and len(both.conditions) == 2
