"""What happened, and which of PROTOCOL's rules it broke.

The checker sees what no controller can: every task on every machine, the store itself, and
what each user was told. Besides the rules it checks promises that the rules rest on: an
attempt is started once, nobody is told what is not committed, and no leader outlives its
lease. Times are microseconds of true time.
"""

import hashlib
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from weldhead.clock import SECOND_US
from weldhead.cluster_state.cluster import token_of_attempt
from weldhead.cluster_state.records import FinalRecord, JobRecord, final_key, job_key
from weldhead.emulator.job_timelines import JobTimeline, unserved
from weldhead.protocol.settings import Team
from weldhead.protocol.wire import JobSpec, JobStatus, MachineType, split_task_name
from weldhead.site.store.model import Store
from weldhead.transport.state_client import decode

#: A user that is answered nothing for so long, while most others are, was forgotten; and once
#: troubles are over, however others fare.
FORGOTTEN_US = 90 * SECOND_US
FORGOTTEN_IN_CALM_US = 75 * SECOND_US


class DeadlineObserver(Protocol):
    """Follows what records and answers say of calendar deadlines."""

    def recorded(self, record: JobRecord) -> None:
        """A job's record was written."""

    def told(self, status: JobStatus) -> None:
        """A user was answered."""


@dataclass(frozen=True)
class TaskLocation:
    """Where a task is: its machine, and whether it may still be there (leases end)."""

    machine: str
    type: MachineType
    zone: str
    spot: bool
    present: Callable[[], bool]


@dataclass
class ObservedAnswer:
    """What the users of a job know."""

    spec: JobSpec
    #: When that was told first, and when the first task ran.
    accepted_us: int = 0
    begun_us: int = 0
    final: str = ""
    #: When that was told first.
    final_us: int = 0
    cancel_asked: bool = False
    cancelled_us: int = 0
    failing_since_us: int = 0

    @property
    def accepted(self) -> bool:
        """Whether a user was told so."""
        return bool(self.accepted_us)


