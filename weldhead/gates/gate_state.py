"""The stored state of a release gate, and the transitions that jobs cause in it. No I/O.

An edition begins with a rebuild. It is open once the rebuild, an approval and a publication *of
this edition* are done, in any order. Editions are numbered in the order in which the leader enters
their rebuilds.

The edition that an approval, a publication or a withdrawal applies to is:

* the edition of the rebuild, or of another entered action, whose job it names in ``waits_on``;
* otherwise the newest rebuilt edition at the job's acceptance. The controller that accepts the job
  writes this edition into the job's record, in a transaction that requires the gate's state to be
  unchanged.

Approvals, publications and rebuilds count when their jobs are committed as done, whereas a rebuild
closes the gate, and a withdrawal withdraws the approval, as soon as they are entered: the gate
closes early and opens late. An approval that was accepted before a withdrawal doesn't count after
it, however late its job is done: each withdrawal begins a new round, and each approval records the
round in which it was accepted.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Literal

import msgspec

from weldhead.cluster_state.records import GateAction
from weldhead.gates.gate_document import Gate

#: Number of newest editions that the state keeps; it also keeps the newest open edition.
MAX_RECENT_EDITIONS = 3
#: Number of pending actions; further actions are entered when one of these ends.
MAX_PENDING_ACTIONS = 12


class GateEdition(msgspec.Struct, array_like=True, frozen=True):
    """One edition, with the ids of the jobs that made it ("": not done yet)."""

    number: int
    #: Id of the job that rebuilds the edition, whether that job is done or not.
    rebuild_job: str
    rebuilt: bool = False
    approved_by: str = ""
    published_by: str = ""
    #: The round that the last withdrawal of this edition's approval began; 0: none.
    withdrawal_round: int = 0
    #: Time of day at which the edition became open; 0: it isn't open.
    opened_us: int = 0

    @property
    def is_open(self) -> bool:
        """Whether the edition is rebuilt, approved and published."""
        return self.rebuilt and bool(self.approved_by) and bool(self.published_by)


class PendingAction(msgspec.Struct, array_like=True, frozen=True):
    """An action on an edition that is entered and whose job has not ended."""

    #: Id of the job that performs the action.
    job: str
    action: str
    edition: int


class GateState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored state of a gate."""

    #: Number of the newest edition; 0: no edition has begun.
    edition: int = 0
    #: Number of withdrawals so far; each one begins a new round of approvals.
    round: int = 0
    #: The kept editions, in the order of their numbers.
    editions: tuple[GateEdition, ...] = ()
    pending: tuple[PendingAction, ...] = ()
    #: Time of day of the last change of an edition.
    since_us: int = 0

    @property
    def newest(self) -> GateEdition | None:
        """The newest edition; None: no edition has begun."""
        return self.editions[-1] if self.editions else None

    def find_edition(self, number: int) -> GateEdition | None:
        """Return the edition with this number; None: it is not kept any more."""
        return next((e for e in self.editions if e.number == number), None)

    def pending_jobs(self, action: str, edition: int) -> list[str]:
        """Return the ids of the unfinished jobs that perform an action on an edition."""
        return [p.job for p in self.pending if (p.action, p.edition) == (action, edition)]


class ActionEntry(Enum):
    """The result of entering an action."""

    ENTERED = "entered"
    ALREADY_ENTERED = "already entered"
    #: The action's edition is not kept, or the approval has been withdrawn.
    NO_EFFECT = "has no effect"
    #: ``MAX_PENDING_ACTIONS`` actions are pending.
    TOO_MANY_PENDING = "waits"


def is_open_for(former_work: Literal["finish", "stop"], state: GateState, min_edition: int) -> bool:
    """Return whether a job that needs edition ``min_edition`` or a later one may start.

    ``former_work`` is the setting ``Gate.former``. With "finish", any open edition that is new
    enough suffices; with "stop", the newest edition has to be open.
    """
    if former_work == "stop":
        newest = state.newest
        return newest is not None and newest.is_open and newest.number >= min_edition
    return any(e.is_open and e.number >= min_edition for e in state.editions)


def required_edition(state: GateState) -> int:
    """Return the earliest edition that a job accepted in this state may start with."""
    return max(1, state.edition)


def newest_rebuilt_edition(state: GateState) -> int:
    """Return the number of the newest edition whose rebuild is done; 0: there is none."""
    return max((e.number for e in state.editions if e.rebuilt), default=0)


def build_gate_action(gate: Gate, state: GateState, action: str) -> GateAction:
    """Return the part of a job's record that says which action the job performs on the gate.

    It is written when the job is accepted.
    """
    edition = 0 if action == "rebuild" else newest_rebuilt_edition(state)
    return GateAction(gate.name, action, edition, state.round)


def _edition_of_needed_jobs(state: GateState, needs: Iterable[str]) -> int:
    """Return the newest edition that the jobs with these ids act on; 0: none of them does."""
    needed_jobs = set(needs)
    found = [p.edition for p in state.pending if p.job in needed_jobs]
    for edition in state.editions:
        if needed_jobs & {edition.rebuild_job, edition.approved_by, edition.published_by}:
            found.append(edition.number)
    return max(found, default=0)


