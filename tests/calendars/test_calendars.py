"""Calendars: their instants, the deadlines that these give to jobs, and reports of late jobs."""

import asyncio
import logging
from collections.abc import Iterator
from datetime import date, datetime, time
from itertools import islice
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import add_job, cluster, job_spec
from tests.support.calendars import S, calendar, open_replica, put_edition, utc_us
from tests.support.leaders import Clock, fixed_clock, new_leader
from tests.support.paths import ROOT
from tests.support.stand_ins import StandInState
from tests.support.submissions import GOOD
from tests.support.users import StandInNode, desk, run
from weldhead.calendars.binding import (
    CALENDAR_KIND,
    InstantsNotComputedError,
    bind_to_calendars,
    current_deadline,
)
from weldhead.calendars.calendar_document import Calendar
from weldhead.calendars.calendar_state import (
    CalendarState,
    InstantMove,
    content_digest,
    supersede_state,
    trim_to_size,
)
from weldhead.calendars.deadline_table import DeadlineTable
from weldhead.calendars.recurrence import (
    UnusableCalendarError,
    compute_instants,
    iterate_instants,
    local_time_us,
    validate_calendar,
)
from weldhead.cluster_state.dependency_graph import DependencyGraph
from weldhead.cluster_state.jobs import Job
from weldhead.cluster_state.records import CalendarDeadline, JobRecord, job_key
from weldhead.cluster_state.states import GateStatus
from weldhead.controller.configuration.calendar_keeper import CalendarKeeper
from weldhead.controller.configuration.document_file import parse_documents
from weldhead.controller.configuration.run_time_history import HISTORY_KEY, RunTimeHistory
from weldhead.controller.leadership.leader import Leader
from weldhead.documents.cache import DocumentCache
from weldhead.documents.editions import plan_publication
from weldhead.documents.records import HEAD_KEY, DocumentSet, state_key
from weldhead.scheduling.forecast.deadline_lateness import DeadlineStatus, assess_deadline
from weldhead.scheduling.forecast.job_forecasts import MAX_REFRESH_INTERVAL_US, JobForecasts
from weldhead.scheduling.forecast.run_times import RunTimeEstimates
from weldhead.scheduling.objectives import ServiceLevelObjectives
from weldhead.transport.http_client import CallError

H = 3600 * S


ZONES = (
    "UTC", "Europe/Zagreb", "America/New_York", "Australia/Lord_Howe", "Pacific/Apia",
    "Asia/Kathmandu", "America/St_Johns", "Africa/Casablanca",
)  # fmt: skip


def local_times(document: Calendar, after: str, max_count: int = 5) -> list[str]:
    zone = ZoneInfo(document.zone)
    stamps = islice(iterate_instants(document, utc_us(after)), max_count)
    return [datetime.fromtimestamp(s / S, zone).strftime("%m-%d %H:%M") for s in stamps]


