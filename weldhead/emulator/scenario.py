"""Scenarios: what a simulated site consists of and what befalls it. TOML, checked.

Times are seconds of the experiment. A fault comes at its time, or after an event; it is of
controllers (a number of them, or a role) or of a share of the machines.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec

from weldhead.tomlfiles import build_problem, parse_toml, read_text

#: No process is back sooner.
LEAST_BACK_S = 0.05
#: No copy of direct commands arrives sooner after the answer.
LEAST_COPY_S = 0.5

Kind = Literal[
    "controllers_end",
    "controllers_freeze",
    "controllers_cut",
    "controllers_peers",
    "controllers_from_store",
    "controllers_alone",
    "controllers_from_workers",
    "machines_die",
    "machines_hang",
    "machines_cut",
    "machines_restart",
    "machines_deaf",
    "machines_mute",
    "store_down",
    "store_slow",
    "store_refuses",
    "store_late",
    "store_late_writes",
    "messages_lost",
    "messages_late",
    "reports_copied",
    "commands_late",
    "commands_copied",
    "machines_sick",
    "zone_cut",
    "boots_late",
    "boots_fail",
    "users_poll",
    "users_ask_everywhere",
    "users_odd",
    "users_cancel_now",
    "users_cancel_at_end",
]

#: What a fault can be tied to: a user learns that a job is withdrawn; a term is won, loaded,
#: ready; a write leaves a controller, or gets no answer in time; a command is sent, or the
#: first task of a term runs; a controller's or a worker's process is back; a running task is told
#: to stop, or runs on another machine than before; the last task of a job completes.
Event = Literal[
    "confirmed",
    "term_won",
    "term_loaded",
    "term_ready",
    "write_sent",
    "write_given_up",
    "run_sent",
    "kill_sent",
    "forget_sent",
    "first_run_sent",
    "first_run_started",
    "controller_back",
    "machine_back",
    "task_stopped",
    "task_moved",
    "job_ended",
]
#: Of what kind a write is: by its key, and of leases.
WriteKind = Literal[
    "leader",
    "lease",
    "submission",
    "cancellation",
    "completion",
    "progress",
    "rental",
    "taken",
    "document",
]
#: Which controller: who leads; who leads next; one that does not; the one that most workers
#: report to.
Role = Literal["leader", "successor", "follower", "most_workers"]

#: Whose faults can be of a controller in a role, and which events concern a machine.
_OF_CONTROLLERS = (
    "controllers_",
    "store_refuses",
    "store_late_writes",
    "machines_deaf",
    "machines_mute",
    "commands_late",
)
#: Fields that only one kind of fault has.
_OF_ONE_KIND: dict[str, Kind] = {
    "again": "controllers_end",
    "at_once": "store_late_writes",
    "writes": "store_late_writes",
    "for_next": "reports_copied",
    "hang_s": "users_cancel_now",
    "zone": "zone_cut",
    "services": "zone_cut",
}
_OF_MACHINES = (
    "run_sent",
    "kill_sent",
    "forget_sent",
    "first_run_sent",
    "first_run_started",
    "machine_back",
    "task_stopped",
    "task_moved",
)


class Fault(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """Something that goes wrong at ``at_s`` for ``for_s`` (ends and deaths: back after it).

    ``share`` is that of the machines, ``count`` of the controllers (0: all); ``leader``
    takes the leader first. ``mode`` is what a cut does; ``one_way`` cuts the way out only.
    ``chance`` and ``most_s`` are how many messages come how late; ``chance`` also how many
    machines never come up. ``factor`` is how many times longer boots take, or how many times
    as often users ask. On sick machines every task fails. Deaf machines are heard, and hear
    nothing of ``count`` controllers. Controllers that are alone have neither store nor peers.
    ``chance`` and ``most_s`` are also how many reports come a second time, and how late.
    ``back_s``: ended controllers and restarted machines are back after so long, in place of
    the above. ``again``: until ``for_s`` is over, whoever stands or wins a term next is ended.

    ``on``: it comes ``after_s`` after the ``nth`` such event from ``at_s`` on (of writes: of
    the kind ``write``), with ``elsewhere`` only such as come while another
    than at ``at_s`` leads; ``concerned``: it befalls the machine of the event. ``role``: it
    befalls that controller, ``successor`` as soon as another leads than when the trouble came.
    What has not come about at ``until_s`` does not befall anybody.
    ``store_late_writes``: the share ``chance`` of the chosen controllers' writes gets no answer
    and is executed ``least_s`` to ``most_s`` later; ``at_once``: it is executed at once, and
    only its answer comes that late. ``writes``: only those of these kinds (empty: of all).
    ``commands_late``: so with the chosen controllers' direct commands, which stay unanswered
    and are carried out once. ``commands_copied``: the share ``chance`` of all direct commands that
    were carried out and answered arrives once more, ``least_s`` to ``most_s`` later; tied to an
    event, of those since ``at_s``, so much after the event (``concerned``: at its machine only).
    ``reports_copied`` with ``for_next``: the copies are kept until a
    new term begins, and then come at every controller within ``most_s``.

    Mute machines open connections to none of ``count`` controllers, and can be reached.
    ``users_ask_everywhere``: after each change of a job that users learn of, or ask for, they
    ask all controllers within milliseconds and submit it again; some cancel at once.
    ``users_odd``: they repeat submissions of unfinished jobs, cancel jobs that are done, and
    send jobs that fit no machine, are of no team or lack a field. ``users_cancel_now``: they
    cancel the ``count`` running jobs with most to go within 0.2 s; with ``hang_s``, up to eight
    of their machines hang so long. ``users_cancel_at_end``: they cancel the share ``chance`` of
    the jobs that end as the last task completes.

    ``zone_cut``: the machines and controllers of ``zone`` are cut off from those of the other
    zones, with ``services`` from the store, the cloud and the users too. With no ``zone`` it is
    the leader's (``leader``), or the first of a controller where the leader is not.
    """

    kind: Kind
    at_s: float
    for_s: float = 5.0
    count: int = 0
    share: float = 0.1
    leader: bool = False
    mode: Literal["hold", "drop", "reset", "refuse"] = "hold"
    one_way: bool = False
    chance: float = 0.1
    most_s: float = 20.0
    factor: float = 8.0
    back_s: float = 0.0
    again: bool = False
    on: Event | None = None
    nth: int = 1
    write: WriteKind | None = None
    elsewhere: bool = False
    concerned: bool = False
    role: Role | None = None
    after_s: float = 0.0
    until_s: float = 0.0
    least_s: float = 2.0
    at_once: bool = False
    writes: list[WriteKind] = []
    for_next: bool = False
    hang_s: float = 0.0
    zone: str = ""
    services: bool = False


class Drawn(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """Faults that the seed draws: so many, of these kinds, within these times."""

    count: int
    kinds: list[Kind]
    from_s: float
    to_s: float
    most_for_s: float = 20.0
    #: Of these, ``back_s`` of each; some of the controllers' ends are then ``again``.
    backs_s: list[float] = []


class JobClass(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """Jobs that arrive ``rate`` a second; tasks and run times are drawn up to twice these.

    ``broken`` is the share of those that fail on every machine until they are cancelled.
    They arrive from ``from_s`` to ``to_s`` (0: until the last ones just have time to end).
    ``zone`` is the one that they are bound to (empty: none).
    """

    name: str
    team: str
    rate: float
    tasks: int = 4
    run_s: float = 8.0
    cpus: float = 1.0
    #: Every so many jobs one has tasks that take this; 0: none.
    large_cpus: float = 0.0
    large_each: int = 10
    cards: float = 0.0
    memory_gb: float = 1.0
    image_gb: float = 1.0
    #: Replicas that run until they are cancelled after ``run_s``, or when a burst is over.
    standing: bool = False
    #: Bursts: jobs arrive for ``on_s``, then for ``off_s`` none do; 0: they always arrive.
    on_s: float = 0.0
    off_s: float = 0.0
    priority: Literal["production", "high", "normal", "idle"] = "normal"
    saves_every_s: float = 0.0
    save_s: float = 0.0
    cancelled: float = 0.05
    spread: bool = False
    one_zone: bool = False
    zone: str = ""
    initial: int = 1
    broken: float = 0.0
    from_s: float = 0.0
    to_s: float = 0.0


class ScenarioTeam(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """A team's guarantee and limit in CPUs and cards; a limit of 0 is none."""

    name: str
    cpus: float
    cpus_max: float
    cards: float = 0.0
    cards_max: float = 0.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """A site, its users, and what goes wrong."""

    name: str
    teams: list[ScenarioTeam]
    jobs: list[JobClass]
    seconds: float = 90.0
    controllers: int = 3
    machines: int = 20
    machine_cpus: float = 4.0
    #: Machines of a second type, with so many cards each.
    card_machines: int = 0
    machine_cards: float = 4.0
    fetch_gb_per_s: float = 4.0
    zones: tuple[str, ...] = ("a", "b")
    boot_s: float = 3.0
    back_s: float = 3.0
    report_s: float = 2.0
    lease_s: float = 12.0
    cancel_s: float = 30.0
    store_rps: float = 200.0
    store_write_rps: float = 80.0
    cloud_rps: float = 3.0
    delay_s: float = 0.001
    lost: float = 0.0
    drift: float = 0.0005
    #: Jobs of the first class, of one task each, that are on record from the beginning.
    stored_jobs: int = 0
    #: The share of a core that each controller's process has (``processor.py``); 0: their work
    #: takes no time.
    core_share: float = 0.0
    #: Whether there is room for all, so that whoever is not served is a broken rule.
    serves: bool = False
    faults: list[Fault] = []
    drawn: Drawn | None = None
    #: The file of gates and calendars that all controllers are given; empty: none.
    documents: str = ""


