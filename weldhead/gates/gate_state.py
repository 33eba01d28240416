"""What is kept of a gate: its editions, and what follows from an act. Pure.

An edition is the jobs that made it: it begins with a rebuild, and is open once that, an
approval and a publication *of this edition* are done, in whatever order they end. Editions
are numbered by the order in which the leader enters their rebuilds.

Which edition an approval, a publication or a withdrawal is of:

* that of the rebuild, or of the entered act, which it names in ``waits_on``;
* otherwise the one that was the newest rebuilt when the job was accepted. That is written in
  the job's record by whoever accepts it, on the condition of the state's mark.

An act counts when its job is committed as done, a rebuild closes and a withdrawal withdraws
as soon as it is entered: whatever closes is early, whatever opens is late. An approval that was
accepted before a withdrawal never counts against it, however late it is done: each
withdrawal begins a round, and an approval says in which round it was accepted.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Literal

import msgspec

from weldhead.cluster_state.records import GateAction
from weldhead.gates.gate_document import Gate

#: How many editions are kept besides the newest that is open.
KEPT = 3
#: How many acts may be under way; further ones wait for the end of one of these.
MOST_PENDING = 12


class GateEdition(msgspec.Struct, array_like=True, frozen=True):
    """One edition: the jobs that made it, as far as they are done; "": not yet."""

    number: int
    #: The job that rebuilds it, done or not.
    rebuild: str
    rebuilt: bool = False
    approved_by: str = ""
    published_by: str = ""
    #: The round that the last withdrawal of its approval began.
    revoked: int = 0
    #: Time of day at which it became open; 0: it is not.
    opened_us: int = 0

    @property
    def open(self) -> bool:
        """Whether it is rebuilt, approved and published."""
        return self.rebuilt and bool(self.approved_by) and bool(self.published_by)


class PendingAction(msgspec.Struct, array_like=True, frozen=True):
    """An act that is entered and whose job is not over."""

    job: str
    act: str
    edition: int


class GateState(msgspec.Struct, frozen=True, omit_defaults=True):
    """A gate's record; ``edition`` is the newest number, ``since_us`` its last change."""

    edition: int = 0
    round: int = 0
    editions: tuple[GateEdition, ...] = ()
    pending: tuple[PendingAction, ...] = ()
    since_us: int = 0

    @property
    def newest(self) -> GateEdition | None:
        """The newest edition; None: none was ever begun."""
        return self.editions[-1] if self.editions else None

    def find(self, number: int) -> GateEdition | None:
        """Return an edition; None: it is not kept any more."""
        return next((e for e in self.editions if e.number == number), None)

    def pends(self, act: str, edition: int) -> list[str]:
        """Return the jobs under way that perform an act on an edition."""
        return [p.job for p in self.pending if (p.act, p.edition) == (act, edition)]


class ActionEntry(Enum):
    """What came of an act's entry."""

    TAKEN = "taken"
    #: It is entered already.
    KNOWN = "known"
    #: It is of no edition that is kept, or its approval is withdrawn: it changes nothing.
    NOTHING = "counts for nothing"
    #: Too many are under way.
    FULL = "waits"


def permits(former: Literal["finish", "stop"], state: GateState, least: int) -> bool:
    """Whether a job that needs this edition or a later one may start.

    Where former work finishes, any edition that is open will do; where it is stopped, only
    the newest.
    """
    if former == "stop":
        newest = state.newest
        return newest is not None and newest.open and newest.number >= least
    return any(e.open and e.number >= least for e in state.editions)


def needed_now(state: GateState) -> int:
    """Return the edition that a job accepted now needs at least."""
    return max(1, state.edition)


def newest_rebuilt(state: GateState) -> int:
    """Return the newest edition whose rebuild is done; 0: there is none."""
    return max((e.number for e in state.editions if e.rebuilt), default=0)


def gate_action(gate: Gate, state: GateState, act: str) -> GateAction:
    """Return what is written at its acceptance in the record of a job that performs an act."""
    edition = 0 if act == "rebuild" else newest_rebuilt(state)
    return GateAction(gate.name, act, edition, state.round)


def _named(state: GateState, needs: Iterable[str]) -> int:
    """Return the edition of the acts that a job waits for; 0: it names none."""
    wanted = set(needs)
    found = [p.edition for p in state.pending if p.job in wanted]
    for edition in state.editions:
        if wanted & {edition.rebuild, edition.approved_by, edition.published_by}:
            found.append(edition.number)
    return max(found, default=0)