@given(st.sampled_from(ZONES), st.dates(date(2005, 1, 1), date(2035, 1, 1)), st.integers(0, 96 - 1))
def test_instant_is_the_first_moment_at_the_hour_or_after_it(
    zone_name: str, day: date, quarter: int
) -> None:
    """A skipped hour gives the first moment after it, a repeated hour its first occurrence."""
    zone = ZoneInfo(zone_name)
    hour = time(quarter // 4, quarter % 4 * 15)
    expected = datetime.combine(day, hour)

    def local_time(at_s: int) -> datetime:
        return datetime.fromtimestamp(at_s, zone).replace(tzinfo=None)

    instant_s = local_time_us(day, hour, zone) // S
    assert local_time(instant_s) >= expected
    assert all(
        local_time(instant_s - before_s) < expected
        for before_s in (1, 900, 1800, 3600, 7200, 86_399)
    )


def test_hours_that_clock_changes_skip_or_repeat() -> None:
    zagreb = ZoneInfo("Europe/Zagreb")
    assert local_time_us(date(2026, 3, 29), time(2, 30), zagreb) == utc_us("2026-03-29 01:00")
    assert local_time_us(date(2026, 10, 25), time(2, 30), zagreb) == utc_us("2026-10-25 00:30")
    # The zone of Apia skipped this whole day.
    apia = ZoneInfo("Pacific/Apia")
    assert local_time_us(date(2011, 12, 30), time(6, 30), apia) == utc_us("2011-12-30 10:00")


def test_excluded_days_moved_days_and_margin() -> None:
    monthly = calendar(
        rule="FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1",
        never_on=[date(2026, 3, 31)],
        moved={"2026-05-29": date(2026, 5, 27)},
        margin_s=1800.0,
    )
    assert local_times(monthly, "2026-01-01") == [
        "01-30 06:00", "02-27 06:00", "04-30 06:00", "05-27 06:00", "06-30 06:00",
    ]  # fmt: skip
    # One day moves onto a day that the rule selects anyway, the other to after later days.
    daily = calendar(moved={"2026-02-02": date(2026, 2, 4), "2026-02-06": date(2026, 2, 8)})
    assert local_times(daily, "2026-02-01 12:00", 4) == [
        "02-03 06:30", "02-04 06:30", "02-05 06:30", "02-07 06:30",
    ]  # fmt: skip


@given(
    st.sampled_from(ZONES),
    st.sampled_from(["FREQ=DAILY;INTERVAL=3", "FREQ=WEEKLY;BYDAY=MO,SU", "FREQ=MONTHLY"]),
    st.integers(0, 400),
    st.integers(0, 86_400),
)  # fmt: skip
def test_instants_do_not_depend_on_when_they_are_computed(
    zone: str, rule: str, day: int, second: int
) -> None:
    """A new leader that computes more instants continues where its predecessor stopped."""
    document = calendar(zone=zone, rule=rule)
    begin_us = utc_us("2026-01-01")
    all_us, _ = compute_instants(document, begin_us, 200)
    assert list(all_us) == sorted(set(all_us))
    at_us = begin_us + (day * 86_400 + second) * S
    later_us, until_us = compute_instants(document, at_us, 5)
    assert list(later_us) == [us for us in all_us if us > at_us][:5] and until_us == later_us[-1]


def test_example_document_is_valid() -> None:
    text = (ROOT / "deploy" / "documents.toml").read_text()
    assert CalendarKeeper.validate(parse_documents("documents.toml", text, 8_000)) is None
    invalid = parse_documents("documents.toml", text.replace("FREQ=WEEKLY", "FREQ=HOURLY"), 8_000)
    assert str(CalendarKeeper.validate(invalid)).startswith(
        "calendar/counters: rule: FREQ is one of"
    )


def test_rule_that_ends_has_no_more_instants() -> None:
    instants, until_us = compute_instants(
        calendar(rule="FREQ=DAILY;COUNT=3"), utc_us("2026-01-01 12:00"), 9
    )
    assert len(instants) == 2 and until_us is None


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"zone": "Europe/Nowhere"}, "zone"),
        ({"rule": "FREQ=HOURLY"}, "rule"),
        ({"rule": "FREQ=DAILY;BYHOUR=3"}, "rule"),
        ({"rule": "FREQ=DAILY;FREQ=WEEKLY"}, "rule"),
        ({"rule": "FREQ=WEEKLY;BYDAY=XX"}, "rule"),
        ({"rule": "each day"}, "rule"),
        ({"rule": "FREQ=DAILY;UNTIL=20250101"}, "rule"),
    ],
)
def test_calendar_without_computable_instants_is_refused(
    changes: dict[str, Any], field: str
) -> None:
    with pytest.raises(UnusableCalendarError) as error:
        validate_calendar(calendar(**changes))
    assert error.value.field == field


STAMPS = st.lists(st.integers(300, 400), min_size=1, max_size=8, unique=True).map(sorted)


