"""The stored state of a calendar, and its transitions when the calendar changes. No I/O.

``d/state/calendar/NAME`` holds the coming instants. The first leader that sees the calendar
computes them, and all other controllers read them. A calendar that is the same in a later edition
of the documents keeps its state.

A calendar that changes moves the deadlines of unfinished jobs without a write per job. All
unfinished jobs of one calendar that aren't late are bound to the same one or two instants. So the
state lists the new instants for these (``moves``), and the leader and its followers derive the
deadline of a job from the job's own record and this list.
"""

import hashlib
from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from weldhead.cluster_state.records import CalendarDeadline

#: Number of coming instants that are computed and stored.
MAX_COMPUTED_INSTANTS = 48
#: More instants are computed once fewer than this number are still to come.
MIN_FUTURE_INSTANTS = 24
#: Each change of the calendar adds one or two moves.
MAX_STORED_MOVES = 64
#: Unfinished jobs may be bound to an instant whose predecessor is at most this many clock errors
#: in the future.
MAX_PREDECESSOR_CLOCK_ERRORS = 10


class InstantMove(msgspec.Struct, frozen=True, array_like=True):
    """Replaces an instant as the deadline of jobs that were accepted before an edition."""

    edition: int
    old_due_us: int
    new_due_us: int


class CalendarState(
    msgspec.Struct, omit_defaults=True, frozen=True, rename={"superseded_instants": "left"}
):
    """The instants of a calendar in ascending order (time of day, UTC, margin subtracted)."""

    #: Digest of the calendar's document.
    digest: str
    #: The first edition of the documents that has the calendar with this content.
    edition: int
    instants: tuple[int, ...]
    #: ``instants`` is complete up to this time; None: there are no later instants.
    until_us: int | None = None
    moves: tuple[InstantMove, ...] = ()
    #: Instants of earlier editions that unfinished jobs are still bound to.
    superseded_instants: tuple[int, ...] = ()
    #: Why no instants could be computed; empty: they could.
    problem: str = ""

    def first_after(self, wall_us: int) -> int | None:
        """Return the first instant after a time; None: there is none, or it is not computed."""
        index = bisect_right(self.instants, wall_us)
        return self.instants[index] if index < len(self.instants) else None

    def last_until(self, wall_us: int) -> int | None:
        """Return the last instant that is not after a time; None: the state has none."""
        index = bisect_right(self.instants, wall_us)
        return self.instants[index - 1] if index else None

    def is_running_out(self, wall_us: int) -> bool:
        """Return whether more instants have to be computed."""
        future_count = len(self.instants) - bisect_right(self.instants, wall_us)
        return self.until_us is not None and future_count < MIN_FUTURE_INSTANTS

    def apply_moves(self, deadline: CalendarDeadline) -> CalendarDeadline:
        """Return the current deadline of a job whose record has ``deadline``."""
        for move in self.moves:
            if move.edition > deadline.edition and move.old_due_us == deadline.due_us:
                deadline = CalendarDeadline(deadline.calendar, move.edition, move.new_due_us)
        return deadline


def content_digest(body: bytes) -> str:
    """Return a digest that identifies the content of a calendar's document."""
    return hashlib.sha256(body).hexdigest()[:16]


def trim_to_size(state: CalendarState, value_bytes: int) -> CalendarState:
    """Return the state cut to the size limit of a stored value.

    The oldest moves are dropped first, then the latest instants.
    """
    while len(msgspec.json.encode(state)) > value_bytes and (state.moves or state.instants[1:]):
        if state.moves:
            state = msgspec.structs.replace(state, moves=state.moves[1:])
        else:
            instants = state.instants[: -max(1, len(state.instants) // 8)]
            state = msgspec.structs.replace(state, instants=instants, until_us=instants[-1])
    return state


def extend_instants(
    state: CalendarState, instants: Iterable[int], until_us: int | None, wall_us: int
) -> CalendarState:
    """Return the state with more instants; the instants that jobs may be bound to are unchanged.

    A later release of the time zone database may define other instants. Operators then publish a
    new edition, and each change of a deadline is logged.
    """
    last_known_us = state.instants[-1] if state.instants else wall_us
    future_us = [us for us in state.instants if us > wall_us]
    last_past_us = state.last_until(wall_us)
    added_us = [us for us in instants if us > last_known_us]
    all_us = ([] if last_past_us is None else [last_past_us]) + future_us + added_us
    return msgspec.structs.replace(state, instants=tuple(all_us), until_us=until_us)


def supersede_state(
    old_state: CalendarState | None,
    new_state: CalendarState,
    wall_us: int,
    error_us: int,
    *,
    rebinds: bool,
) -> CalendarState:
    """Return the state of a changed calendar, with the moves that follow from the change.

    A deadline moves to an earlier instant at once, and to a later instant only if ``rebinds`` is
    set. A deadline that has already passed doesn't move: a late job stays late.

    ``error_us`` is the maximum error of a controller's clock. An unfinished job is bound to the
    first instant after its acceptance according to such a clock. So the job's instant is still to
    come, while the instant before it has passed according to some clock.
    """
    if old_state is None:
        return new_state
    open_instants = [
        (old_due_us, wall_us)
        for old_due_us in old_state.superseded_instants
        if old_due_us > wall_us
    ]
    predecessor_us = old_state.last_until(wall_us) or 0
    for old_due_us in old_state.instants[bisect_right(old_state.instants, wall_us) :]:
        if predecessor_us > wall_us + MAX_PREDECESSOR_CLOCK_ERRORS * error_us:
            break
        open_instants.append((old_due_us, max(wall_us, predecessor_us)))
        predecessor_us = old_due_us
    moves = list(old_state.moves)
    superseded: set[int] = set()
    for old_due_us, since_us in open_instants:
        new_due_us = new_state.first_after(since_us + error_us)
        if (
            new_due_us is None
            or new_due_us == old_due_us
            or (new_due_us > old_due_us and not rebinds)
        ):
            superseded.add(old_due_us)
        else:
            moves.append(InstantMove(new_state.edition, old_due_us, new_due_us))
    return msgspec.structs.replace(
        new_state,
        moves=tuple(moves[-MAX_STORED_MOVES:]),
        superseded_instants=tuple(sorted(superseded)),
    )