def parse_scenario(source: str, text: str) -> Scenario:
    """Read a scenario; FileProblem names line and field."""
    scenario = parse_toml(source, text, Scenario)
    for path, reason in _wrong(scenario):
        raise build_problem(source, text, path, reason)
    return scenario


def _wrong(scenario: Scenario) -> Iterator[tuple[list[str | int], str]]:
    """Yield what cannot be, with its path in the file."""
    teams = {team.name for team in scenario.teams}
    for number, job in enumerate(scenario.jobs):
        if job.team not in teams:
            yield ["jobs", number, "team"], f"there is no team {job.team!r}"
        if job.zone and job.zone not in scenario.zones:
            yield ["jobs", number, "zone"], f"there is no zone {job.zone!r}"
        if not 0 < job.cpus <= scenario.machine_cpus:
            yield ["jobs", number, "cpus"], "fit no machine"
        if job.cards and (not scenario.card_machines or job.cards > scenario.machine_cards):
            yield ["jobs", number, "cards"], "fit no machine"
        if bool(job.on_s) != bool(job.off_s):
            yield ["jobs", number, "on-s"], "bursts have both on-s and off-s"
        if not 0 <= job.large_cpus <= scenario.machine_cpus or job.large_each < 1:
            yield ["jobs", number, "large-cpus"], "fit no machine, or come every 0 jobs"
        if not 0 <= job.broken <= 1 or not 0 <= job.cancelled <= 1:
            yield ["jobs", number, "name"], "broken and cancelled are shares from 0 to 1"
        for field in ("tasks", "run_s"):
            if getattr(job, field) <= 0:
                yield ["jobs", number, field.replace("_", "-")], "must be above 0"
    for field in ("seconds", "controllers", "machines", "report_s", "lease_s", "cancel_s",
        "fetch_gb_per_s"):  # fmt: skip
        if getattr(scenario, field) <= 0:
            yield [field.replace("_", "-")], "must be above 0"
    if not 0 <= scenario.core_share <= 1:
        yield ["core-share"], "must be from 0 (work takes no time) to 1"
    for number, fault in enumerate(scenario.faults):
        for field, reason in (*_wrong_tie(fault, scenario), *_wrong_zone(fault, scenario)):
            yield ["faults", number, field], reason
        if min(fault.at_s, fault.for_s) < 0:
            yield ["faults", number, "at-s"], "times must not be below 0"
        if not 0 <= fault.share <= 1 or not 0 <= fault.chance <= 1:
            yield ["faults", number, "kind"], "share and chance are from 0 to 1"
        if fault.factor <= 0:
            yield ["faults", number, "factor"], "must be above 0"
        if fault.count < 0:
            yield ["faults", number, "count"], "must not be below 0"
        elif fault.count > scenario.controllers and fault.kind != "users_cancel_now":
            yield ["faults", number, "count"], "there are not so many controllers"
        if fault.back_s and fault.back_s < LEAST_BACK_S:
            yield ["faults", number, "back-s"], f"must be 0 or at least {LEAST_BACK_S:g}"
        for field, kind in _OF_ONE_KIND.items():
            if getattr(fault, field) and fault.kind != kind:
                yield ["faults", number, field.replace("_", "-")], f"is of {kind}"
        if fault.kind in ("store_late_writes", "commands_late", "commands_copied"):
            if not 0 <= fault.least_s <= fault.most_s:
                yield ["faults", number, "least-s"], "must be from 0 to most-s"
        if fault.kind == "users_cancel_now" and not fault.count:
            yield ["faults", number, "count"], "of running jobs must be given"
        if fault.hang_s < 0:
            yield ["faults", number, "hang-s"], "must not be below 0"
    if scenario.drawn is not None and any(s < LEAST_BACK_S for s in scenario.drawn.backs_s):
        yield ["drawn", "backs-s"], f"must be at least {LEAST_BACK_S:g}"
    if scenario.drawn is not None and scenario.drawn.from_s >= scenario.drawn.to_s:
        yield ["drawn", "from-s"], "must be before to-s"