@given(
    st.lists(st.tuples(STAMPS, st.booleans(), st.integers(1, 350)), min_size=2, max_size=5),
    st.integers(0, 320),
)
def test_current_deadline_is_the_same_for_every_leader(
    editions: list[tuple[list[int], bool, int]], accepted: int
) -> None:
    """A deadline is derived from the job's record and the calendar's latest state.

    It equals the deadline that follows edition by edition, and moves to a later instant only with
    an edition that sets ``rebinds``.
    """
    changes = sorted(change for _, _, change in editions[1:])
    state = CalendarState("1", 1, tuple(editions[0][0]))
    # The job is accepted under the edition that is in force at that time.
    recorded: CalendarDeadline | None = None
    due_us = 0
    for number, (stamps, rebinds, _) in enumerate(editions[1:], start=2):
        change = changes[number - 2]
        if recorded is None and accepted < change:
            first_us = state.first_after(accepted)
            if first_us is None:
                return
            recorded = CalendarDeadline("morning", number - 1, first_us)
            due_us = first_us
        new_state = CalendarState(f"{number}", number, tuple(stamps))
        state = supersede_state(state, new_state, change, 0, rebinds=rebinds)
        if recorded is not None and due_us > change:
            next_us = new_state.first_after(change)
            if next_us is not None and (next_us < due_us or rebinds):
                due_us = next_us
        if recorded is not None:
            assert state.apply_moves(recorded).due_us == due_us
    if recorded is not None:
        # A deadline to which moves were applied before gives the same result.
        assert state.apply_moves(state.apply_moves(recorded)) == state.apply_moves(recorded)


def test_change_moves_jobs_accepted_by_a_clock_that_is_ahead() -> None:
    """A controller whose clock is ahead binds a job to the instant after the next one.

    A change of the calendar has to move the deadline of this job as well.
    """
    old_state = CalendarState("a", 1, (100 * S, 200 * S, 300 * S))
    new_state = CalendarState("b", 2, (90 * S, 190 * S, 290 * S))
    state = supersede_state(old_state, new_state, 98 * S, S, rebinds=False)
    assert state.moves == (InstantMove(2, 200 * S, 190 * S),)
    # The change doesn't move a deadline for which the new instant has already passed.
    assert state.apply_moves(CalendarDeadline("m", 1, 100 * S)).due_us == 100 * S


def cache_with(
    document: Calendar, *stamps: int, edition: int = 3, **state_fields: Any
) -> DocumentCache:
    """Return a cache with an edition that consists of a calendar, and with its instants."""
    cache = DocumentCache()
    body = msgspec.json.encode(document)
    offer = DocumentSet(edition, {f"{CALENDAR_KIND}/{document.name}": msgspec.Raw(body)})
    version = 4
    for step in plan_publication(offer, [], 9):
        for key, value in step.items():
            version += 1
            cache.put(key, msgspec.json.encode(value), version)
    state = CalendarState(content_digest(body), edition, stamps, **state_fields)
    cache.put(state_key(CALENDAR_KIND, document.name), msgspec.json.encode(state), version + 1)
    cache.as_of_us = 1
    return cache


def test_jobs_are_bound_to_future_instants_by_every_clock() -> None:
    cache = cache_with(calendar(), 100 * S, 200 * S)
    spec = job_spec(1, job_class="balance")
    deadline = bind_to_calendars(cache, spec, 98 * S, S).deadline
    assert deadline == CalendarDeadline("morning", 3, 100 * S)
    # By some clock within the clock error, the first instant has passed.
    for at_us in (99 * S, 100 * S, 150 * S):
        binding = bind_to_calendars(cache, spec, at_us, S)
        assert binding.deadline == CalendarDeadline("morning", 3, 200 * S)
    assert {c.key for c in binding.conditions} == {HEAD_KEY, state_key(CALENDAR_KIND, "morning")}
    # The calendar has no further instant; or it has, but the instant is not computed yet.
    assert bind_to_calendars(cache, spec, 200 * S, S).deadline is None
    with pytest.raises(InstantsNotComputedError):
        bind_to_calendars(cache_with(calendar(), 100 * S, until_us=100 * S), spec, 100 * S, S)
    # The absence of a deadline depends on the edition of the documents.
    unbound = bind_to_calendars(cache, job_spec(1), 98 * S, S)
    assert unbound.deadline is None and [c.key for c in unbound.conditions] == [HEAD_KEY]


