"""Calendars: which instants there are, what they bind, and what is told of it."""

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
from tests.support.calendars import S, calendar, documents_of, put_edition, us
from tests.support.leaders import Clock, fixed_clock, new_leader
from tests.support.paths import ROOT
from tests.support.stand_ins import StandInState
from tests.support.submissions import GOOD
from tests.support.users import StandInNode, desk, run
from weldhead.calendars.binding import KIND, InstantsNotComputedError, bind, moved
from weldhead.calendars.calendar_document import Calendar
from weldhead.calendars.calendar_state import (
    CalendarState,
    InstantMove,
    digest_of,
    fitting,
    replaced,
)
from weldhead.calendars.deadline_table import DeadlineTable
from weldhead.calendars.recurrence import UnusableCalendarError, check, compute, hour_us, instants
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


def days_of(found: Calendar, after: str, most: int = 5) -> list[str]:
    zone = ZoneInfo(found.zone)
    stamps = islice(instants(found, us(after)), most)
    return [datetime.fromtimestamp(s / S, zone).strftime("%m-%d %H:%M") for s in stamps]


@given(st.sampled_from(ZONES), st.dates(date(2005, 1, 1), date(2035, 1, 1)), st.integers(0, 96 - 1))
def test_an_instant_is_the_first_moment_at_which_it_is_that_late(
    name: str, day: date, quarter: int
) -> None:
    """Whatever the zone's clocks do: skipped, the first moment after; repeated, the earlier."""
    zone = ZoneInfo(name)
    at = time(quarter // 4, quarter % 4 * 15)
    wanted = datetime.combine(day, at)

    def shown(at_s: int) -> datetime:
        return datetime.fromtimestamp(at_s, zone).replace(tzinfo=None)

    found_s = hour_us(day, at, zone) // S
    assert shown(found_s) >= wanted
    assert all(shown(found_s - before) < wanted for before in (1, 900, 1800, 3600, 7200, 86_399))


def test_hours_that_summer_time_skips_or_repeats() -> None:
    zagreb = ZoneInfo("Europe/Zagreb")
    assert hour_us(date(2026, 3, 29), time(2, 30), zagreb) == us("2026-03-29 01:00")
    assert hour_us(date(2026, 10, 25), time(2, 30), zagreb) == us("2026-10-25 00:30")
    # A day that a zone left out altogether.
    apia = ZoneInfo("Pacific/Apia")
    assert hour_us(date(2011, 12, 30), time(6, 30), apia) == us("2011-12-30 10:00")


def test_holidays_moved_days_and_margin() -> None:
    found = calendar(
        rule="FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1",
        never_on=[date(2026, 3, 31)],
        moved={"2026-05-29": date(2026, 5, 27)},
        margin_s=1800.0,
    )
    assert days_of(found, "2026-01-01") == [
        "01-30 06:00", "02-27 06:00", "04-30 06:00", "05-27 06:00", "06-30 06:00",
    ]  # fmt: skip
    # Moved behind others, and onto one that is there anyway.
    late = calendar(moved={"2026-02-02": date(2026, 2, 4), "2026-02-06": date(2026, 2, 8)})
    assert days_of(late, "2026-02-01 12:00", 4) == [
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
    """A successor that computes more goes on where the last one stopped."""
    found = calendar(zone=zone, rule=rule)
    begin = us("2026-01-01")
    every, _ = compute(found, begin, 200)
    assert list(every) == sorted(set(every))
    at_us = begin + (day * 86_400 + second) * S
    later, until_us = compute(found, at_us, 5)
    assert list(later) == [one for one in every if one > at_us][:5] and until_us == later[-1]


def test_the_example_that_operators_start_from_is_good() -> None:
    text = (ROOT / "deploy" / "documents.toml").read_text()
    assert CalendarKeeper.validate(parse_documents("documents.toml", text, 8_000)) is None
    wrong = parse_documents("documents.toml", text.replace("FREQ=WEEKLY", "FREQ=HOURLY"), 8_000)
    assert str(CalendarKeeper.validate(wrong)).startswith("calendar/counters: rule: FREQ is one of")


def test_a_rule_that_ends_has_no_more_instants() -> None:
    found, until_us = compute(calendar(rule="FREQ=DAILY;COUNT=3"), us("2026-01-01 12:00"), 9)
    assert len(found) == 2 and until_us is None


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
def test_what_cannot_be_computed_is_refused(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(UnusableCalendarError) as problem:
        check(calendar(**changes))
    assert problem.value.field == field


STAMPS = st.lists(st.integers(300, 400), min_size=1, max_size=8, unique=True).map(sorted)


@given(
    st.lists(st.tuples(STAMPS, st.booleans(), st.integers(1, 350)), min_size=2, max_size=5),
    st.integers(0, 320),
)
def test_what_binds_a_job_is_the_same_for_every_successor_and_never_later_without_leave(
    editions: list[tuple[list[int], bool, int]], accepted: int
) -> None:
    """Followed edition by edition, or derived at the end from the record and the last state."""
    changes = sorted(change for _, _, change in editions[1:])
    state = CalendarState("1", 1, tuple(editions[0][0]))
    # Accepted under the edition of that moment.
    bound: CalendarDeadline | None = None
    due = 0
    for number, (stamps, rebinds, _) in enumerate(editions[1:], start=2):
        change = changes[number - 2]
        if bound is None and accepted < change:
            first = state.after(accepted)
            if first is None:
                return
            bound = CalendarDeadline("morning", number - 1, first)
            due = first
        fresh = CalendarState(f"{number}", number, tuple(stamps))
        state = replaced(state, fresh, change, 0, rebinds=rebinds)
        if bound is not None and due > change:
            coming = fresh.after(change)
            if coming is not None and (coming < due or rebinds):
                due = coming
        if bound is not None:
            assert state.moved(bound).due_us == due
    if bound is not None:
        # Whoever followed the moves on the way is told the same.
        assert state.moved(state.moved(bound)) == state.moved(bound)


def test_clocks_that_differ_around_an_instant_leave_no_job_behind() -> None:
    """One that was bound to the instant after next, by a clock that is ahead, moves as well."""
    former = CalendarState("a", 1, (100 * S, 200 * S, 300 * S))
    fresh = CalendarState("b", 2, (90 * S, 190 * S, 290 * S))
    state = replaced(former, fresh, 98 * S, S, rebinds=False)
    assert state.moves == (InstantMove(2, 200 * S, 190 * S),)
    # One that is due before the change is not made good by it.
    assert state.moved(CalendarDeadline("m", 1, 100 * S)).due_us == 100 * S


def cache_with(found: Calendar, *stamps: int, edition: int = 3, **of: Any) -> DocumentCache:
    cache = DocumentCache()
    body = msgspec.json.encode(found)
    offer = DocumentSet(edition, {f"{KIND}/{found.name}": msgspec.Raw(body)})
    mark = 4
    for step in plan_publication(offer, [], 9):
        for key, value in step.items():
            mark += 1
            cache.put(key, msgspec.json.encode(value), mark)
    state = CalendarState(digest_of(body), edition, stamps, **of)
    cache.put(state_key(KIND, found.name), msgspec.json.encode(state), mark + 1)
    cache.as_of_us = 1
    return cache


def test_an_instant_binds_only_while_it_is_to_come_by_every_clock() -> None:
    cache = cache_with(calendar(), 100 * S, 200 * S)
    spec = job_spec(1, job_class="balance")
    bound = bind(cache, spec, 98 * S, S).deadline
    assert bound == CalendarDeadline("morning", 3, 100 * S)
    # A moment before the hour, by some clock past it.
    for at_us in (99 * S, 100 * S, 150 * S):
        found = bind(cache, spec, at_us, S)
        assert found.deadline == CalendarDeadline("morning", 3, 200 * S)
    assert {c.key for c in found.conditions} == {HEAD_KEY, state_key(KIND, "morning")}
    # None is left, and no more can come; or more will be known.
    assert bind(cache, spec, 200 * S, S).deadline is None
    with pytest.raises(InstantsNotComputedError):
        bind(cache_with(calendar(), 100 * S, until_us=100 * S), spec, 100 * S, S)
    # That nothing binds it rests on the edition.
    other = bind(cache, job_spec(1), 98 * S, S)
    assert other.deadline is None and [c.key for c in other.conditions] == [HEAD_KEY]


def submission(number: int = 1, **changes: Any) -> bytes:
    body = GOOD | {"uid": f"run-{number:06}", "jobclass": "balance"}
    return msgspec.json.encode(body | changes)


def test_a_copy_of_a_former_edition_binds_nobody() -> None:
    """In a roll some controllers know the next edition and others do not yet."""
    state = StandInState()
    put_edition(state, calendar(), 1)
    body = bytes(msgspec.json.encode(calendar()))
    coming = CalendarState(digest_of(body), 1, (us("2099-01-01"),))
    state.put(state_key(KIND, "morning"), coming)
    node = StandInNode()
    node.documents = documents_of(state)
    assert run(desk(state, node).submit(submission()))[0] == 503  # nothing is known yet
    asyncio.run(node.documents._read_all())
    assert run(desk(state, node).submit(submission())) == (
        201,
        {"uid": "run-000001", "status": "pending", "due_at": "2099-01-01T00:00:00Z"},
    )
    assert run(desk(state, node).poll("run-000001"))[1]["due_at"] == "2099-01-01T00:00:00Z"
    put_edition(state, calendar(hour="05:30"), 2)
    assert run(desk(state, node).submit(submission(2)))[0] == 503
    assert job_key("run-000002") not in state.keys
    # The next edition is known, its instants are not: nobody is bound by the former ones.
    asyncio.run(node.documents._read_all())
    assert run(desk(state, node).submit(submission(2)))[0] == 503


def test_a_follower_that_reaches_nobody_says_what_is_due() -> None:
    state = StandInState()
    node = StandInNode()
    node.documents = documents_of(state)
    node.documents.deadline_table.put(
        "run-000001", CalendarDeadline("morning", 1, us("2026-03-01 05:30"))
    )
    front = desk(state, node)

    async def poll() -> Any:
        async def gone(*_: Any, **__: Any) -> None:
            raise CallError("down")

        front.reader.read_record = gone  # type: ignore[method-assign]
        return await front.poll("run-000001")

    status, body = run(poll())
    assert status == 503
    assert body["error"].endswith("; due by 2026-03-01T05:30:00Z (morning, edition 1)")


def test_the_table_follows_records_and_says_what_is_due_soon() -> None:
    table, cache = (
        DeadlineTable(),
        cache_with(calendar(), 9 * H, moves=(InstantMove(4, 9 * H, H // 2),)),
    )
    record = JobRecord(job_spec(1), 0, deadline=CalendarDeadline("morning", 3, 9 * H))
    for number in range(3):
        table.read_record(f"run-{number}", msgspec.json.encode(record))
    table.read_record("run-9", msgspec.json.encode(JobRecord(job_spec(1), 0)))
    assert len(table) == 3 and len({id(bound) for bound in table._jobs.values()}) == 1
    table.as_of_us = 5 * S
    line = table.summary(cache, S, 9 * S)
    assert line.startswith(
        "3 jobs are bound; due within the hour: 3, past: 0; first run-0, by 1970"
    )
    assert line.endswith("as of 4 s ago")
    record.cancelled = True
    table.read_record("run-0", msgspec.json.encode(record))
    table.keep_only({"run-1"})
    assert len(table) == 1


class Terms:
    """One leader after the other over one store, each with its ledger only."""

    def __init__(self, at: Clock) -> None:
        self.clock = at
        self.state = StandInState()

    def lead(self) -> Leader:
        leader = new_leader(self.state, self.clock(), documents=documents_of(self.state))
        leader.term.ready = True
        return leader

    def act(self, leader: Leader, *calls: Any) -> None:
        async def play() -> None:
            running = asyncio.create_task(leader.state_writer.run())
            for call in calls:
                await call()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

        asyncio.run(play())

    def renew(self, leader: Leader) -> None:
        assert leader.calendar_keeper is not None
        self.act(leader, leader.calendar_keeper._update_instants)

    def look(self, leader: Leader) -> None:
        assert leader.calendar_keeper is not None
        notes = leader.calendar_keeper.late_notifications
        leader.forecaster.refresh_due_forecasts(self.clock())
        while notes._pending:
            self.act(leader, notes.commit)


@pytest.fixture
def terms(clock: Clock) -> Iterator[Terms]:
    clock.us = us("2026-03-02 01:00")
    yield Terms(clock)


def bound_job(terms: Terms, number: int, due_us: int, edition: int = 1, **of: Any) -> str:
    spec = job_spec(number, job_class="balance", **of)
    bound = CalendarDeadline("morning", edition, due_us)
    terms.state.put(job_key(spec.id), JobRecord(spec, terms.clock() - 10 * S, deadline=bound))
    return spec.id


def test_a_changed_calendar_binds_open_jobs_anew(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    put_edition(terms.state, calendar(), 1)
    first = terms.lead()
    terms.renew(first)
    due_us = us("2026-03-02 05:30")
    kept = (
        moved(first.publisher.cache, CalendarDeadline("morning", 1, due_us))
        if first.publisher
        else None
    )
    assert kept == CalendarDeadline("morning", 1, due_us)
    name = bound_job(terms, 1, due_us)
    late = bound_job(terms, 2, us("2026-03-01 05:30"))
    # Earlier: at once. It is one write for all jobs, and one line for each.
    put_edition(terms.state, calendar(hour="05:00"), 2)
    second = terms.lead()
    assert second.cluster.jobs[name].calendar_deadline == CalendarDeadline("morning", 1, due_us)
    before = terms.state.revision
    terms.renew(second)
    assert terms.state.revision == before + 1
    earlier = CalendarDeadline("morning", 2, us("2026-03-02 04:00"))
    lines = [r.message for r in caplog.records if "bound anew" in r.message]
    assert lines == [
        "run-000001 is bound anew by calendar morning, edition 2: due by 2026-03-02T04:00:00Z, "
        "before by 2026-03-02T05:30:00Z"
    ]
    # Later: only where the document says so; a successor derives what its predecessor saw.
    put_edition(terms.state, calendar(hour="08:00"), 3)
    third = terms.lead()
    terms.renew(third)
    fourth = terms.lead()
    for leader in (second, third, fourth):
        assert leader.cluster.jobs[name].calendar_deadline == earlier
        assert leader.cluster.jobs[late].calendar_deadline == CalendarDeadline(
            "morning", 1, us("2026-03-01 05:30")
        )
    put_edition(terms.state, calendar(hour="08:00", rebinds=True), 4)
    fifth = terms.lead()
    terms.renew(fifth)
    assert fifth.cluster.jobs[name].calendar_deadline == CalendarDeadline(
        "morning", 4, us("2026-03-02 07:00")
    )
    # Nothing has changed: nothing is written.
    before = terms.state.revision
    terms.renew(fifth)
    assert terms.state.revision == before


def test_a_job_is_due_by_every_clock_also_when_the_time_of_day_is_set(terms: Terms) -> None:
    name = bound_job(terms, 1, terms.clock() + H, deadline_s=7200.0)
    leader = terms.lead()
    job, at_us = leader.cluster.jobs[name], terms.clock()
    assert job.due_us == at_us + H - leader.term.job_deadlines.error_us
    assert leader.calendar_keeper is not None
    assert leader.term.objectives.deadlines_us(job)[0] == job.due_us
    leader.calendar_keeper.follow_clock(at_us + S, at_us + 5 * S)
    assert job.due_us == at_us - 4 * S + H - leader.term.job_deadlines.error_us
    leader.calendar_keeper.follow_clock(at_us + 2 * S, at_us + 6 * S + 1000)
    assert job.due_us == at_us - 4 * S + H - leader.term.job_deadlines.error_us
    # The earlier of the two counts.
    assert leader.cluster.jobs[name].first_seen_us + 7200 * S > job.due_us


def late_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [r.message for r in caplog.records if "be late" in r.message or "is late" in r.message]


def test_late_is_told_once_by_whichever_term(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    names = [bound_job(terms, number, terms.clock() + 60 * S) for number in range(1, 31)]
    fine = bound_job(terms, 99, terms.clock() + 9 * H)
    leader = terms.lead()
    terms.look(leader)
    # A job of no history is unknown: nothing is guessed.
    status = leader.status(names[0])
    assert status is not None and status.late is None and status.due_at == "2026-03-02T01:01:00Z"
    assert not late_lines(caplog)
    terms.state.value_bytes = 600
    leader.term.estimates.observe(leader.cluster.jobs[names[0]], 300 * S)
    for name in names:
        leader.cluster.jobs[name].notify_changed()
    terms.clock.us += S
    before = terms.state.revision
    terms.look(leader)
    told = late_lines(caplog)
    assert len(told) == 30 and terms.state.revision <= before + 2
    assert told[0].startswith(
        "run-000001 will be late: due by 2026-03-02T01:01:00Z (morning, edition 1), expected "
    )
    assert told[0].endswith("no machine has room for its tasks yet; 0 of 4 tasks done")
    terms.clock.us += S
    terms.look(leader)
    successor = terms.lead()
    status = successor.status(names[0])
    assert status is not None and status.late
    assert (
        successor.forecaster.deadline_standing(successor.cluster.jobs[fine], 0)
        is DeadlineStatus.UNKNOWN
    )
    for _ in range(2):
        leader = terms.lead()
        leader.term.estimates.observe(leader.cluster.jobs[names[0]], 300 * S)
        terms.look(leader)
        leader.forecaster.log_summary(terms.clock())
    assert len(late_lines(caplog)) == 30
    status = leader.status(names[0])
    assert status is not None and status.late
    fine_status = leader.status(fine)
    assert fine_status is not None and fine_status.late is False


def test_one_that_ended_before_it_said_so_leaves_it_to_the_next(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    name = bound_job(terms, 1, terms.clock() - 5 * S)
    leader = terms.lead()
    leader.forecaster.refresh_due_forecasts(terms.clock())
    successor = terms.lead()
    # The first one's note is refused by the store, so it says nothing.
    assert leader.calendar_keeper is not None
    terms.act(leader, leader.calendar_keeper.late_notifications.commit)
    assert not late_lines(caplog)
    terms.look(successor)
    assert len(late_lines(caplog)) == 1 and "is late" in late_lines(caplog)[0]
    successor.forecaster.log_summary(terms.clock())
    line = caplog.records[-1].message
    assert "1 jobs are bound; due within the hour: 1, on track 0, late 1, unknown 0" in line
    assert f"(late: {name})" in line


def history_of(leader: Leader) -> RunTimeHistory:
    assert leader.calendar_keeper is not None
    return leader.calendar_keeper.run_time_history


def test_a_successor_knows_what_its_predecessors_saw(terms: Terms) -> None:
    name = bound_job(terms, 1, terms.clock() + 9 * H)
    first = terms.lead()
    assert history_of(first)._collect_history() is None
    for _ in range(5):
        first.term.estimates.observe(first.cluster.jobs[name], 300 * S)
    record = history_of(first)._collect_history()
    assert first.publisher is not None and record is not None
    terms.act(first, lambda: first.publisher.write({HISTORY_KEY: record}))
    assert history_of(first)._collect_history() is None
    second = terms.lead()
    job = second.cluster.jobs[name]
    assert not second.term.estimates.has_observations(job)
    history_of(second).load()
    assert second.term.estimates.task_us(job) == pytest.approx(
        first.term.estimates.task_us(job), rel=0.4
    )
    assert (
        second.term.estimates.has_observations(job)
        and history_of(second)._collect_history() is None
    )


class Lines(logging.Handler):
    """What was told, across all terms."""

    def __init__(self) -> None:
        super().__init__()
        self.told: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.told.append(record.getMessage().split(" ")[0])


@given(
    st.lists(
        st.sampled_from(["lead", "look", "found only", "submit", "time", "overlap"]), max_size=20
    )
)
def test_whoever_leads_and_ends_whenever_each_is_told_once(events: list[str]) -> None:
    """``found only``: the leader ends before its note is committed; ``overlap``: it is replaced."""
    lines = Lines()
    logging.getLogger("weldhead.controller.configuration.late_notifications").addHandler(lines)
    with fixed_clock() as at:
        at.us = us("2026-03-02 01:00")
        terms = Terms(at)
        terms.state.value_bytes = 300
        leader, count = terms.lead(), 0
        for event in [*events, "time", "lead", "look"]:
            match event:
                case "lead":
                    leader = terms.lead()
                case "look":
                    terms.look(leader)
                case "found only":
                    leader.forecaster.refresh_due_forecasts(at())
                    leader = terms.lead()
                case "overlap":
                    former, leader = leader, terms.lead()
                    former.forecaster.refresh_due_forecasts(at())
                    assert former.calendar_keeper is not None
                    terms.act(former, former.calendar_keeper.late_notifications.commit)
                case "submit":
                    for _ in range(3):
                        count += 1
                        bound_job(terms, count, at() + 5 * S)
                case "time":
                    at.us += 10 * S
            assert len(lines.told) == len(set(lines.told))
    logging.getLogger("weldhead.controller.configuration.late_notifications").removeHandler(lines)
    assert len(lines.told) == count


def test_an_owners_deadline_and_an_instant_are_told_each(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    name = bound_job(terms, 1, terms.clock() + 100 * S, deadline_s=30.0)
    leader = terms.lead()
    leader.term.estimates.observe(leader.cluster.jobs[name], 300 * S)
    for _ in range(3):
        terms.look(leader)
        leader.cluster.jobs[name].notify_changed()
        terms.clock.us += S
    assert [line.split(";")[0].split(",")[0] for line in late_lines(caplog)] == [
        "run-000001 will be late: due in 20 s",
        "run-000001 will be late: due by 2026-03-02T01:01:40Z (morning",
    ]


def test_a_record_is_cut_to_what_the_store_takes() -> None:
    whole = CalendarState(
        "d", 1, tuple(range(1, 49)), 48, tuple(InstantMove(n, n, n + 1) for n in range(64))
    )
    small = fitting(whole, 400)
    assert len(msgspec.json.encode(small)) <= 400
    assert small.moves == whole.moves[-len(small.moves) :] and small.instants[0] == 1
    tiny = fitting(whole, 80)
    assert tiny.until_us == tiny.instants[-1] and not tiny.moves


def test_a_leader_that_stood_still_across_the_hour_says_nothing(
    terms: Terms, caplog: pytest.LogCaptureFixture
) -> None:
    name = bound_job(terms, 1, terms.clock() + 60 * S)
    leader = terms.lead()
    terms.clock.us += 2000 * S  # far behind its lease
    assert not leader.is_valid
    terms.look(leader)
    assert not late_lines(caplog) and leader.status(name) is None


def test_a_late_jobs_reason_is_the_true_one(terms: Terms) -> None:
    from weldhead.scheduling.forecast.completion_times import BootForecast
    from weldhead.scheduling.forecast.deadline_lateness import explain_lateness

    into = cluster()
    job = add_job(into, job_spec(1, job_class="balance"))
    quiet, boots = BootForecast(None, 0), BootForecast(20 * S, 30 * S)

    def why(job: Job) -> str:
        return "gate book: it is rebuilt"

    assert explain_lateness(into, job, quiet, 0, why).startswith("no machine has room")
    assert explain_lateness(into, job, boots, 0, why).startswith("a machine boots, up in 20 s")
    into.usage["red"].cpus = 100.0
    assert explain_lateness(into, job, boots, 0, why).startswith(
        "no room within the limit of team red"
    )
    chains = DependencyGraph(into.jobs)
    follower = add_job(into, job_spec(2, needs=(job.id,)))
    chains.add(follower, (job.id,))
    assert explain_lateness(into, follower, quiet, 0, why).startswith(
        "it waits for run-000001 (balance), no room"
    )
    job.blocking_gate = GateStatus()
    assert explain_lateness(into, job, quiet, 0, why) == "held by gate book: it is rebuilt"
    # It cannot be told when the gate opens: late when even an opening now is too late.
    job.calendar_due_us = 100 * S
    assert (
        assess_deadline(job, 0, has_history=True, min_duration_us=90 * S) is DeadlineStatus.UNKNOWN
    )
    assert (
        assess_deadline(job, 11 * S, has_history=True, min_duration_us=90 * S)
        is DeadlineStatus.LATE
    )
    job.blocking_gate, job.fails_everywhere = None, True
    assert "fail everywhere" in explain_lateness(into, job, quiet, 0, why)


def test_unknown_is_not_guessed_but_past_is_past() -> None:
    into = cluster()
    job = add_job(into, job_spec(1))
    job.calendar_due_us, job.expected_finish_us = 10 * S, 5 * S
    assert assess_deadline(job, 0, has_history=False) is DeadlineStatus.UNKNOWN
    assert assess_deadline(job, 11 * S, has_history=False) is DeadlineStatus.LATE
    assert assess_deadline(job, 0, has_history=True) is DeadlineStatus.ON_TRACK


def test_thousands_of_bound_jobs_cost_what_changes() -> None:
    into = cluster()
    for number in range(5_000):
        job = add_job(into, job_spec(number, job_class="balance"))
        job.calendar_due_us = 8 * H
    outlook = JobForecasts(
        into, DependencyGraph(into.jobs), RunTimeEstimates(), lambda job: 0, S, 4 * S, 100_000
    )
    assert len(outlook.refresh(1)) == 5_000
    looks = sum(len(outlook.refresh(1 + second * S)) for second in range(1, 61))
    assert looks <= 5_000 * 60 * S // MAX_REFRESH_INTERVAL_US
    into.jobs["run-000007"].notify_changed()
    assert [job.id for job in outlook.refresh(60 * S + 2)][:1] == ["run-000007"]


def test_unbound_work_is_due_as_before() -> None:
    into = cluster()
    plain, due = add_job(into, job_spec(1)), add_job(into, job_spec(2, deadline_s=30.0))
    goals = ServiceLevelObjectives([])
    assert goals.deadlines_us(plain) == [] and goals.deadlines_us(due) == [30 * S]
    assert plain.due_us is None and due.due_us == 30 * S
