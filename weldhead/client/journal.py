"""The journal of intents: what a caller wanted, and how far it has come, in SQLite.

An intent is on disk before the first byte of it is sent, under the caller's key, with the
id that its job will have for ever. Several processes may use one journal at once: records
only move forward (``decisions.advance``), the first final answer stays, and each run of a
submission is begun once, whoever begins it.

One thread does all the work of a process; what waits for it meanwhile is committed together
(group commit), so that thousands of submissions at once do not cost thousands of syncs.
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
from weldhead.client.job import Job, differences
from weldhead.client.policy import Policy
from weldhead.clock import SECOND_US, wall_us

T = TypeVar("T")

FORMAT = 1
DAY_US = 86_400 * SECOND_US
#: So many changes are committed together at most.
_GROUP = 512

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

_runs = msgspec.msgpack.Decoder(Run)
_answers = msgspec.json.Decoder(Answer)
_jobs = msgspec.json.Decoder(Job)
_policies = msgspec.json.Decoder(Policy)


class JournalError(Exception):
    """The journal cannot be read or written; nothing was sent because of that."""


class KeyConflict(Exception):
    """The key was used for something else; ``differences`` has a line a field."""

    def __init__(self, key: str, lines: list[str]) -> None:
        super().__init__(f"key {key!r} was used for another job: " + "; ".join(lines))
        self.key = key
        self.differences = lines


class JournalEntry(msgspec.Struct):
    """A submission in the journal; ``job`` is gone once it was compacted."""

    key: str
    created_us: int
    job: Job | None
    policy: Policy
    cancelled: bool
    runs: list[Run]
    answer: Answer | None


def digest_of(content: bytes) -> bytes:
    """Return what tells contents apart."""
    return hashlib.blake2b(content, digest_size=16).digest()


class Journal:
    """The journal at a path; ``step`` is called by name around every commit.

    ``step`` lets a test end the process anywhere; ``most_pages`` bounds the file.
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
        self._work: queue.SimpleQueue[
            tuple[Callable[[sqlite3.Connection], Any], concurrent.futures.Future[Any]] | None
        ] = queue.SimpleQueue()
        opened: concurrent.futures.Future[None] = concurrent.futures.Future()
        self._thread = threading.Thread(
            target=self._run, args=(opened,), name="journal", daemon=True
        )
        self._thread.start()
        opened.result()

    # The thread

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
            (known,) = connection.execute("PRAGMA user_version").fetchone()
            if known == 0:
                for statement in _SCHEMA.split(";"):
                    connection.execute(statement)
                connection.execute(f"PRAGMA user_version={FORMAT}")
            connection.execute("COMMIT")
            if known > FORMAT:
                raise JournalError(f"{self._path}: format {known}, and this version reads {FORMAT}")
        except (sqlite3.Error, OSError) as error:
            raise JournalError(f"{self._path}: {error}") from error
        return connection

    def _run(self, opened: concurrent.futures.Future[None]) -> None:
        try:
            connection = self._open()
        except BaseException as error:
            opened.set_exception(error)
            return
        opened.set_result(None)
        while (first := self._work.get()) is not None:
            group = [first]
            last = False
            while len(group) < _GROUP and not self._work.empty():
                more = self._work.get()
                if more is None:
                    last = True
                    break
                group.append(more)
            # Whoever asked may have been cancelled: the work is done all the same, but to tell
            # a cancelled future ended this thread, and with it every later call.
            live = {id(future) for _, future in group if future.set_running_or_notify_cancel()}
            self._commit(connection, group, live)
            if last:
                break
        connection.close()

    def _commit(
        self,
        connection: sqlite3.Connection,
        group: list[tuple[Callable[[sqlite3.Connection], Any], concurrent.futures.Future[Any]]],
        live: set[int],
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
                if id(future) in live:
                    future.set_exception(problem)
            return
        for future, result in results:
            if id(future) in live:
                future.set_result(result)
        for future, reason in failed:
            if id(future) in live:
                future.set_exception(reason)

    def call(self, work: Callable[[sqlite3.Connection], T]) -> "concurrent.futures.Future[T]":
        """Have the thread do work within a transaction."""
        future: concurrent.futures.Future[T] = concurrent.futures.Future()
        if not self._thread.is_alive():
            raise JournalError(f"{self._path}: closed")
        self._work.put((work, future))
        return future

    async def _do(self, work: Callable[[sqlite3.Connection], T]) -> T:
        return await asyncio.wrap_future(self.call(work))

    def close(self) -> None:
        """Write what is waiting, and close."""
        self._work.put(None)
        self._thread.join()

    # What is in it

    async def begin(self, key: str, job: Job, policy: Policy, first_id: str) -> JournalEntry:
        """Put an intent on disk, or find it: KeyConflict if it was another one."""
        content = job.content()

        def work(connection: sqlite3.Connection) -> JournalEntry:
            known = _find(connection, key)
            if known is None:
                connection.execute(
                    "INSERT INTO submissions (key, created_us, digest, content, policy)"
                    " VALUES (?, ?, ?, ?, ?)",
                    (key, wall_us(), digest_of(content), content, msgspec.json.encode(policy)),
                )
                _insert(connection, key, Run(first_id, 1))
                known = _find(connection, key)
                assert known is not None
                return known
            row = connection.execute(
                "SELECT digest, content FROM submissions WHERE key = ?", (key,)
            ).fetchone()
            if row[0] != digest_of(content):
                lines = (
                    differences(row[1], content)
                    if row[1] is not None
                    else ["what it was is not kept any more"]
                )
                raise KeyConflict(key, lines)
            return known

        return await self._do(work)

    async def find(self, key: str) -> JournalEntry | None:
        """Read a submission."""
        return await self._do(lambda connection: _find(connection, key))

    async def key_of(self, job_id: str) -> str | None:
        """Return the key of the submission that has a run under this id."""

        def work(connection: sqlite3.Connection) -> str | None:
            row = connection.execute("SELECT key FROM runs WHERE id = ?", (job_id,)).fetchone()
            return None if row is None else str(row[0])

        return await self._do(work)

    async def entries(self, *, unfinished: bool = False, most: int = 10_000) -> list[JournalEntry]:
        """Read the newest submissions, oldest first."""
        only = "WHERE answer IS NULL" if unfinished else ""

        def work(connection: sqlite3.Connection) -> list[JournalEntry]:
            rows = connection.execute(
                f"SELECT key FROM submissions {only} ORDER BY created_us DESC, key LIMIT ?",
                (most,),
            ).fetchall()
            found = [_find(connection, row[0]) for row in reversed(rows)]
            return [entry for entry in found if entry is not None]

        return await self._do(work)

    async def change(self, job_id: str, news: RunUpdate) -> Run:
        """Add news to a run's record, and return the record as it is now."""

        def work(connection: sqlite3.Connection) -> Run:
            row = connection.execute("SELECT record FROM runs WHERE id = ?", (job_id,)).fetchone()
            if row is None:
                raise KeyError(job_id)
            run = advance(_runs.decode(row[0]), news)
            connection.execute(
                "UPDATE runs SET record = ? WHERE id = ?", (msgspec.msgpack.encode(run), job_id)
            )
            return run

        return await self._do(work)

    async def cancel(self, key: str) -> JournalEntry:
        """The caller wants the submission withdrawn, with whatever run it has."""

        def work(connection: sqlite3.Connection) -> JournalEntry:
            connection.execute("UPDATE submissions SET cancelled = 1 WHERE key = ?", (key,))
            entry = _find(connection, key)
            if entry is None:
                raise KeyError(key)
            if entry.answer is None and entry.runs:
                run = advance(entry.runs[-1], RunUpdate(cancel=True))
                connection.execute(
                    "UPDATE runs SET record = ? WHERE id = ?", (msgspec.msgpack.encode(run), run.id)
                )
                entry.runs[-1] = run
            return entry

        return await self._do(work)

    async def repeat(self, key: str, number: int, new_id: str) -> Run | None:
        """Begin the submission's run of that number, unless somebody did; None: cancelled."""

        def work(connection: sqlite3.Connection) -> Run | None:
            entry = _find(connection, key)
            if entry is None:
                raise KeyError(key)
            for run in entry.runs:
                if run.number == number:
                    return run
            if entry.cancelled or entry.answer is not None:
                return None
            run = Run(new_id, number)
            _insert(connection, key, run)
            return run

        return await self._do(work)

    async def finish(self, key: str, answer: Answer) -> Answer:
        """Store the final answer and return it, or the one that was stored before."""

        def work(connection: sqlite3.Connection) -> Answer:
            row = connection.execute(
                "SELECT answer FROM submissions WHERE key = ?", (key,)
            ).fetchone()
            if row is None:
                raise KeyError(key)
            if row[0] is not None:
                return _answers.decode(row[0])
            connection.execute(
                "UPDATE submissions SET answer = ?, final_us = ? WHERE key = ?",
                (msgspec.json.encode(answer), wall_us(), key),
            )
            return answer

        return await self._do(work)

    async def compact(self, keep_us: int = DAY_US, forget_us: int = 90 * DAY_US) -> int:
        """Drop what is not needed of submissions that have their final answer.

        After ``keep_us`` the job's content and the records of its runs go (the answer and
        the content's digest stay, so that the key still finds it); after ``forget_us``
        all of it, and the key is as good as new. Returns how many were touched.
        """
        now_us = wall_us()

        def work(connection: sqlite3.Connection) -> int:
            old = (now_us - keep_us,)
            touched = 0
            connection.execute(
                "DELETE FROM runs WHERE key IN (SELECT key FROM submissions WHERE"
                " answer IS NOT NULL AND content IS NOT NULL AND final_us < ?)",
                old,
            )
            for statement, limit in (
                ("UPDATE submissions SET content = NULL WHERE answer IS NOT NULL"
                 " AND content IS NOT NULL AND final_us < ?", now_us - keep_us),
                ("DELETE FROM submissions WHERE answer IS NOT NULL AND final_us < ?",
                 now_us - forget_us),
            ):  # fmt: skip
                touched += connection.execute(statement, (limit,)).rowcount
            return touched

        return await self._do(work)


def _insert(connection: sqlite3.Connection, key: str, run: Run) -> None:
    connection.execute(
        "INSERT INTO runs (id, key, number, record) VALUES (?, ?, ?, ?)",
        (run.id, key, run.number, msgspec.msgpack.encode(run)),
    )


def _find(connection: sqlite3.Connection, key: str) -> JournalEntry | None:
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
        job=None if row[1] is None else _jobs.decode(row[1]),
        policy=_policies.decode(row[2]),
        cancelled=bool(row[3]),
        runs=[_runs.decode(record[0]) for record in records],
        answer=None if row[4] is None else _answers.decode(row[4]),
    )
