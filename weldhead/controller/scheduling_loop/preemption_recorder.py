"""Persists which GPU tasks were preempted, so that the next leader restarts them first.

A record is written as soon as a task is preempted (``cluster_state/preemption_history.py``); the
preemption does not wait for the write. A leader that ends before the write is answered leaves
evidence: tasks that save their checkpoint when its successor finds them, or that their workers
list as halted.
"""

import contextlib

import msgspec

from weldhead.clock import SECOND_US, now_us, wall_us
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.preemption_history import (
    PREEMPTED_PREFIX,
    Row,
    build_rows,
    preempted_key,
    restore_rows,
    shard_of,
)
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.cluster_state.states import AttemptPhase
from weldhead.controller.term import Term
from weldhead.transport.state_client import TransactionRejectedError, decode

#: A task that saves when it is found was stopped no longer ago than this, or is about to end.
INHERITED_US = SECOND_US


class PreemptedRecord(msgspec.Struct, omit_defaults=True):
    """Part of what was taken."""

    rows: list[Row] = []


async def load_preemption_history(term: Term, at_us: int, wall: int) -> None:
    """Read what earlier leaders took and did not see given back; as often as it takes."""
    term.preemption_history.clear()
    async for entries, _ in term.state.pages(PREEMPTED_PREFIX):
        for entry in entries:
            term.state_writer.record_version(entry.key, entry.version)
            record = decode(bytes(entry.value), PreemptedRecord)
            restore_rows(term.preemption_history, record.rows, term.cluster.jobs, wall - at_us)
    term.preemption_history.expire(at_us, term.cluster.jobs)


class PreemptionRecorder:
    """Keeps what is taken on record."""

    def __init__(self, term: Term) -> None:
        self._term = term
        #: How many changes this has asked for.
        self.writes = 0
        self._scheduled: set[int] = set()

    def record(self, attempt: Attempt, at_us: int) -> None:
        """Note that a task which holds cards is stopped for another."""
        self._term.preemption_history.record_preemption(attempt, at_us)
        self._write_soon(shard_of(attempt.job.id))

    def inherit(self, at_us: int) -> None:
        """Note what an earlier leader stopped last, and may not have written down."""
        for attempt in list(self._term.cluster.stopping.values()):
            if attempt.job.spec.gpus <= 0 or attempt.job.must_stop or not attempt.adopted:
                continue
            known = self._term.preemption_history.of_job(attempt.job.id).get(attempt.index)
            if attempt.phase is AttemptPhase.SAVING and known is None:
                self.record(attempt, at_us - INHERITED_US)

    def _write_soon(self, shard: int) -> None:
        if shard not in self._scheduled:
            self._scheduled.add(shard)
            self._term.background_tasks.spawn("taken", self._write(shard))

    async def _write(self, shard: int) -> None:
        """Write a record once, with what has been taken until its turn comes."""
        with contextlib.suppress(LeadershipLostError, TransactionRejectedError):
            await self._term.state_writer.write_latest(
                preempted_key(shard), lambda: self._record(shard), urgent=True
            )

    def _record(self, shard: int) -> PreemptedRecord:
        self._scheduled.discard(shard)
        self.writes += 1
        at_us = now_us()
        self._term.preemption_history.expire(at_us, self._term.cluster.jobs)
        limit = self._term.settings.facts.state.tightest().value_bytes - 32
        return PreemptedRecord(
            build_rows(self._term.preemption_history, shard, wall_us() - at_us, limit)
        )