def _wrong_tie(fault: Fault, scenario: Scenario) -> Iterator[tuple[str, str]]:
    """Yield what cannot be of a fault's event and role."""
    waits = fault.on is not None or fault.role == "successor"
    if fault.on is None:
        for field, given in (
            ("nth", fault.nth != 1), ("after-s", fault.after_s), ("write", fault.write),
            ("elsewhere", fault.elsewhere), ("concerned", fault.concerned),
        ):  # fmt: skip
            if given:
                yield field, "is of a fault that is tied to an event (on)"
    elif (fault.on in ("write_sent", "write_given_up")) != (fault.write is not None):
        yield "write", "is of write_sent and write_given_up, which have to name one"
    if fault.nth < 1:
        yield "nth", "must be at least 1"
    if fault.after_s < 0:
        yield "after-s", "must not be below 0"
    if waits and not fault.at_s < fault.until_s <= scenario.seconds:
        yield "until-s", "must be after at-s and within the run: it waits for something"
    if not waits and fault.until_s:
        yield "until-s", "is of a fault that waits for something (on, or a successor)"
    if fault.role is not None and not fault.kind.startswith(_OF_CONTROLLERS):
        yield "role", f"{fault.kind} is of no controller"
    if fault.role is not None and fault.leader:
        yield "role", "is given, and leader too"
    if fault.role not in (None, "follower") and fault.count > 1:
        yield "count", f"there is one {fault.role}"
    if fault.role in ("successor", "follower") and scenario.controllers < 2:
        yield "role", "there is one controller"
    if fault.concerned and fault.on is not None:
        if not fault.kind.startswith(("machines_", "commands_copied")):
            yield "concerned", f"{fault.kind} is of no machine"
        elif fault.on not in _OF_MACHINES:
            yield "concerned", f"{fault.on} is of no machine"


def _wrong_zone(fault: Fault, scenario: Scenario) -> Iterator[tuple[str, str]]:
    """Yield what cannot be of the zone that a fault cuts off."""
    if fault.zone and fault.zone not in scenario.zones:
        yield "zone", f"there is no zone {fault.zone!r}"
    if fault.zone and fault.leader:
        yield "zone", "is given, and leader too"
    if fault.kind == "zone_cut" and not fault.zone and not fault.leader:
        if min(scenario.controllers, len(set(scenario.zones))) < 2:
            yield "kind", "there is no controller in another zone than the leader"


def read_scenario(path: Path) -> Scenario:
    """Read a scenario's file."""
    return parse_scenario(str(path), read_text(path))
