"""The client's journal: a SQLite database of submissions, their runs and final answers.

A submission is on disk before the first byte of its job is sent, under the caller's key and with
the id of its first run; the id of a run never changes. Several processes may use one journal at
once: the records of runs only move forward (:func:`weldhead.client.decisions.advance`), the first
final answer stays, and only one process begins each run of a submission.

One thread executes all changes of a process. Changes that arrive while the thread is busy are
committed together (group commit), so that thousands of simultaneous submissions do not cost
thousands of disk syncs.
"""

import asyncio
import concurrent.futures
import hashlib
import queue
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from weldhead.client.answers import Answer
from weldhead.client.decisions import Run, RunUpdate, advance
from weldhead.client.job import Job, describe_differences
from weldhead.client.policy import Policy
from weldhead.clock import SECOND_US, wall_us

T = TypeVar("T")

JOURNAL_FORMAT = 1
DAY_US = 86_400 * SECOND_US
#: The maximum number of changes that are committed together.
_MAX_GROUP_COMMIT = 512

_SCHEMA = """
CREATE TABLE submissions (
    key TEXT PRIMARY KEY,
    created_us INTEGER NOT NULL,
    digest BLOB NOT NULL,
    content BLOB,
    policy BLOB NOT NULL,
    cancelled INTEGER NOT NULL DEFAULT 0,
    answer BLOB,
    final_us INTEGER
) WITHOUT ROWID;
CREATE TABLE runs (
    id TEXT PRIMARY KEY,
    key TEXT NOT NULL,
    number INTEGER NOT NULL,
    record BLOB NOT NULL,
    UNIQUE (key, number)
) WITHOUT ROWID;
CREATE INDEX unfinished ON submissions (created_us) WHERE answer IS NULL;
CREATE INDEX finished ON submissions (final_us) WHERE answer IS NOT NULL;
"""

_run_decoder = msgspec.msgpack.Decoder(Run)
_answer_decoder = msgspec.json.Decoder(Answer)
_job_decoder = msgspec.json.Decoder(Job)
_policy_decoder = msgspec.json.Decoder(Policy)


class JournalError(Exception):
    """The journal cannot be read or written; nothing was sent because of that."""


class KeyConflict(Exception):
    """The key belongs to a different job; ``differences`` has a line for each differing field."""

    def __init__(self, key: str, lines: list[str]) -> None:
        super().__init__(f"key {key!r} was used for another job: " + "; ".join(lines))
        self.key = key
        self.differences = lines


class JournalEntry(msgspec.Struct):
    """A submission in the journal; ``job`` is None after the submission was compacted."""

    key: str
    created_us: int
    job: Job | None
    policy: Policy
    cancelled: bool
    runs: list[Run]
    answer: Answer | None


def content_digest(content: bytes) -> bytes:
    """Return a digest by which encoded jobs are compared."""
    return hashlib.blake2b(content, digest_size=16).digest()


