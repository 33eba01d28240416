#!/usr/bin/env python3
"""What bound jobs cost: writes, requests, bytes, memory, passes; docs/design/calendars.md.

target/dev/bin/python tools/measure_calendars.py --jobs 5000
"""

import asyncio
import gc
import logging
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any, cast

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / part) for part in ("target/deps", "target/extras", ".")]

import click  # noqa: E402
import msgspec  # noqa: E402

from tests.support.builders import job_spec  # noqa: E402
from tests.support.calendars import H, S, calendar, open_replica, put_edition, submission, utc_us  # noqa: E402
from tests.support.leaders import fixed_clock, new_leader  # noqa: E402
from tests.support.stand_ins import StandInState  # noqa: E402
from tests.support.users import StandInNode, desk  # noqa: E402
from weldhead.calendars.calendar_state import CalendarState, content_digest  # noqa: E402
from weldhead.calendars.deadline_table import DeadlineTable  # noqa: E402
from weldhead.cluster_state.cluster import Cluster  # noqa: E402
from weldhead.cluster_state.dependency_graph import DependencyGraph  # noqa: E402
from weldhead.cluster_state.jobs import Job  # noqa: E402
from weldhead.cluster_state.records import CalendarDeadline, JobRecord, job_key  # noqa: E402
from weldhead.documents.records import state_key  # noqa: E402
from weldhead.scheduling.forecast.job_forecasts import JobForecasts  # noqa: E402
from weldhead.scheduling.forecast.run_times import RunTimeEstimates  # noqa: E402


class CountingState(StandInState):
    """Counts calls and what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self.changes = self.bytes = 0

    async def transact(self, conditions: Any, writes: Any, **of: Any) -> int:
        """Count a transaction."""
        self.requests += 1
        self.changes += len(writes)
        self.bytes += sum(len(msgspec.json.encode(w)) for w in writes)
        return await super().transact(conditions, writes, **of)

    async def get(self, key: str, **of: Any) -> Any:
        """Count a read."""
        self.requests += 1
        return await super().get(key, **of)


def acceptance(count: int) -> None:
    """Count what accepting and asking costs, bound and not."""
    state = CountingState()
    put_edition(state, calendar(), 1)
    due = CalendarState(content_digest(msgspec.json.encode(calendar())), 1, (utc_us("2099-01-01"),))
    state.put(state_key("calendar", "morning"), due)
    node = StandInNode()
    node.documents = open_replica(state)
    asyncio.run(node.documents._read())
    front = desk(state, node)

    async def submit(name: str, begin: int) -> None:
        before = state.requests, state.changes, state.bytes
        for number in range(begin, begin + count):
            answer = await front.submit(submission(number, jobclass=name))
            assert answer.status == 201
        now = state.requests, state.changes, state.bytes
        each = [(b - a) / count for a, b in zip(before, now, strict=True)]
        click.echo(f"accepted {name}: {each[0]:.2f} requests, {each[1]:.2f} writes, "
            f"{each[2]:.0f} bytes a job")  # fmt: skip

    asyncio.run(submit("plain", 1))
    asyncio.run(submit("balance", 1 + count))


def lateness(count: int) -> None:
    """Count what it costs to tell all of them late at once, and to bind all anew."""
    logging.disable(logging.CRITICAL)
    with fixed_clock() as clock:
        clock.us = utc_us("2026-03-02 05:20")
        state = CountingState()
        put_edition(state, calendar(), 1)
        bound = CalendarDeadline("morning", 1, utc_us("2026-03-02 05:30"))
        for number in range(count):
            spec = job_spec(number, job_class="balance")
            state.put(job_key(spec.id), JobRecord(spec, clock() - S, deadline=bound))
        leader = new_leader(state, clock(), documents=open_replica(state))
        leader.term.ready = True
        calendars = leader.calendar_keeper
        assert calendars is not None
        notes = calendars.late_notifications

        async def play() -> None:
            running = asyncio.create_task(leader.state_writer.run())
            await calendars._update_instants()
            put_edition(state, calendar(hour="06:25"), 2)
            assert leader.publisher is not None
            await leader.publisher.load()
            before = state.requests, state.changes
            began = time.process_time()
            await calendars._update_instants()
            spent_ms = (time.process_time() - began) * 1000
            click.echo(f"{count} bound anew: {state.requests - before[0]} requests, "
                f"{state.changes - before[1]} writes, {spent_ms:.0f} ms")  # fmt: skip
            job = next(iter(leader.cluster.jobs.values()))
            for _ in range(9):
                leader.term.estimates.observe(job, 600 * S)
            before_all = state.requests, state.changes, state.bytes
            leader.forecaster.refresh_due_forecasts(clock())
            while notes._pending:
                await notes.commit()
            now = state.requests, state.changes, state.bytes
            told = [b - a for a, b in zip(before_all, now, strict=True)]
            click.echo(f"{count} told late at once: {told[0]} requests, {told[1]} writes, "
                f"{told[2] / count:.0f} bytes a job")  # fmt: skip
            running.cancel()

        asyncio.run(play())


def passes(count: int) -> None:
    """Count and time a minute of looks, one a second, when nothing changes."""
    for name, due_us in (("bound, 8 h ahead", 8 * H), ("due_s, 8 h ahead", None)):
        into = Cluster((), 41)
        for number in range(count):
            spec = job_spec(number, deadline_s=None if due_us else 8 * 3600.0)
            job = Job(spec, 0, 1, 0)
            into.jobs[job.id] = job
            job.calendar_due_us = due_us
        outlook = JobForecasts(
            into, DependencyGraph(into.jobs), RunTimeEstimates(), lambda job: 0, S, 4 * S, 5_000
        )
        outlook.refresh(1)
        began, looks = time.process_time(), 0
        for second in range(1, 61):
            looks += len(outlook.refresh(1 + second * S))
        spent_ms = (time.process_time() - began) * 1000 / 60
        click.echo(f"{name}: {looks / 60:.0f} forecasts and {spent_ms:.2f} ms a pass")


def memory(count: int) -> None:
    """Trace what bound jobs hold in a follower's table and in a leader's memory."""
    deadline = CalendarDeadline("morning", 1, 9 * H)
    bounds = [msgspec.json.encode(JobRecord(job_spec(n), 0, deadline=deadline))
              for n in range(count)]  # fmt: skip
    plain = [msgspec.json.encode(JobRecord(job_spec(n), 0)) for n in range(count)]

    def held(build: Any) -> float:
        gc.collect()
        tracemalloc.start()
        kept = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        return size / 1024

    def table() -> DeadlineTable:
        made = DeadlineTable()
        for number, record in enumerate(bounds):
            made.put_record(f"run-{number:06}", record)
        return made

    def jobs(records: list[bytes]) -> list[Job]:
        made = []
        for record in records:
            read = msgspec.json.decode(record, type=JobRecord)
            job = Job(read.spec, 0, 1, 0)
            job.calendar_deadline = read.deadline
            job.calendar_due_us = read.deadline.due_us + len(made) if read.deadline else None
            made.append(job)
        return made

    click.echo(f"follower's table: {held(table):.0f} KiB for {count} bound jobs")
    click.echo(f"leader's jobs: {held(lambda: jobs(bounds)):.0f} KiB bound, "
        f"{held(lambda: jobs(plain)):.0f} KiB not")  # fmt: skip


@click.command()
@click.option("--jobs", "count", default=5_000, type=click.IntRange(1, 50_000))
def main(count: int) -> None:
    """Measure."""
    acceptance(min(count, 1_000))
    memory(count)
    passes(count)
    lateness(count)


if __name__ == "__main__":
    cast(Any, main)()