def submission(number: int = 1, **changes: Any) -> bytes:
    body = GOOD | {"uid": f"run-{number:06}", "jobclass": "balance"}
    return msgspec.json.encode(body | changes)


def test_replica_of_an_earlier_edition_accepts_no_jobs() -> None:
    """During a rollout, some controllers have the next edition and others do not have it yet."""
    state = StandInState()
    put_edition(state, calendar(), 1)
    body = bytes(msgspec.json.encode(calendar()))
    calendar_state = CalendarState(content_digest(body), 1, (utc_us("2099-01-01"),))
    state.put(state_key(CALENDAR_KIND, "morning"), calendar_state)
    node = StandInNode()
    node.documents = open_replica(state)
    assert run(desk(state, node).submit(submission()))[0] == 503  # the documents are not loaded yet
    asyncio.run(node.documents._read_all())
    assert run(desk(state, node).submit(submission())) == (
        201,
        {"uid": "run-000001", "status": "pending", "due_at": "2099-01-01T00:00:00Z"},
    )
    assert run(desk(state, node).poll("run-000001"))[1]["due_at"] == "2099-01-01T00:00:00Z"
    put_edition(state, calendar(hour="05:30"), 2)
    assert run(desk(state, node).submit(submission(2)))[0] == 503
    assert job_key("run-000002") not in state.keys
    # The next edition is loaded, but its instants aren't computed yet. Earlier ones are not used.
    asyncio.run(node.documents._read_all())
    assert run(desk(state, node).submit(submission(2)))[0] == 503


def test_follower_without_leader_and_store_reports_deadline() -> None:
    state = StandInState()
    node = StandInNode()
    node.documents = open_replica(state)
    node.documents.deadline_table.put(
        "run-000001", CalendarDeadline("morning", 1, utc_us("2026-03-01 05:30"))
    )
    handler = desk(state, node)

    async def poll() -> Any:
        async def fail(*_: Any, **__: Any) -> None:
            raise CallError("down")

        handler.reader.read_record = fail  # type: ignore[method-assign]
        return await handler.poll("run-000001")

    status, body = run(poll())
    assert status == 503
    assert body["error"].endswith("; due by 2026-03-01T05:30:00Z (morning, edition 1)")


