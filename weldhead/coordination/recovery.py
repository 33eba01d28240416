"""The start of a term: what is recorded is read, and what runs where is learned."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from weldhead.bookkeeping.chains import Chains
from weldhead.bookkeeping.cluster import Cluster
from weldhead.bookkeeping.jobs import Job
from weldhead.bookkeeping.records import (
    CHUNK_TASKS,
    HIRES,
    JOBS,
    PROGRESS,
    HireRecord,
    JobRecord,
    decode_progress,
    job_key,
)
from weldhead.clock import now_us, to_seconds, wall_us
from weldhead.coordination.completions import Completions
from weldhead.coordination.demand import Demand
from weldhead.coordination.linking import Linking
from weldhead.coordination.rentals import Rentals
from weldhead.coordination.term import Term, parts
from weldhead.coordination.watching import MachineWatch
from weldhead.protocol.wire import Entry
from weldhead.transport.http import CallFailed
from weldhead.transport.state import decode

log = logging.getLogger(__name__)


class Recovery:
    """Loads the term; ``known`` is set when nothing can run that this leader does not know of."""

    def __init__(
        self,
        term: Term,
        completions: Completions,
        rentals: Rentals,
        linking: Linking,
        watch: MachineWatch,
    ) -> None:
        self._term = term
        self._completions = completions
        self._rentals = rentals
        self._linking = linking
        self._watch = watch
        #: The revision from which jobs are watched.
        self.jobs_revision = 0
        self.known = asyncio.Event()

    async def load_until_done(self) -> None:
        """Read everything, as often as it takes."""
        term = self._term
        while not term.loaded:
            try:
                await self.load()
            except CallFailed as error:
                log.info("recovery: reading the store failed: %s", error)
                await asyncio.sleep(0.2)
        log.info(
            "term %d: %d jobs, %d machines loaded",
            term.token, len(term.cluster.jobs), len(term.cluster.machines),
        )  # fmt: skip

    async def load(self) -> None:
        """Read what is recorded, page by page, and let the loop live in between."""
        term = self._term
        at_us, wall = now_us(), wall_us()
        term.cluster = Cluster(term.settings.facts.teams, term.token)
        term.chains = Chains(term.cluster.jobs)
        term.demand = Demand(term.tunables.fleet.demand_memory_us)
        revision = 0
        async for entries, revision in term.state.pages(JOBS):  # noqa: B007
            for part in parts(entries):
                for entry in part:
                    record = decode(bytes(entry.value), JobRecord)
                    self.add_job(record, entry.version, at_us, wall)
                await asyncio.sleep(0)
        jobs = list(term.cluster.jobs.values())
        for loaded in parts(jobs):
            for job in loaded:
                self._linking.link(job)
            await asyncio.sleep(0)
        # All others have their own priority and deadline.
        self._linking.refresh(term.chains.blocked.values())
        async for entries, _ in term.state.pages(PROGRESS):
            for part in parts(entries):
                for entry in part:
                    self._load_progress(entry)
                await asyncio.sleep(0)
        async for entries, _ in term.state.pages(HIRES):
            for entry in entries:
                hire = decode(bytes(entry.value), HireRecord)
                term.ledger.learn(entry.key, entry.version)
                self._rentals.load(entry.key.removeprefix(HIRES), hire, at_us, wall)
            await asyncio.sleep(0)
        self._watch.follow()
        self.jobs_revision = revision
        term.loaded = True
        term.loaded_us = now_us()

    def _load_progress(self, entry: Entry) -> None:
        term = self._term
        job_id, _, chunk = entry.key.removeprefix(PROGRESS).rpartition("/")
        term.ledger.learn(entry.key, entry.version)
        job = term.cluster.jobs.get(job_id)
        if job is None:
            self._completions.load_leftover(entry.key)
            return
        tasks = min(CHUNK_TASKS, job.spec.tasks - int(chunk) * CHUNK_TASKS)
        done = decode_progress(msgspec.json.decode(entry.value, type=str), tasks)
        self._completions.load(job, int(chunk), done)

    def add_job(self, record: JobRecord, version: int, at_us: int, wall: int) -> Job:
        """Enter a job that is on record."""
        job = Job(record.spec, record.submitted_us, version, at_us)
        # The same moment on the steady clock; a time of day that is off must not put it
        # into the future.
        job.first_seen_us = job.ready_us = at_us - max(0, wall - record.submitted_us)
        job.cancelled = record.cancelled
        self._term.cluster.jobs[job.id] = job
        self._term.ledger.learn(job_key(job.id), version)
        return job

    def check_known(self) -> None:
        """See whether every machine on which something may run has been heard or is gone."""
        if self.known.is_set() or not self._term.loaded:
            return
        if all(m.synced for m in self._term.cluster.machines.values() if m.up):
            self.known.set()

    async def finish(self, start_deciding: Callable[[], None]) -> None:
        """Wait until everything is known; from then on anything may be decided."""
        term = self._term
        await self.known.wait()
        term.ready = True
        log.info("term %d: ready after %.3f s", term.token, to_seconds(now_us() - term.loaded_us))
        start_deciding()
        term.place.set()
