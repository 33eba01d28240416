"""What is kept of a calendar across editions, and what follows from it. Pure.

``d/state/calendar/NAME`` has the coming instants, computed by whichever leader saw the
calendar first; everybody else reads them. A calendar that is the same in a later edition
keeps its record. One that changed binds what is open anew, and that costs no write a job: all
jobs of one calendar that are open and not late are bound to the same one or two instants,
so the record says what became of those instants (``moves``), and every leader and follower
derives the same from a job's own record.
"""

import hashlib
from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from weldhead.cluster_state.records import CalendarDeadline

#: How many coming instants are kept, and with how few left more are computed.
KEPT_INSTANTS = 48
FEW_INSTANTS = 24
#: How many moves are kept: one or two for each change of the calendar.
KEPT_MOVES = 64
#: Instants that follow one another within so many clock errors may all bind open jobs.
MOST_ERRORS = 10


class InstantMove(msgspec.Struct, frozen=True, array_like=True):
    """Who was bound to an instant before that edition is bound to another one since."""

    edition: int
    was_us: int
    due_us: int


class CalendarState(msgspec.Struct, omit_defaults=True, frozen=True):
    """The instants of a calendar (time of day, UTC, margin taken off), in order.

    ``edition`` is the first that had the calendar so, ``digest`` its content. ``until_us``: of
    the time up to there all instants are listed; None: there are no others. ``left`` are
    instants of earlier editions that bind jobs still. ``problem``: why there are no instants.
    """

    digest: str
    edition: int
    instants: tuple[int, ...]
    until_us: int | None = None
    moves: tuple[InstantMove, ...] = ()
    left: tuple[int, ...] = ()
    problem: str = ""

    def after(self, wall_us: int) -> int | None:
        """Return the first instant after a time; None: there is none, or it is not known."""
        place = bisect_right(self.instants, wall_us)
        return self.instants[place] if place < len(self.instants) else None

    def before(self, wall_us: int) -> int | None:
        """Return the last instant up to a time; None: it is not known."""
        place = bisect_right(self.instants, wall_us)
        return self.instants[place - 1] if place else None

    def runs_out(self, wall_us: int) -> bool:
        """Whether more instants have to be computed."""
        pending = len(self.instants) - bisect_right(self.instants, wall_us)
        return self.until_us is not None and pending < FEW_INSTANTS

    def moved(self, bound: CalendarDeadline) -> CalendarDeadline:
        """Return to what a job is bound now whose record says ``bound``."""
        for move in self.moves:
            if move.edition > bound.edition and move.was_us == bound.due_us:
                bound = CalendarDeadline(bound.calendar, move.edition, move.due_us)
        return bound


def digest_of(body: bytes) -> str:
    """Tell a calendar's content from any other."""
    return hashlib.sha256(body).hexdigest()[:16]


def fitting(state: CalendarState, value_bytes: int) -> CalendarState:
    """Return as much of a record as a value may hold: the oldest moves go, then far instants."""
    while len(msgspec.json.encode(state)) > value_bytes and (state.moves or state.instants[1:]):
        if state.moves:
            state = msgspec.structs.replace(state, moves=state.moves[1:])
        else:
            instants = state.instants[: -max(1, len(state.instants) // 8)]
            state = msgspec.structs.replace(state, instants=instants, until_us=instants[-1])
    return state


def continued(
    former: CalendarState, instants: Iterable[int], until_us: int | None, wall_us: int
) -> CalendarState:
    """Return the record with more instants; what jobs may be bound to stays as it is.

    A later release of the zones' rules may say otherwise: then operators bring an edition,
    and every change is said.
    """
    last = former.instants[-1] if former.instants else wall_us
    kept = [us for us in former.instants if us > wall_us]
    past = former.before(wall_us)
    fresh = [us for us in instants if us > last]
    found = ([] if past is None else [past]) + kept + fresh
    return msgspec.structs.replace(former, instants=tuple(found), until_us=until_us)


def replaced(
    former: CalendarState | None,
    fresh: CalendarState,
    wall_us: int,
    error_us: int,
    *,
    rebinds: bool,
) -> CalendarState:
    """Return the record of a calendar that changed, with what it moves.

    An earlier instant binds at once, a later one only where ``rebinds`` says so. Open jobs are
    bound to the first instant after their acceptance by some clock within ``error_us`` of true
    time: so to one that is still to come and whose predecessor is past by some clock. What was
    due already stays late: no edition makes it good.
    """
    if former is None:
        return fresh
    open_now = [(was_us, wall_us) for was_us in former.left if was_us > wall_us]
    predecessor = former.before(wall_us) or 0
    for was_us in former.instants[bisect_right(former.instants, wall_us) :]:
        if predecessor > wall_us + MOST_ERRORS * error_us:
            break
        open_now.append((was_us, max(wall_us, predecessor)))
        predecessor = was_us
    moves = list(former.moves)
    left: set[int] = set()
    for was_us, since_us in open_now:
        due_us = fresh.after(since_us + error_us)
        if due_us is None or due_us == was_us or (due_us > was_us and not rebinds):
            left.add(was_us)
        else:
            moves.append(InstantMove(fresh.edition, was_us, due_us))
    return msgspec.structs.replace(
        fresh, moves=tuple(moves[-KEPT_MOVES:]), left=tuple(sorted(left))
    )