def test_deadline_table_follows_records_and_summarizes() -> None:
    table, cache = (
        DeadlineTable(),
        cache_with(calendar(), 9 * H, moves=(InstantMove(4, 9 * H, H // 2),)),
    )
    record = JobRecord(job_spec(1), 0, deadline=CalendarDeadline("morning", 3, 9 * H))
    for number in range(3):
        table.put_record(f"run-{number}", msgspec.json.encode(record))
    table.put_record("run-9", msgspec.json.encode(JobRecord(job_spec(1), 0)))
    assert len(table) == 3 and len({id(deadline) for deadline in table._jobs.values()}) == 1
    table.as_of_us = 5 * S
    line = table.format_summary(cache, S, 9 * S)
    assert line.startswith(
        "3 jobs are bound; due within the hour: 3, past: 0; first run-0, by 1970"
    )
    assert line.endswith("as of 4 s ago")
    record.cancelled = True
    table.put_record("run-0", msgspec.json.encode(record))
    table.keep_only({"run-1"})
    assert len(table) == 1


class Terms:
    """Successive leaders over one store. A new leader knows only what the store contains."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.state = StandInState()

    def start_leader(self) -> Leader:
        leader = new_leader(self.state, self.clock(), documents=open_replica(self.state))
        leader.term.ready = True
        return leader

    def run_with_writer(self, leader: Leader, *calls: Any) -> None:
        """Run coroutine functions while the leader's state writer commits their writes."""

        async def run_calls() -> None:
            writer = asyncio.create_task(leader.state_writer.run())
            for call in calls:
                await call()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)

        asyncio.run(run_calls())

    def update_instants(self, leader: Leader) -> None:
        assert leader.calendar_keeper is not None
        self.run_with_writer(leader, leader.calendar_keeper._update_instants)

    def report_late_jobs(self, leader: Leader) -> None:
        assert leader.calendar_keeper is not None
        notifications = leader.calendar_keeper.late_notifications
        leader.forecaster.refresh_due_forecasts(self.clock())
        while notifications._pending:
            self.run_with_writer(leader, notifications.commit)


@pytest.fixture
def terms(clock: Clock) -> Iterator[Terms]:
    clock.us = utc_us("2026-03-02 01:00")
    yield Terms(clock)


def put_bound_job(
    terms: Terms, number: int, due_us: int, edition: int = 1, **spec_fields: Any
) -> str:
    """Write the record of a job with a calendar deadline; return the job's id."""
    spec = job_spec(number, job_class="balance", **spec_fields)
    deadline = CalendarDeadline("morning", edition, due_us)
    terms.state.put(job_key(spec.id), JobRecord(spec, terms.clock() - 10 * S, deadline=deadline))
    return spec.id


def test_changed_calendar_moves_deadlines_of_open_jobs(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    put_edition(terms.state, calendar(), 1)
    first = terms.start_leader()
    terms.update_instants(first)
    due_us = utc_us("2026-03-02 05:30")
    deadline = (
        current_deadline(first.publisher.cache, CalendarDeadline("morning", 1, due_us))
        if first.publisher
        else None
    )
    assert deadline == CalendarDeadline("morning", 1, due_us)
    job_id = put_bound_job(terms, 1, due_us)
    overdue_id = put_bound_job(terms, 2, utc_us("2026-03-01 05:30"))
    # An earlier instant applies at once, with one write for all jobs and one log line per job.
    put_edition(terms.state, calendar(hour="05:00"), 2)
    second = terms.start_leader()
    assert second.cluster.jobs[job_id].calendar_deadline == CalendarDeadline("morning", 1, due_us)
    revision_before = terms.state.revision
    terms.update_instants(second)
    assert terms.state.revision == revision_before + 1
    earlier_deadline = CalendarDeadline("morning", 2, utc_us("2026-03-02 04:00"))
    lines = [r.message for r in caplog.records if "bound anew" in r.message]
    assert lines == [
        "run-000001 is bound anew by calendar morning, edition 2: due by 2026-03-02T04:00:00Z, "
        "before by 2026-03-02T05:30:00Z"
    ]
    # A later instant applies only with ``rebinds``. A new leader derives the same deadlines.
    put_edition(terms.state, calendar(hour="08:00"), 3)
    third = terms.start_leader()
    terms.update_instants(third)
    fourth = terms.start_leader()
    for leader in (second, third, fourth):
        assert leader.cluster.jobs[job_id].calendar_deadline == earlier_deadline
        assert leader.cluster.jobs[overdue_id].calendar_deadline == CalendarDeadline(
            "morning", 1, utc_us("2026-03-01 05:30")
        )
    put_edition(terms.state, calendar(hour="08:00", rebinds=True), 4)
    fifth = terms.start_leader()
    terms.update_instants(fifth)
    assert fifth.cluster.jobs[job_id].calendar_deadline == CalendarDeadline(
        "morning", 4, utc_us("2026-03-02 07:00")
    )
    # Without a change, nothing is written.
    revision_before = terms.state.revision
    terms.update_instants(fifth)
    assert terms.state.revision == revision_before


def test_deadline_follows_steps_of_the_time_of_day(terms: Terms) -> None:
    job_id = put_bound_job(terms, 1, terms.clock() + H, deadline_s=7200.0)
    leader = terms.start_leader()
    job, at_us = leader.cluster.jobs[job_id], terms.clock()
    assert job.due_us == at_us + H - leader.term.job_deadlines.error_us
    assert leader.calendar_keeper is not None
    assert leader.term.objectives.deadlines_us(job)[0] == job.due_us
    leader.calendar_keeper.follow_clock(at_us + S, at_us + 5 * S)
    assert job.due_us == at_us - 4 * S + H - leader.term.job_deadlines.error_us
    leader.calendar_keeper.follow_clock(at_us + 2 * S, at_us + 6 * S + 1000)
    assert job.due_us == at_us - 4 * S + H - leader.term.job_deadlines.error_us
    # The earlier of the calendar's and the user's deadline counts.
    assert leader.cluster.jobs[job_id].first_seen_us + 7200 * S > job.due_us


def late_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [r.message for r in caplog.records if "be late" in r.message or "is late" in r.message]


def test_late_job_is_reported_once_across_leaders(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    job_ids = [put_bound_job(terms, number, terms.clock() + 60 * S) for number in range(1, 31)]
    on_track_id = put_bound_job(terms, 99, terms.clock() + 9 * H)
    leader = terms.start_leader()
    terms.report_late_jobs(leader)
    # Without observed run times of its class, a job doesn't count as late.
    status = leader.status(job_ids[0])
    assert status is not None and status.late is None and status.due_at == "2026-03-02T01:01:00Z"
    assert not late_lines(caplog)
    terms.state.value_bytes = 600
    leader.term.estimates.observe(leader.cluster.jobs[job_ids[0]], 300 * S)
    for job_id in job_ids:
        leader.cluster.jobs[job_id].notify_changed()
    terms.clock.us += S
    revision_before = terms.state.revision
    terms.report_late_jobs(leader)
    lines = late_lines(caplog)
    assert len(lines) == 30 and terms.state.revision <= revision_before + 2
    assert lines[0].startswith(
        "run-000001 will be late: due by 2026-03-02T01:01:00Z (morning, edition 1), expected "
    )
    assert lines[0].endswith("no machine has room for its tasks yet; 0 of 4 tasks done")
    terms.clock.us += S
    terms.report_late_jobs(leader)
    successor = terms.start_leader()
    status = successor.status(job_ids[0])
    assert status is not None and status.late
    assert (
        successor.forecaster.deadline_standing(successor.cluster.jobs[on_track_id], 0)
        is DeadlineStatus.UNKNOWN
    )
    for _ in range(2):
        leader = terms.start_leader()
        leader.term.estimates.observe(leader.cluster.jobs[job_ids[0]], 300 * S)
        terms.report_late_jobs(leader)
        leader.forecaster.log_summary(terms.clock())
    assert len(late_lines(caplog)) == 30
    status = leader.status(job_ids[0])
    assert status is not None and status.late
    on_track_status = leader.status(on_track_id)
    assert on_track_status is not None and on_track_status.late is False


def test_report_that_a_leader_cannot_commit_is_left_to_the_next(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    job_id = put_bound_job(terms, 1, terms.clock() - 5 * S)
    leader = terms.start_leader()
    leader.forecaster.refresh_due_forecasts(terms.clock())
    successor = terms.start_leader()
    # The store rejects the first leader's note of the late job, so that leader logs nothing.
    assert leader.calendar_keeper is not None
    terms.run_with_writer(leader, leader.calendar_keeper.late_notifications.commit)
    assert not late_lines(caplog)
    terms.report_late_jobs(successor)
    assert len(late_lines(caplog)) == 1 and "is late" in late_lines(caplog)[0]
    successor.forecaster.log_summary(terms.clock())
    line = caplog.records[-1].message
    assert "1 jobs are bound; due within the hour: 1, on track 0, late 1, unknown 0" in line
    assert f"(late: {job_id})" in line


def history_of(leader: Leader) -> RunTimeHistory:
    assert leader.calendar_keeper is not None
    return leader.calendar_keeper.run_time_history


def test_new_leader_inherits_the_run_time_history(terms: Terms) -> None:
    job_id = put_bound_job(terms, 1, terms.clock() + 9 * H)
    first = terms.start_leader()
    assert history_of(first)._collect_history() is None
    for _ in range(5):
        first.term.estimates.observe(first.cluster.jobs[job_id], 300 * S)
    record = history_of(first)._collect_history()
    assert first.publisher is not None and record is not None
    terms.run_with_writer(first, lambda: first.publisher.write({HISTORY_KEY: record}))
    assert history_of(first)._collect_history() is None
    second = terms.start_leader()
    job = second.cluster.jobs[job_id]
    assert not second.term.estimates.has_observations(job)
    history_of(second).load()
    assert second.term.estimates.task_us(job) == pytest.approx(
        first.term.estimates.task_us(job), rel=0.4
    )
    assert (
        second.term.estimates.has_observations(job)
        and history_of(second)._collect_history() is None
    )


class LateJobLog(logging.Handler):
    """Collects the ids of the jobs that any leader has logged as late."""

    def __init__(self) -> None:
        super().__init__()
        self.job_ids: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.job_ids.append(record.getMessage().split(" ")[0])


@given(
    st.lists(
        st.sampled_from(["lead", "report", "assess only", "submit", "time", "overlap"]), max_size=20
    )
)
def test_late_jobs_are_reported_once_for_any_failovers(events: list[str]) -> None:
    """The events "assess only" and "overlap" interrupt a leader's report of late jobs.

    With "assess only", the leader finds late jobs and ends before it commits its note of them. With
    "overlap", a new leader starts before the old one assesses the jobs and tries to commit.
    """
    late_jobs = LateJobLog()
    logging.getLogger("weldhead.controller.configuration.late_notifications").addHandler(late_jobs)
    with fixed_clock() as clock:
        clock.us = utc_us("2026-03-02 01:00")
        terms = Terms(clock)
        terms.state.value_bytes = 300
        leader, count = terms.start_leader(), 0
        for event in [*events, "time", "lead", "report"]:
            match event:
                case "lead":
                    leader = terms.start_leader()
                case "report":
                    terms.report_late_jobs(leader)
                case "assess only":
                    leader.forecaster.refresh_due_forecasts(clock())
                    leader = terms.start_leader()
                case "overlap":
                    old_leader, leader = leader, terms.start_leader()
                    old_leader.forecaster.refresh_due_forecasts(clock())
                    assert old_leader.calendar_keeper is not None
                    terms.run_with_writer(
                        old_leader, old_leader.calendar_keeper.late_notifications.commit
                    )
                case "submit":
                    for _ in range(3):
                        count += 1
                        put_bound_job(terms, count, clock() + 5 * S)
                case "time":
                    clock.us += 10 * S
            assert len(late_jobs.job_ids) == len(set(late_jobs.job_ids))
    logging.getLogger("weldhead.controller.configuration.late_notifications").removeHandler(
        late_jobs
    )
    assert len(late_jobs.job_ids) == count


def test_user_and_calendar_deadlines_are_reported_separately(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    job_id = put_bound_job(terms, 1, terms.clock() + 100 * S, deadline_s=30.0)
    leader = terms.start_leader()
    leader.term.estimates.observe(leader.cluster.jobs[job_id], 300 * S)
    for _ in range(3):
        terms.report_late_jobs(leader)
        leader.cluster.jobs[job_id].notify_changed()
        terms.clock.us += S
    assert [line.split(";")[0].split(",")[0] for line in late_lines(caplog)] == [
        "run-000001 will be late: due in 20 s",
        "run-000001 will be late: due by 2026-03-02T01:01:40Z (morning",
    ]


def test_calendar_state_is_cut_to_the_size_limit() -> None:
    full = CalendarState(
        "d", 1, tuple(range(1, 49)), 48, tuple(InstantMove(n, n, n + 1) for n in range(64))
    )
    trimmed = trim_to_size(full, 400)
    assert len(msgspec.json.encode(trimmed)) <= 400
    assert trimmed.moves == full.moves[-len(trimmed.moves) :] and trimmed.instants[0] == 1
    minimal = trim_to_size(full, 80)
    assert minimal.until_us == minimal.instants[-1] and not minimal.moves


def test_leader_suspended_past_its_lease_reports_nothing(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    job_id = put_bound_job(terms, 1, terms.clock() + 60 * S)
    leader = terms.start_leader()
    terms.clock.us += 2000 * S  # long after the lease has expired
    assert not leader.is_valid
    terms.report_late_jobs(leader)
    assert not late_lines(caplog) and leader.status(job_id) is None


def test_lateness_reason_names_the_current_delay(terms: Terms) -> None:
    from weldhead.scheduling.forecast.completion_times import BootForecast
    from weldhead.scheduling.forecast.deadline_lateness import explain_lateness

    cluster_state = cluster()
    job = add_job(cluster_state, job_spec(1, job_class="balance"))
    no_boots, boots = BootForecast(None, 0), BootForecast(20 * S, 30 * S)

    def describe_gate(job: Job) -> str:
        return "gate book: it is rebuilt"

    assert explain_lateness(cluster_state, job, no_boots, 0, describe_gate).startswith(
        "no machine has room"
    )
    assert explain_lateness(cluster_state, job, boots, 0, describe_gate).startswith(
        "a machine boots, up in 20 s"
    )
    cluster_state.usage["red"].cpus = 100.0
    assert explain_lateness(cluster_state, job, boots, 0, describe_gate).startswith(
        "no room within the limit of team red"
    )
    dependency_graph = DependencyGraph(cluster_state.jobs)
    dependent = add_job(cluster_state, job_spec(2, needs=(job.id,)))
    dependency_graph.add(dependent, (job.id,))
    assert explain_lateness(cluster_state, dependent, no_boots, 0, describe_gate).startswith(
        "it waits for run-000001 (balance), no room"
    )
    job.blocking_gate = GateStatus()
    assert (
        explain_lateness(cluster_state, job, no_boots, 0, describe_gate)
        == "held by gate book: it is rebuilt"
    )
    # The opening time of the gate is unknown. The job is late if an immediate opening is too late.
    job.calendar_due_us = 100 * S
    assert (
        assess_deadline(job, 0, has_history=True, min_duration_us=90 * S) is DeadlineStatus.UNKNOWN
    )
    assert (
        assess_deadline(job, 11 * S, has_history=True, min_duration_us=90 * S)
        is DeadlineStatus.LATE
    )
    job.blocking_gate, job.fails_everywhere = None, True
    assert "fail everywhere" in explain_lateness(cluster_state, job, no_boots, 0, describe_gate)


def test_job_without_history_is_late_only_after_its_deadline() -> None:
    cluster_state = cluster()
    job = add_job(cluster_state, job_spec(1))
    job.calendar_due_us, job.expected_finish_us = 10 * S, 5 * S
    assert assess_deadline(job, 0, has_history=False) is DeadlineStatus.UNKNOWN
    assert assess_deadline(job, 11 * S, has_history=False) is DeadlineStatus.LATE
    assert assess_deadline(job, 0, has_history=True) is DeadlineStatus.ON_TRACK


def test_forecasts_of_unchanged_bound_jobs_are_rarely_refreshed() -> None:
    cluster_state = cluster()
    for number in range(5_000):
        job = add_job(cluster_state, job_spec(number, job_class="balance"))
        job.calendar_due_us = 8 * H
    forecasts = JobForecasts(
        cluster_state,
        DependencyGraph(cluster_state.jobs),
        RunTimeEstimates(),
        lambda job: 0,
        S,
        4 * S,
        100_000,
    )
    assert len(forecasts.refresh(1)) == 5_000
    refreshed_count = sum(len(forecasts.refresh(1 + second * S)) for second in range(1, 61))
    assert refreshed_count <= 5_000 * 60 * S // MAX_REFRESH_INTERVAL_US
    cluster_state.jobs["run-000007"].notify_changed()
    assert [job.id for job in forecasts.refresh(60 * S + 2)][:1] == ["run-000007"]


def test_jobs_without_calendar_keep_their_own_deadlines() -> None:
    cluster_state = cluster()
    no_deadline, user_deadline = (
        add_job(cluster_state, job_spec(1)),
        add_job(cluster_state, job_spec(2, deadline_s=30.0)),
    )
    objectives = ServiceLevelObjectives([])
    assert objectives.deadlines_us(no_deadline) == [] and objectives.deadlines_us(
        user_deadline
    ) == [30 * S]
    assert no_deadline.due_us is None and user_deadline.due_us == 30 * S
