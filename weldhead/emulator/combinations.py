"""Pairs and triples of faults drawn at random: what meets, at which event, of whom."""

import random
from collections.abc import Callable

import msgspec

from weldhead.emulator.scenario import (
    LEAST_COPY_S,
    Event,
    Fault,
    Kind,
    Role,
    Scenario,
    WriteKind,
)

#: When the first fault comes at the earliest and the latest, in seconds, and how much longer
#: one that is tied to an event waits for it.
FIRST_S, LAST_S = 14.0, 30.0
WAITS_S = 30.0
#: How much later than the one before another comes, unless it is tied to an event.
GAPS_S = (0.0, 0.05, 0.5, 2.0, 6.0, 12.0)
AFTER_S = (0.0, 0.0, 0.02, 0.3, 1.0)
TIED = 0.55
#: How many of them hold a fault that may bring another leader: by luck alone one run in three did.
CHANGES = 0.7

_COMMANDS: tuple[Event, ...] = ("run_sent", "kill_sent", "forget_sent")
_OF_TASKS: tuple[Event, ...] = ("task_stopped", "task_moved", "job_ended")
_ALWAYS: tuple[Event, ...] = ("confirmed", "write_sent", "write_given_up", *_COMMANDS, *_OF_TASKS)
_OF_TERMS: tuple[Event, ...] = (
    "term_won",
    "term_loaded",
    "term_ready",
    "first_run_sent",
    "first_run_started",
)
_OF_MACHINES = {
    *_COMMANDS,
    "first_run_sent",
    "first_run_started",
    "machine_back",
    "task_stopped",
    "task_moved",
}
#: What the process that is back after such a fault brings about.
_RETURNS: dict[Kind, Event] = {
    "controllers_end": "controller_back",
    "machines_restart": "machine_back",
}
_WRITES: tuple[WriteKind, ...] = (
    "lease",
    "submission",
    "cancellation",
    "cancellation",
    "completion",
    "rental",
    "taken",
)
_OF_LEADER: tuple[Kind, ...] = (
    "controllers_end",
    "controllers_end",
    "controllers_freeze",
    "controllers_cut",
    "controllers_alone",
    "controllers_from_store",
    "store_refuses",
)
_ROLES: tuple[Role | None, ...] = ("leader", "leader", "follower", "most_workers", None)


def combined(scenario: Scenario, seed: int, count: int) -> Scenario:
    """Return the scenario with that many faults of the seed's luck in place of its own."""
    rng = random.Random(f"{count} faults of {scenario.name}/{scenario.controllers}/{seed}")
    faults: list[Fault] = []
    change = rng.randrange(count) if rng.random() < CHANGES else None
    for number in range(count):
        faults.append(_draw(rng, scenario, faults, of_leader=number == change))
    return msgspec.structs.replace(scenario, faults=faults, drawn=None)


def _draw(rng: random.Random, scenario: Scenario, before: list[Fault], *, of_leader: bool) -> Fault:
    kind = rng.choice(_OF_LEADER if of_leader else tuple(_DETAILS))
    at_s = before[-1].at_s + rng.choice(GAPS_S) if before else rng.uniform(FIRST_S, LAST_S)
    fault = Fault(kind, at_s=round(at_s, 2), for_s=rng.choice((1.0, 4.0, 10.0, 20.0)))
    _DETAILS[kind](rng, scenario, fault)
    if of_leader:
        fault.role = "leader"
    if rng.random() < TIED:
        _tie(rng, scenario, fault, before)
    return fault


def _tie(rng: random.Random, scenario: Scenario, fault: Fault, before: list[Fault]) -> None:
    """Have it wait for an event; for one of a new term only if something may bring that."""
    changes = any(other.kind.startswith(("controllers_", "store_")) for other in before)
    returns = tuple(event for kind, event in _RETURNS.items() if kind in {o.kind for o in before})
    fault.on = event = rng.choice(_ALWAYS + (_OF_TERMS if changes else ()) + returns)
    fault.nth, fault.after_s = rng.choice((1, 1, 2, 4)), rng.choice(AFTER_S)
    fault.at_s = min([FIRST_S, *(other.at_s for other in before)])
    fault.until_s = min(LAST_S + WAITS_S, scenario.seconds)
    if event in ("write_sent", "write_given_up"):
        fault.write = rng.choice(_WRITES)
    if event in _OF_MACHINES and fault.kind.startswith(("machines_", "commands_copied")):
        fault.concerned = rng.random() < 0.5


# -- what a kind of fault has besides ----------------------------------------------------------