@dataclass
class Checker:
    """Follows a run."""

    teams: list[Team]
    cancel_us: int
    now_us: Callable[[], int]
    store: Store
    broken: Counter[str] = field(default_factory=Counter)
    details: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    jobs: dict[str, ObservedAnswer] = field(default_factory=dict)
    done: dict[str, set[int]] = field(default_factory=lambda: defaultdict(set))
    on: dict[str, dict[str, TaskLocation]] = field(default_factory=lambda: defaultdict(dict))
    #: When the first task ran under each token, and when tasks were stopped by command.
    first_starts: dict[int, int] = field(default_factory=dict)
    stops: list[int] = field(default_factory=list)
    #: Jobs submitted with a mistake, and the CPU microseconds that they and all others took.
    broken_jobs: set[str] = field(default_factory=set)
    broken_us: float = 0.0
    others_us: float = 0.0
    #: When the last trouble was over; None while one is to come.
    calm_us: int | None = None
    #: Who else looks at starts, and at tasks told to stop: called with task and machine.
    on_started: list[Callable[[str, str], None]] = field(default_factory=list)
    on_told_to_stop: list[Callable[[str, str], None]] = field(default_factory=list)
    #: Who is told of a job as the last of its tasks has completed.
    on_complete: list[Callable[[str], None]] = field(default_factory=list)
    calendars: DeadlineObserver | None = None
    #: The longest that a task went on after a user was told that its job is withdrawn.
    longest_cancelled_us: int = 0
    #: Seconds of work that tasks have saved.
    saved_s: Counter[str] = field(default_factory=Counter)
    _since: dict[tuple[str, str], int] = field(default_factory=dict)
    _begun: set[tuple[str, int]] = field(default_factory=set)
    #: Cancelled jobs whose tasks may still go on, and the tasks that broke that rule.
    _ending: deque[ObservedAnswer] = field(default_factory=deque)
    _ran_cancelled: set[str] = field(default_factory=set)
    _polls: Counter[bool] = field(default_factory=Counter)
    _digest: "hashlib._Hash" = field(default_factory=hashlib.sha256)

    def note(self, *event: object) -> None:
        """Enter an event into the history."""
        self._digest.update(repr((self.now_us(), *event)).encode())

    @property
    def digest(self) -> str:
        """What tells one history from another."""
        return self._digest.hexdigest()[:16]

    def breaks(self, rule: str, text: str) -> None:
        """A rule is broken."""
        self.broken[rule] += 1
        if len(self.details) < 20:
            self.details.append(f"{self.now_us() / SECOND_US:.3f} s: {rule}: {text}")

    # -- machines --------------------------------------------------------------------------

    def started(self, task: str, attempt: int, site: TaskLocation) -> None:
        """A task has its image and runs from now on."""
        self.look()
        self.note("start", task, attempt, site.machine)
        self.counts["starts"] += 1
        self.first_starts.setdefault(token_of_attempt(attempt), self.now_us())
        if (task, attempt) in self._begun:
            self.breaks("attempt_reused", f"{task} attempt {attempt} starts again")
        self._begun.add((task, attempt))
        job_id, index = split_task_name(task)
        told = self.jobs.get(job_id)
        if told is None:
            self.breaks("invented", f"{task} starts, and nobody submitted it")
            return
        told.begun_us = told.begun_us or self.now_us()
        others = [s for s in self.on[task].values() if s.present() and s.machine != site.machine]
        if others:
            self.breaks(
                "ran_twice", f"{task} starts on {site.machine}, runs on {others[0].machine}"
            )
        self.on[task][site.machine] = site
        self._since[task, site.machine] = self.now_us()
        self._check_place(told.spec, index, site)
        self._check_quota(told.spec.team)
        if self._overdue(told):
            self._breaks_cancelled(task, "starts")
        for look in self.on_started:
            look(task, site.machine)

    def told_to_stop(self, task: str, machine: str) -> None:
        """A task that runs is told to stop."""
        for look in self.on_told_to_stop:
            look(task, machine)

    def left(self, task: str, machine: str, why: str) -> None:
        """A task is on a machine no more."""
        self.look()
        self.note("left", task, machine, why)
        if self.on[task].pop(machine, None) is None:
            return
        self.counts[why] += 1
        job_id, index = split_task_name(task)
        self._count_room(job_id, self._since.pop((task, machine)))
        if why == "stopped":
            self.stops.append(self.now_us())
        if why == "done":
            self.done[job_id].add(index)
        told = self.jobs.get(job_id)
        if why == "done" and told is not None and len(self.done[job_id]) == told.spec.tasks:
            for look in self.on_complete:
                look(job_id)
        if told is not None and told.cancelled_us:
            went_on_us = self.now_us() - told.cancelled_us
            self.longest_cancelled_us = max(self.longest_cancelled_us, went_on_us)
        if told is not None and self._overdue(told):
            # Of a machine that hung beyond its lease, too: it was killed only now.
            self._breaks_cancelled(task, f"was on {machine} until now")

    def look(self) -> None:
        """Judge the cancelled jobs whose time is over; before every change, and often.

        A task is on its machine until it exits, is killed or the machine is gone: whether that
        runs, hangs, is cut off or hears nothing makes no difference. One that hangs beyond its
        lease kills its tasks before anything else, so they are not held against it here, as in
        all other rules (``TaskLocation.present``); they are if it goes on and kills them too late.
        """
        while self._ending and self._overdue(self._ending[0]):
            self._judge_cancelled(self._ending.popleft().spec)

    def _judge_cancelled(self, spec: JobSpec) -> None:
        for index in range(spec.tasks):
            task = f"{spec.id}/{index}"
            names = [name for name, site in self.on.get(task, {}).items() if site.present()]
            if names:
                self._breaks_cancelled(task, f"is on {names[0]} still")

    def _overdue(self, told: ObservedAnswer) -> bool:
        return bool(told.cancelled_us) and self.now_us() - told.cancelled_us > self.cancel_us

    def _breaks_cancelled(self, task: str, text: str) -> None:
        """Once for each task: what it does after that is the same fault."""
        if task not in self._ran_cancelled:
            self._ran_cancelled.add(task)
            self.breaks("ran_cancelled", f"{task} {text}")

    def _count_room(self, job_id: str, since_us: int) -> None:
        told = self.jobs.get(job_id)
        took_us = (self.now_us() - since_us) * (told.spec.cpus if told is not None else 0.0)
        if job_id in self.broken_jobs:
            self.broken_us += took_us
        else:
            self.others_us += took_us

    def served(self) -> dict[str, tuple[int, int]]:
        """Return by class how many jobs were accepted and not cancelled, and told done."""
        due: Counter[str] = Counter()
        done: Counter[str] = Counter()
        for told in self.jobs.values():
            if told.accepted and not told.cancel_asked and told.spec.id not in self.broken_jobs:
                due[told.spec.job_class] += 1
                done[told.spec.job_class] += told.final == "done"
        return {name: (count, done[name]) for name, count in due.items()}

    def broken_share(self) -> float:
        """Return what jobs submitted with a mistake took of all CPU time that tasks had."""
        took_us = self.broken_us + self.others_us
        return self.broken_us / took_us if took_us else 0.0

    def _check_place(self, spec: JobSpec, index: int, site: TaskLocation) -> None:
        zones: Counter[str] = Counter()
        for other in range(spec.tasks):
            if other != index:
                here = self.on.get(f"{spec.id}/{other}", {})
                zones.update(s.zone for s in here.values() if s.present())
        wrong = (
            (spec.types is not None and site.type.name not in spec.types)
            or (spec.zone is not None and site.zone != spec.zone)
            or (site.spot and not spec.spot)
            or (spec.one_zone and any(zone != site.zone for zone in zones))
            or (spec.spread and zones[site.zone] + 1 > -(-spec.tasks // 2))
        )
        if wrong:
            self.breaks("wrong_place", f"{spec.id}/{index} starts on {site.machine}")

    def _check_quota(self, name: str) -> None:
        cpus = cards = 0.0
        for task, here in self.on.items():
            told = self.jobs.get(split_task_name(task)[0])
            if told is not None and told.spec.team == name:
                present = sum(site.present() for site in here.values())
                cpus += told.spec.cpus * present
                cards += told.spec.gpus * present
        team = next(team for team in self.teams if team.name == name)
        for used, limit, what in ((cpus, team.cpus_max, "CPUs"), (cards, team.gpus_max, "cards")):
            if used > limit + 1e-6:
                self.breaks("quota", f"{name} uses {used:g} of {limit:g} {what}")

    # -- users -----------------------------------------------------------------------------

    def submitted(self, spec: JobSpec) -> None:
        """A user submits a job for the first time."""
        self.note("submit", spec.id)
        self.jobs.setdefault(spec.id, ObservedAnswer(spec))

    def answered(
        self, job_id: str, verb: str, status: int, state: str, asked_us: int | None = None
    ) -> None:
        """A user was answered (status 0: not at all) what was asked then (None: just now)."""
        self.note("told", job_id, verb, status, state)
        self.counts[f"{verb} {status}"] += 1
        told, at_us = self.jobs.get(job_id), self.now_us()
        if verb == "odd submit":
            if status in (200, 201):
                self.breaks("accepted_unfit", f"{job_id} cannot run or lacks a field: {status}")
            return
        if told is None:
            if status in (200, 201):
                self.breaks("invented", f"{verb} of {job_id}, which nobody submitted: {status}")
            return
        if verb == "poll":
            self._polled(told, status in (200, 404), asked_us or at_us)
        accepted = told.accepted and (asked_us is None or asked_us >= told.accepted_us)
        if status in (400, 422) and accepted and verb == "submit":
            self.breaks("forgotten", f"{job_id}: repeated submission answered {status}")
        if status == 404 and accepted:
            self.breaks("forgotten", f"{job_id}: 404 to a {verb}")
        if status in (200, 201):
            told.accepted_us = told.accepted_us or at_us
            self._state(told, state, at_us, at_us if asked_us is None else asked_us)

    def _polled(self, told: ObservedAnswer, good: bool, asked_us: int) -> None:
        self._polls[good] += 1
        if good:
            told.failing_since_us = 0
            return
        told.failing_since_us = told.failing_since_us or asked_us
        at_us = self.now_us()
        most_answered = self._polls[True] > self._polls[False]
        if at_us - told.failing_since_us > FORGOTTEN_US and most_answered:
            self.breaks("forgotten", f"{told.spec.id}: every poll fails")
        elif self.calm_us is not None:
            # This counts from the first question after all troubles.
            if at_us - max(told.failing_since_us, self.calm_us) > FORGOTTEN_IN_CALM_US:
                self.breaks("forgotten", f"{told.spec.id}: no answer in calm")

    def _state(self, told: ObservedAnswer, state: str, at_us: int, asked_us: int) -> None:
        spec = told.spec
        if told.final and state != told.final:
            if asked_us < told.final_us:
                # Asked twice at once: the older answer has only come later.
                self.counts["answers overtaken"] += 1
                return
            self.breaks("went_back", f"{spec.id}: {told.final}, then {state}")
        if state == "withdrawn":
            if not told.cancel_asked:
                self.breaks("went_back", f"{spec.id}: withdrawn, and nobody cancelled it")
            if not told.cancelled_us:
                told.cancelled_us = at_us
                self._ending.append(told)
        if state == "done" and spec.id in self.broken_jobs:
            self.breaks("not_done", f"{spec.id} was submitted with a mistake")
        if state == "done" and len(self.done[spec.id]) < spec.tasks:
            missing = spec.tasks - len(self.done[spec.id])
            self.breaks("not_done", f"{spec.id}: {missing} tasks are not done")
        if state in ("done", "withdrawn"):
            told.final_us = told.final_us or at_us
            told.final = state
        if not self._committed(spec.id, state):
            self.breaks("told_uncommitted", f"{spec.id}: told {state!r}, and the store has it not")

    def _committed(self, job_id: str, state: str) -> bool:
        final = self.store.get(final_key(job_id))
        if final is not None:
            outcome = decode(bytes(final.value), FinalRecord).status
            return state == outcome or state not in ("done", "withdrawn")
        entry = self.store.get(job_key(job_id))
        if entry is None or state == "done":
            return False
        record = decode(bytes(entry.value), JobRecord)
        if self.calendars is not None:
            self.calendars.recorded(record)
        return state != "withdrawn" or record.cancelled

    # -- the end ---------------------------------------------------------------------------

    def _courses(self) -> Iterator[JobTimeline]:
        for told in self.jobs.values():
            if told.accepted and not told.cancel_asked and told.spec.id not in self.broken_jobs:
                served = told.final == "done" or (told.spec.is_service and told.begun_us > 0)
                yield JobTimeline(told.spec, told.accepted_us, told.begun_us, served)

    def finish(self, *, serves: bool = False) -> None:
        """The run is over: see what is left, and who was served if there was room for all."""
        at_us = self.now_us()
        for text in unserved(self._courses(), at_us) if serves else ():
            self.breaks("unserved", text)
        for told in self.jobs.values():
            if self._overdue(told):
                self._judge_cancelled(told.spec)
        if not self.counts["starts"]:
            self.breaks("nothing_ran", "no task was started")
