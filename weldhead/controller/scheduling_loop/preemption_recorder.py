"""Persists which GPU tasks were preempted, so that the next leader restarts them first.

A record is written as soon as a task is preempted
(``weldhead/cluster_state/preemption_history.py``); the preemption does not wait for the write. If
a leader's term ends before the write is answered, other evidence remains: tasks that save their
checkpoint when the successor finds them, or that their workers list as halted.
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

#: The assumed age of a preemption by an earlier leader, for tasks that are found while they save
#: their checkpoint: such a task was stopped at most this long ago, or is about to end.
INHERITED_PREEMPTION_AGE_US = SECOND_US


class PreemptedRecord(msgspec.Struct, omit_defaults=True):
    """One shard of the preemption history, as stored in the state service."""

    rows: list[Row] = []


async def load_preemption_history(term: Term, at_us: int, wall_now_us: int) -> None:
    """Read the preemption history that earlier leaders recorded; may be repeated.

    ``at_us`` and ``wall_now_us`` are the same moment on the steady clock and as time of day.
    """
    term.preemption_history.clear()
    async for entries, _ in term.state.pages(PREEMPTED_PREFIX):
        for entry in entries:
            term.state_writer.record_version(entry.key, entry.version)
            record = decode(bytes(entry.value), PreemptedRecord)
            restore_rows(
                term.preemption_history, record.rows, term.cluster.jobs, wall_now_us - at_us
            )
    term.preemption_history.expire(at_us, term.cluster.jobs)


class PreemptionRecorder:
    """Records preemptions of GPU tasks in the term's history and in the state service."""

    def __init__(self, term: Term) -> None:
        self._term = term
        #: How many record values were built for writing.
        self.writes = 0
        self._scheduled_shards: set[int] = set()

    def record(self, attempt: Attempt, at_us: int) -> None:
        """Record the preemption of a task that holds GPUs."""
        self._term.preemption_history.record_preemption(attempt, at_us)
        self._schedule_write(shard_of(attempt.job.id))

    def record_inherited(self, at_us: int) -> None:
        """Record the last preemptions of an earlier leader, which may not have recorded them."""
        for attempt in list(self._term.cluster.stopping.values()):
            if attempt.job.spec.gpus <= 0 or attempt.job.must_stop or not attempt.adopted:
                continue
            recorded = self._term.preemption_history.of_job(attempt.job.id).get(attempt.index)
            if attempt.phase is AttemptPhase.SAVING and recorded is None:
                self.record(attempt, at_us - INHERITED_PREEMPTION_AGE_US)

    def _schedule_write(self, shard: int) -> None:
        if shard not in self._scheduled_shards:
            self._scheduled_shards.add(shard)
            self._term.background_tasks.spawn("preemption history", self._write(shard))

    async def _write(self, shard: int) -> None:
        """Write a shard once, with all preemptions up to the moment at which it is sent."""
        with contextlib.suppress(LeadershipLostError, TransactionRejectedError):
            await self._term.state_writer.write_latest(
                preempted_key(shard), lambda: self._build_record(shard), urgent=True
            )

    def _build_record(self, shard: int) -> PreemptedRecord:
        self._scheduled_shards.discard(shard)
        self.writes += 1
        at_us = now_us()
        self._term.preemption_history.expire(at_us, self._term.cluster.jobs)
        max_bytes = self._term.settings.facts.state.tightest().value_bytes - 32
        return PreemptedRecord(
            build_rows(self._term.preemption_history, shard, wall_us() - at_us, max_bytes)
        )
