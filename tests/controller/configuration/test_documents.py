"""Documents: an edition comes into force as a whole, even if leaders fail while writing it."""

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
from weldhead.controller.configuration.document_file import parse_documents
from weldhead.controller.configuration.document_publisher import DocumentPublisher
from weldhead.controller.configuration.document_replica import DocumentReplica
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import (
    EditionVerdict,
    classify_edition,
    find_outdated_documents,
    plan_publication,
)
from weldhead.documents.records import (
    HEAD_KEY,
    DocumentSet,
    HeadRecord,
    document_key,
    parse_edition,
)
from weldhead.protocol.wire import MAX_BODY_BYTES, Condition, PutKey, Transaction
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


def document_sets(edition: int) -> st.SearchStrategy[DocumentSet]:
    names = st.sampled_from(["gate/a", "gate/b", "calendar/a", "calendar/b", "gate/c"])
    bodies = st.integers(0, 9).map(lambda n: msgspec.Raw(b'{"n":%d}' % n))
    return st.dictionaries(names, bodies, max_size=5).map(
        lambda documents: DocumentSet(edition, documents)
    )


def documents_in_force(cache: DocumentCache) -> dict[str, bytes] | None:
    """Return the documents that a reader finds in force, or None if one of them is missing."""
    head = cache.head
    documents = {}
    for name in head.documents if head is not None else ():
        entry = cache.get(document_key(head.edition if head else 0, name), msgspec.Raw)
        if entry is None:
            return None
        documents[name] = bytes(entry.value)
    return documents


@given(st.data())
def test_edition_is_in_force_as_a_whole_or_not_at_all(data: Any) -> None:
    # A leader may end after any transaction of a publication. The next leader then publishes the
    # same or another edition. No reader may ever find part of an edition in force.
    cache, revision = DocumentCache(), 0
    editions = st.integers(1, 4)
    published: dict[str, bytes] = {}
    for _ in range(data.draw(st.integers(1, 5))):
        offer = data.draw(editions.flatmap(document_sets))
        verdict = classify_edition(cache.head, offer, 1_000)
        if verdict is not EditionVerdict.ACCEPTED:
            assert cache.head is not None and cache.head.edition >= offer.edition
            continue
        transactions = plan_publication(offer, cache.document_keys(), data.draw(st.integers(1, 3)))
        transactions += [
            {key: None} for key in find_outdated_documents(cache.head, cache.document_keys())
        ]
        for changes in transactions[: data.draw(st.integers(0, len(transactions)))]:
            revision += 1
            for key, value in changes.items():
                if value is None:
                    cache.drop(key, revision)
                else:
                    cache.put(key, msgspec.json.encode(value), revision)
            if HEAD_KEY in changes:
                published = {name: bytes(body) for name, body in offer.documents.items()}
            assert documents_in_force(cache) == published
    # The documents to be deleted do not belong to the edition in force.
    head = cache.head
    outdated = find_outdated_documents(head, cache.document_keys())
    assert all(parse_edition(key) != (head.edition if head else 0) for key in outdated)


# A transaction of as many large documents as its number of changes allows was refused as too
# large, and the edition never came into force.
@given(
    st.lists(st.sampled_from([2, 500, 7_000, 8_192]), min_size=1, max_size=30),
    st.sampled_from([1, 3, 9, 12]),
)
def test_publication_fits_into_bodies(sizes: list[int], max_changes: int) -> None:
    documents = {
        f"gate/{number:03}": msgspec.Raw(b'"' + b"x" * (size - 2) + b'"')
        for number, size in enumerate(sizes)
    }
    *writes, head = plan_publication(DocumentSet(1, documents), [], max_changes)
    assert list(head) == [HEAD_KEY]
    for changes in writes:
        assert 1 <= len(changes) <= max_changes
        transaction = Transaction(
            [Condition("leader", 2**64 - 1)], [PutKey(key, body) for key, body in changes.items()]
        )
        assert len(msgspec.json.encode(transaction)) <= MAX_BODY_BYTES
    assert sorted(key for changes in writes for key in changes) == [
        document_key(1, name) for name in sorted(documents)
    ]