def _controllers(rng: random.Random, scenario: Scenario, fault: Fault) -> None:
    """Whom it befalls: one in a role, or all."""
    fault.role = rng.choice(_ROLES)
    fault.mode = rng.choice(("hold", "drop", "reset", "refuse"))
    if fault.kind == "controllers_end":
        fault.back_s = rng.choice((0.1, 1.0, 5.0, scenario.lease_s + 3.0))
        fault.again = rng.random() < 0.2
    elif fault.kind != "controllers_freeze":
        fault.one_way = rng.random() < 0.3


def _machines(rng: random.Random, scenario: Scenario, fault: Fault) -> None:
    """How many, and for longer than a lease or not."""
    fault.share = rng.choice((0.2, 0.5, 0.9))
    fault.for_s = rng.choice((3.0, scenario.lease_s - 1.0, scenario.lease_s + 6.0))
    fault.mode = rng.choice(("hold", "drop", "reset"))
    if fault.kind == "machines_restart":
        fault.back_s = rng.choice((0.1, 3.0))
    elif fault.kind in ("machines_deaf", "machines_mute"):
        fault.role = rng.choice((None, None, "leader"))
    elif fault.kind == "machines_cut":
        fault.one_way = rng.random() < 0.3


def _store(rng: random.Random, scenario: Scenario, fault: Fault) -> None:
    """Outages longer than ``cancel_s`` too; slow by what users named at most."""
    if fault.kind == "store_down":
        fault.for_s = rng.choice((3.0, 12.0, scenario.cancel_s + 5.0))
    elif fault.kind == "store_slow":
        fault.most_s = rng.choice((0.1, 0.4))
    elif fault.kind == "store_refuses":
        fault.role = rng.choice(_ROLES)
    else:
        fault.chance, fault.most_s = rng.choice((0.2, 0.6, 1.0)), rng.choice((4.0, 12.0))
    if fault.kind == "store_late_writes":
        fault.role = rng.choice(("leader", None))
        fault.at_once = rng.random() < 0.5
        fault.writes = [rng.choice(_WRITES)] if rng.random() < 0.4 else []


def _messages(rng: random.Random, scenario: Scenario, fault: Fault) -> None:
    """Shares, and how late: well over a lease."""
    fault.chance, fault.most_s = rng.choice((0.05, 0.1, 0.3)), 2 * scenario.lease_s
    if fault.kind == "commands_late":
        fault.chance, fault.most_s = rng.choice((0.3, 1.0)), 16.0
    elif fault.kind == "commands_copied":
        fault.chance, fault.least_s = rng.choice((0.1, 0.5, 1.0)), LEAST_COPY_S
        fault.for_s, fault.most_s = rng.choice((10.0, 30.0)), rng.choice((2.0, 15.0, 60.0))
    elif fault.kind == "reports_copied":
        fault.for_s, fault.for_next = rng.choice((10.0, 30.0)), rng.random() < 0.5
        fault.most_s = 1.0 if fault.for_next else fault.most_s


def _users(rng: random.Random, scenario: Scenario, fault: Fault) -> None:
    fault.for_s = rng.choice((10.0, 30.0))
    if fault.kind == "users_cancel_now":
        fault.count = rng.choice((3, 12))
        fault.hang_s = rng.choice((0.0, scenario.lease_s - 2.0, scenario.lease_s + 6.0))
    elif fault.kind == "users_cancel_at_end":
        fault.chance = rng.choice((0.3, 0.9))


def _boots(rng: random.Random, scenario: Scenario, fault: Fault) -> None:
    fault.chance, fault.factor = rng.choice((0.3, 0.8)), rng.choice((0.3, 8.0))


_DETAILS: dict[Kind, Callable[[random.Random, Scenario, Fault], None]] = {
    "controllers_end": _controllers,
    "controllers_freeze": _controllers,
    "controllers_cut": _controllers,
    "controllers_peers": _controllers,
    "controllers_from_store": _controllers,
    "controllers_alone": _controllers,
    "controllers_from_workers": _controllers,
    "machines_die": _machines,
    "machines_hang": _machines,
    "machines_cut": _machines,
    "machines_restart": _machines,
    "machines_deaf": _machines,
    "machines_mute": _machines,
    "store_down": _store,
    "store_slow": _store,
    "store_refuses": _store,
    "store_late": _store,
    "store_late_writes": _store,
    "messages_lost": _messages,
    "messages_late": _messages,
    "reports_copied": _messages,
    "commands_late": _messages,
    "commands_copied": _messages,
    "boots_late": _boots,
    "boots_fail": _boots,
    "users_ask_everywhere": _users,
    "users_odd": _users,
    "users_cancel_now": _users,
    "users_cancel_at_end": _users,
}