def _put(state: GateState, edition: GateEdition, at_us: int) -> GateState:
    """Replace an edition, or add it, and drop what is too old."""
    if not edition.open:
        edition = msgspec.structs.replace(edition, opened_us=0)
    elif not edition.opened_us:
        edition = msgspec.structs.replace(edition, opened_us=at_us)
    known = {e.number: e for e in state.editions} | {edition.number: edition}
    numbers = sorted(known)
    kept = set(numbers[-KEPT:])
    kept.update([n for n in numbers if known[n].open][-1:])
    return msgspec.structs.replace(
        state, editions=tuple(known[n] for n in numbers if n in kept), since_us=at_us
    )


def enter(
    state: GateState,
    act: str,
    job_id: str,
    needs: Iterable[str],
    recorded_action: GateAction | None,
    at_us: int,
) -> tuple[GateState, ActionEntry]:
    """Take up an accepted job that performs an act; without a deed only ``needs`` tells of what.

    ``at_us`` is the time of day.
    """
    if any(p.job == job_id for p in state.pending):
        return state, ActionEntry.KNOWN
    if len(state.pending) >= MOST_PENDING:
        return state, ActionEntry.FULL
    if act == "rebuild":
        number = state.edition + 1
        state = _put(state, GateEdition(number, job_id), at_us)
        pending = (*state.pending, PendingAction(job_id, act, number))
        return msgspec.structs.replace(state, edition=number, pending=pending), ActionEntry.TAKEN
    number = _named(state, needs) or (recorded_action.edition if recorded_action is not None else 0)
    if act == "withdrawal" and not number:
        # Nobody says of which edition: to close is safe.
        number = newest_rebuilt(state)
    edition = state.find(number)
    if edition is None:
        return state, ActionEntry.NOTHING
    if (
        act == "approval"
        and (recorded_action.round if recorded_action is not None else 0) < edition.revoked
    ):
        return state, ActionEntry.NOTHING
    pending = (*state.pending, PendingAction(job_id, act, number))
    if act == "withdrawal":
        # With it goes every approval that was accepted before.
        pending = tuple(p for p in pending if (p.act, p.edition) != ("approval", number))
        revoked = msgspec.structs.replace(edition, approved_by="", revoked=state.round + 1)
        state = msgspec.structs.replace(_put(state, revoked, at_us), round=state.round + 1)
    return msgspec.structs.replace(state, pending=pending), ActionEntry.TAKEN


def ended(state: GateState, job_id: str, at_us: int, *, done: bool) -> GateState:
    """Draw what follows from the end of an entered act's job."""
    entry = next((p for p in state.pending if p.job == job_id), None)
    if entry is None:
        return state
    pending = tuple(p for p in state.pending if p is not entry)
    state = msgspec.structs.replace(state, pending=pending)
    edition = state.find(entry.edition)
    if not done or edition is None:
        return state
    match entry.act:
        case "rebuild":
            edition = msgspec.structs.replace(edition, rebuilt=True)
        case "approval" if not edition.approved_by:
            edition = msgspec.structs.replace(edition, approved_by=job_id)
        case "publication" if not edition.published_by:
            edition = msgspec.structs.replace(edition, published_by=job_id)
        case _:
            return state
    return _put(state, edition, at_us)


def waits_for(gate: Gate, state: GateState) -> str:
    """Say in words what the newest edition waits for, and who has to act; "": it is open."""
    edition = state.newest
    if edition is None:
        return f"no edition was ever begun; {gate.rebuild} has to rebuild it"
    number = edition.number
    if not edition.rebuilt:
        if state.pends("rebuild", number):
            return f"edition {number} is being rebuilt by {edition.rebuild}"
        again = f"{gate.rebuild} has to begin another"
        return f"the rebuild of edition {number}, {edition.rebuild}, was cancelled; {again}"
    for act, by in (("approval", edition.approved_by), ("publication", edition.published_by)):
        if by:
            continue
        word = "approve" if act == "approval" else "publish"
        under_way = state.pends(act, number)
        if under_way:
            return f"edition {number} waits for its {act} by {under_way[0]}"
        again = " again" if act == "approval" and edition.revoked else ""
        return f"edition {number} waits for its {act}; {getattr(gate, act)} has to {word} it{again}"
    return ""