class Journal:
    """The journal at a path; its own thread makes all changes.

    ``step`` is called with the name ``commit`` before and ``committed`` after every commit, so
    that a test can end the process at each point. ``most_pages`` bounds the size of the file.
    """

    def __init__(
        self,
        path: Path,
        step: Callable[[str], None] = lambda name: None,
        most_pages: int | None = None,
    ) -> None:
        self._path = path
        self._step = step
        self._most_pages = most_pages
        self._requests: queue.SimpleQueue[
            tuple[Callable[[sqlite3.Connection], Any], concurrent.futures.Future[Any]] | None
        ] = queue.SimpleQueue()
        opened: concurrent.futures.Future[None] = concurrent.futures.Future()
        self._thread = threading.Thread(
            target=self._run_thread, args=(opened,), name="journal", daemon=True
        )
        self._thread.start()
        opened.result()

    # The thread that executes the changes

    def _open(self) -> sqlite3.Connection:
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            connection = sqlite3.connect(self._path, timeout=20.0, isolation_level=None)
            connection.execute("PRAGMA journal_mode=WAL")
            connection.execute("PRAGMA synchronous=FULL")
            if self._most_pages is not None:
                connection.execute(f"PRAGMA max_page_count={self._most_pages}")
            problems = connection.execute("PRAGMA quick_check(1)").fetchall()
            if problems != [("ok",)]:
                raise JournalError(f"{self._path}: damaged: {problems[0][0]}")
            connection.execute("BEGIN IMMEDIATE")
            (version,) = connection.execute("PRAGMA user_version").fetchone()
            if version == 0:
                for statement in _SCHEMA.split(";"):
                    connection.execute(statement)
                connection.execute(f"PRAGMA user_version={JOURNAL_FORMAT}")
            connection.execute("COMMIT")
            if version > JOURNAL_FORMAT:
                raise JournalError(
                    f"{self._path}: format {version}, and this version reads {JOURNAL_FORMAT}"
                )
        except (sqlite3.Error, OSError) as error:
            raise JournalError(f"{self._path}: {error}") from error
        return connection

    def _run_thread(self, opened: concurrent.futures.Future[None]) -> None:
        try:
            connection = self._open()
        except BaseException as error:
            opened.set_exception(error)
            return
        opened.set_result(None)
        while (first := self._requests.get()) is not None:
            group = [first]
            closing = False
            while len(group) < _MAX_GROUP_COMMIT and not self._requests.empty():
                request = self._requests.get()
                if request is None:
                    closing = True
                    break
                group.append(request)
            # A caller may have cancelled its future. The change is made all the same, but the
            # future gets no result: setting the result of a cancelled future raised an error
            # that ended this thread, so that every later call waited for ever.
            uncancelled = {
                id(future) for _, future in group if future.set_running_or_notify_cancel()
            }
            self._commit(connection, group, uncancelled)
            if closing:
                break
        connection.close()

    def _commit(
        self,
        connection: sqlite3.Connection,
        group: list[tuple[Callable[[sqlite3.Connection], Any], concurrent.futures.Future[Any]]],
        uncancelled: set[int],
    ) -> None:
        results: list[tuple[concurrent.futures.Future[Any], Any]] = []
        failed: list[tuple[concurrent.futures.Future[Any], Exception]] = []
        try:
            connection.execute("BEGIN IMMEDIATE")
            for work, future in group:
                connection.execute("SAVEPOINT one")
                try:
                    results.append((future, work(connection)))
                except (KeyConflict, KeyError) as refused:
                    connection.execute("ROLLBACK TO one")
                    failed.append((future, refused))
                connection.execute("RELEASE one")
            self._step("commit")
            connection.execute("COMMIT")
            self._step("committed")
        except (sqlite3.Error, msgspec.MsgspecError) as error:
            if connection.in_transaction:
                connection.execute("ROLLBACK")
            problem = JournalError(f"{self._path}: {error}")
            for _, future in group:
                if id(future) in uncancelled:
                    future.set_exception(problem)
            return
        for future, result in results:
            if id(future) in uncancelled:
                future.set_result(result)
        for future, reason in failed:
            if id(future) in uncancelled:
                future.set_exception(reason)

    def call(self, work: Callable[[sqlite3.Connection], T]) -> "concurrent.futures.Future[T]":
        """Have the journal's thread run a function within a transaction."""
        future: concurrent.futures.Future[T] = concurrent.futures.Future()
        if not self._thread.is_alive():
            raise JournalError(f"{self._path}: closed")
        self._requests.put((work, future))
        return future

    async def _call_async(self, work: Callable[[sqlite3.Connection], T]) -> T:
        return await asyncio.wrap_future(self.call(work))

    def close(self) -> None:
        """Commit all waiting changes, and close the database."""
        self._requests.put(None)
        self._thread.join()

    # Submissions and their runs

    async def begin(self, key: str, job: Job, policy: Policy, first_id: str) -> JournalEntry:
        """Store a submission, or return the one that is stored under the key.

        Raises KeyConflict if the key belongs to a different job.
        """
        content = job.content()

        def work(connection: sqlite3.Connection) -> JournalEntry:
            known = _find_entry(connection, key)
            if known is None:
                connection.execute(
                    "INSERT INTO submissions (key, created_us, digest, content, policy)"
                    " VALUES (?, ?, ?, ?, ?)",
                    (key, wall_us(), content_digest(content), content, msgspec.json.encode(policy)),
                )
                _insert_run(connection, key, Run(first_id, 1))
                known = _find_entry(connection, key)
                assert known is not None
                return known
            row = connection.execute(
                "SELECT digest, content FROM submissions WHERE key = ?", (key,)
            ).fetchone()
            if row[0] != content_digest(content):
                lines = (
                    describe_differences(row[1], content)
                    if row[1] is not None
                    else ["what it was is not kept any more"]
                )
                raise KeyConflict(key, lines)
            return known

        return await self._call_async(work)

    async def find(self, key: str) -> JournalEntry | None:
        """Return the submission with the given key, or None."""
        return await self._call_async(lambda connection: _find_entry(connection, key))

    async def key_of(self, job_id: str) -> str | None:
        """Return the key of the submission that has a run with this job id, or None."""

        def work(connection: sqlite3.Connection) -> str | None:
            row = connection.execute("SELECT key FROM runs WHERE id = ?", (job_id,)).fetchone()
            return None if row is None else str(row[0])

        return await self._call_async(work)

    async def entries(self, *, unfinished: bool = False, most: int = 10_000) -> list[JournalEntry]:
        """Return the newest ``most`` submissions, the oldest of them first."""
        condition = "WHERE answer IS NULL" if unfinished else ""

        def work(connection: sqlite3.Connection) -> list[JournalEntry]:
            rows = connection.execute(
                f"SELECT key FROM submissions {condition} ORDER BY created_us DESC, key LIMIT ?",
                (most,),
            ).fetchall()
            found = [_find_entry(connection, row[0]) for row in reversed(rows)]
            return [entry for entry in found if entry is not None]

        return await self._call_async(work)

    async def change(self, job_id: str, news: RunUpdate) -> Run:
        """Apply an update to a run's record, and return the new record."""

        def work(connection: sqlite3.Connection) -> Run:
            row = connection.execute("SELECT record FROM runs WHERE id = ?", (job_id,)).fetchone()
            if row is None:
                raise KeyError(job_id)
            run = advance(_run_decoder.decode(row[0]), news)
            connection.execute(
                "UPDATE runs SET record = ? WHERE id = ?", (msgspec.msgpack.encode(run), job_id)
            )
            return run

        return await self._call_async(work)

    async def cancel(self, key: str) -> JournalEntry:
        """Record that the caller withdraws the submission, including its last run."""

        def work(connection: sqlite3.Connection) -> JournalEntry:
            connection.execute("UPDATE submissions SET cancelled = 1 WHERE key = ?", (key,))
            entry = _find_entry(connection, key)
            if entry is None:
                raise KeyError(key)
            if entry.answer is None and entry.runs:
                run = advance(entry.runs[-1], RunUpdate(cancel=True))
                connection.execute(
                    "UPDATE runs SET record = ? WHERE id = ?", (msgspec.msgpack.encode(run), run.id)
                )
                entry.runs[-1] = run
            return entry

        return await self._call_async(work)

    async def repeat(self, key: str, number: int, new_id: str) -> Run | None:
        """Begin the submission's run with the given number, and return its record.

        If a process has already begun that run, returns its record. Returns None if the
        submission is cancelled or has its final answer.
        """

        def work(connection: sqlite3.Connection) -> Run | None:
            entry = _find_entry(connection, key)
            if entry is None:
                raise KeyError(key)
            for run in entry.runs:
                if run.number == number:
                    return run
            if entry.cancelled or entry.answer is not None:
                return None
            run = Run(new_id, number)
            _insert_run(connection, key, run)
            return run

        return await self._call_async(work)

    async def finish(self, key: str, answer: Answer) -> Answer:
        """Store the final answer and return it, or return the answer that is already stored."""

        def work(connection: sqlite3.Connection) -> Answer:
            row = connection.execute(
                "SELECT answer FROM submissions WHERE key = ?", (key,)
            ).fetchone()
            if row is None:
                raise KeyError(key)
            if row[0] is not None:
                return _answer_decoder.decode(row[0])
            connection.execute(
                "UPDATE submissions SET answer = ?, final_us = ? WHERE key = ?",
                (msgspec.json.encode(answer), wall_us(), key),
            )
            return answer

        return await self._call_async(work)

    async def compact(self, keep_us: int = DAY_US, forget_us: int = 90 * DAY_US) -> int:
        """Delete old data of submissions that have their final answer.

        After ``keep_us``, the job and the records of its runs are deleted; the answer and the
        job's digest stay, so that the key still leads to the answer. After ``forget_us``, the
        rest is deleted, and the key can be used for a new submission. Returns the number of
        submissions that lost their job plus the number of those deleted.
        """
        now_us = wall_us()

        def work(connection: sqlite3.Connection) -> int:
            kept_since = (now_us - keep_us,)
            changed_rows = 0
            connection.execute(
                "DELETE FROM runs WHERE key IN (SELECT key FROM submissions WHERE"
                " answer IS NOT NULL AND content IS NOT NULL AND final_us < ?)",
                kept_since,
            )
            for statement, finished_before_us in (
                ("UPDATE submissions SET content = NULL WHERE answer IS NOT NULL"
                 " AND content IS NOT NULL AND final_us < ?", now_us - keep_us),
                ("DELETE FROM submissions WHERE answer IS NOT NULL AND final_us < ?",
                 now_us - forget_us),
            ):  # fmt: skip
                changed_rows += connection.execute(statement, (finished_before_us,)).rowcount
            return changed_rows

        return await self._call_async(work)


def _insert_run(connection: sqlite3.Connection, key: str, run: Run) -> None:
    connection.execute(
        "INSERT INTO runs (id, key, number, record) VALUES (?, ?, ?, ?)",
        (run.id, key, run.number, msgspec.msgpack.encode(run)),
    )


def _find_entry(connection: sqlite3.Connection, key: str) -> JournalEntry | None:
    row = connection.execute(
        "SELECT created_us, content, policy, cancelled, answer FROM submissions WHERE key = ?",
        (key,),
    ).fetchone()
    if row is None:
        return None
    records = connection.execute(
        "SELECT record FROM runs WHERE key = ? ORDER BY number", (key,)
    ).fetchall()
    return JournalEntry(
        key=key,
        created_us=row[0],
        job=None if row[1] is None else _job_decoder.decode(row[1]),
        policy=_policy_decoder.decode(row[2]),
        cancelled=bool(row[3]),
        runs=[_run_decoder.decode(record[0]) for record in records],
        answer=None if row[4] is None else _answer_decoder.decode(row[4]),
    )