def _store_edition(state: GateState, edition: GateEdition, at_us: int) -> GateState:
    """Add or replace an edition, update its opening time, and drop the editions not to be kept."""
    if not edition.is_open:
        edition = msgspec.structs.replace(edition, opened_us=0)
    elif not edition.opened_us:
        edition = msgspec.structs.replace(edition, opened_us=at_us)
    by_number = {e.number: e for e in state.editions} | {edition.number: edition}
    numbers = sorted(by_number)
    kept = set(numbers[-MAX_RECENT_EDITIONS:])
    kept.update([n for n in numbers if by_number[n].is_open][-1:])
    return msgspec.structs.replace(
        state, editions=tuple(by_number[n] for n in numbers if n in kept), since_us=at_us
    )


def enter_action(
    state: GateState,
    action: str,
    job_id: str,
    needs: Iterable[str],
    recorded_action: GateAction | None,
    at_us: int,
) -> tuple[GateState, ActionEntry]:
    """Enter the action of an accepted job; return the new state and the result.

    ``needs`` are the ids of the jobs that the job waits for. ``recorded_action`` is the action in
    the job's record; if it is None, only ``needs`` can tell which edition the action applies to.
    ``at_us`` is the time of day.
    """
    if any(p.job == job_id for p in state.pending):
        return state, ActionEntry.ALREADY_ENTERED
    if len(state.pending) >= MAX_PENDING_ACTIONS:
        return state, ActionEntry.TOO_MANY_PENDING
    if action == "rebuild":
        number = state.edition + 1
        state = _store_edition(state, GateEdition(number, job_id), at_us)
        pending = (*state.pending, PendingAction(job_id, action, number))
        return msgspec.structs.replace(state, edition=number, pending=pending), ActionEntry.ENTERED
    number = _edition_of_needed_jobs(state, needs) or (
        recorded_action.edition if recorded_action is not None else 0
    )
    if action == "withdrawal" and not number:
        # Neither the job nor its record names an edition. Closing the newest one is safe.
        number = newest_rebuilt_edition(state)
    edition = state.find_edition(number)
    if edition is None:
        return state, ActionEntry.NO_EFFECT
    if (
        action == "approval"
        and (recorded_action.round if recorded_action is not None else 0) < edition.withdrawal_round
    ):
        return state, ActionEntry.NO_EFFECT
    pending = (*state.pending, PendingAction(job_id, action, number))
    if action == "withdrawal":
        # A withdrawal also cancels the pending approvals, which were accepted before it.
        pending = tuple(p for p in pending if (p.action, p.edition) != ("approval", number))
        withdrawn = msgspec.structs.replace(
            edition, approved_by="", withdrawal_round=state.round + 1
        )
        state = msgspec.structs.replace(
            _store_edition(state, withdrawn, at_us), round=state.round + 1
        )
    return msgspec.structs.replace(state, pending=pending), ActionEntry.ENTERED


def apply_job_end(state: GateState, job_id: str, at_us: int, *, done: bool) -> GateState:
    """Return the state after the end of a job; it is unchanged if the job has no pending action.

    ``done`` says whether the job was completed rather than cancelled.
    """
    entry = next((p for p in state.pending if p.job == job_id), None)
    if entry is None:
        return state
    pending = tuple(p for p in state.pending if p is not entry)
    state = msgspec.structs.replace(state, pending=pending)
    edition = state.find_edition(entry.edition)
    if not done or edition is None:
        return state
    match entry.action:
        case "rebuild":
            edition = msgspec.structs.replace(edition, rebuilt=True)
        case "approval" if not edition.approved_by:
            edition = msgspec.structs.replace(edition, approved_by=job_id)
        case "publication" if not edition.published_by:
            edition = msgspec.structs.replace(edition, published_by=job_id)
        case _:
            return state
    return _store_edition(state, edition, at_us)


def explain_closed_gate(gate: Gate, state: GateState) -> str:
    """Return what the newest edition waits for, and which jobs have to act; "": it is open."""
    edition = state.newest
    if edition is None:
        return f"no edition was ever begun; {gate.rebuild} has to rebuild it"
    number = edition.number
    if not edition.rebuilt:
        if state.pending_jobs("rebuild", number):
            return f"edition {number} is being rebuilt by {edition.rebuild_job}"
        again = f"{gate.rebuild} has to begin another"
        return f"the rebuild of edition {number}, {edition.rebuild_job}, was cancelled; {again}"
    for action, done_by in (
        ("approval", edition.approved_by),
        ("publication", edition.published_by),
    ):
        if done_by:
            continue
        verb = "approve" if action == "approval" else "publish"
        pending_jobs = state.pending_jobs(action, number)
        if pending_jobs:
            return f"edition {number} waits for its {action} by {pending_jobs[0]}"
        again = " again" if action == "approval" and edition.withdrawal_round else ""
        return (
            f"edition {number} waits for its {action}; "
            f"{getattr(gate, action)} has to {verb} it{again}"
        )
    return ""