def test_edition_with_same_number_but_other_content_conflicts() -> None:
    offer = DocumentSet(4, {"gate/a": msgspec.Raw(b"1")})
    head = HeadRecord(4, DocumentSet(4, {"gate/a": msgspec.Raw(b"2")}).digest, ("gate/a",))
    assert classify_edition(head, offer, 100) is EditionVerdict.CONFLICTING
    assert classify_edition(HeadRecord(4, offer.digest), offer, 100) is EditionVerdict.IN_FORCE
    assert classify_edition(HeadRecord(5, offer.digest), offer, 100) is EditionVerdict.OLDER
    assert classify_edition(None, offer, 0) is EditionVerdict.TOO_LARGE


@given(st.permutations([("put", b"1", 3), ("put", b"2", 5), ("drop", b"", 7), ("put", b"3", 9)]))
def test_cached_version_never_decreases(order: list[tuple[str, bytes, int]]) -> None:
    # Changes may arrive in any order; one that is older than the cached version is ignored.
    cache = DocumentCache()
    newest = 0
    for operation, body, version in order:
        before = cache.version("d/x")
        if operation == "put":
            cache.put("d/x", body, version)
        else:
            cache.drop("d/x", version)
        newest = max(newest, version)
        assert cache.version("d/x") in (0, before, version) and cache.version("d/x") <= newest
        assert not cache.version("d/x") or cache.version("d/x") >= before or operation == "drop"


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
def test_file_errors_name_the_line(change: tuple[str, str], line: int, word: str) -> None:
    with pytest.raises(FileProblemError) as problem:
        parse_documents("days.toml", SOURCE.replace(*change), 8_000)
    assert word in str(problem.value) and f"days.toml:{line}" in str(problem.value)


def test_oversized_document_is_refused_with_its_line() -> None:
    with pytest.raises(FileProblemError, match=r"days.toml:4: .*100 at most"):
        parse_documents("days.toml", SOURCE, 100)


def new_leader(
    state: StandInState, offer: DocumentSet | None
) -> tuple[DocumentPublisher, StateWriter]:
    """Let a new leader acquire the token, and return its publisher and state writer."""
    token = state.put("leader", {"name": "n-0", "nonce": "x", "ttl_us": 3})
    client = cast(StateClient, state)
    state_writer = StateWriter(client, token)

    async def unreachable_leader(kind: str, job_id: str, body: bytes) -> None:
        return None

    documents = DocumentReplica(client, offer, unreachable_leader)
    return DocumentPublisher(documents, client, lambda: state_writer, lambda: True), state_writer


def test_new_leader_completes_an_unfinished_publication() -> None:
    async def run_scenario() -> None:
        state = StandInState()
        offer = parse_documents("days.toml", SOURCE, 8_000)
        first, state_writer = new_leader(state, offer)
        await first.load()
        # The first leader ends after the first transaction, before it has written the head.
        writer_task = asyncio.create_task(state_writer.run())
        await first.write(plan_publication(offer, [], 1)[0])
        writer_task.cancel()
        assert HEAD_KEY not in state.keys
        second, state_writer = new_leader(state, offer)
        await second.load()
        assert len(second.cache.document_keys()) == 1 and second.cache.head is None
        tasks = [
            asyncio.create_task(state_writer.run()),
            asyncio.create_task(second.publish_offers()),
        ]
        for _ in range(200):
            await asyncio.sleep(0)
        for task in tasks:
            task.cancel()
        head = second.cache.get(HEAD_KEY, HeadRecord)
        assert head is not None and head.value.edition == 3
        assert documents_in_force(second.cache) == {n: bytes(b) for n, b in offer.documents.items()}
        # A third leader reads the same documents, and refuses an older edition.
        third, _ = new_leader(state, None)
        await third.load()
        assert documents_in_force(third.cache) == documents_in_force(second.cache)
        older = msgspec.json.encode(DocumentSet(2, {}))
        assert third.handle_offer(older).body == b'"older"'

    asyncio.run(run_scenario())


def test_calendar_deadline_is_part_of_the_job_record() -> None:
    state = StandInState()
    deadline = CalendarDeadline("morning", 3, START + 5)
    put_job(state, job_spec(1), deadline=deadline)
    record = msgspec.json.decode(
        msgspec.json.encode(state.keys[job_key(job_spec(1).id)][0]), type=JobRecord
    )
    assert record.deadline == deadline
    earlier = AdmissionBinding(
        CalendarDeadline("noon", 3, START), conditions=(Condition("d/a", 1),)
    )
    merged = AdmissionBinding(deadline, conditions=(Condition("d/b", 2),)).merged(earlier)
    assert merged.deadline == earlier.deadline and len(merged.conditions) == 2
