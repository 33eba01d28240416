"""Reads and watches the keys of the state service that share a prefix."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from weldhead.clock import SECOND_US, now_us
from weldhead.protocol.wire import KeyEvent
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import RevisionCompactedError, StateClient

#: How long a single watch request waits for a change.
WATCH_DURATION_US = 10 * SECOND_US


class ChangeBatch(NamedTuple):
    """The changes that one watch request returned."""

    events: list[KeyEvent]
    #: All changes up to and including this revision of the store have been returned.
    revision: int
    #: When the watch request was sent, on the monotonic clock.
    sent_us: int


async def read_prefix(
    state: StateClient, prefix: str
) -> tuple[dict[str, tuple[bytes, int]], int, int]:
    """Read all keys with a prefix.

    Return the value and version by key, the revision from which a watch continues, and the
    time at which the first request was sent (monotonic clock). CallError if the first page
    cannot be read.
    """
    sent_us, revision = now_us(), 0
    entries: dict[str, tuple[bytes, int]] = {}
    async for page, revision in state.pages(prefix):  # noqa: B007
        entries.update((entry.key, (bytes(entry.value), entry.version)) for entry in page)
    return entries, revision, sent_us


async def follow_prefix(
    state: StateClient,
    prefix: str,
    revision: int | None,
    reread: Callable[[], Awaitable[int]],
    on_failure: Callable[[CallError], Awaitable[None]] | None = None,
) -> AsyncIterator[ChangeBatch]:
    """Yield the changes of keys with a prefix, in order, without end.

    ``reread`` reads all keys again and returns their revision. It is called at the start if
    ``revision`` is None, and whenever the store has compacted the changes after the last
    revision. If a watch request fails, its CallError is raised; if ``on_failure`` is given,
    ``on_failure`` is awaited instead and the request is repeated.
    """
    if revision is None:
        revision = await reread()
    while True:
        sent_us = now_us()
        try:
            changes = await state.watch(prefix, revision, WATCH_DURATION_US)
        except RevisionCompactedError:
            revision = await reread()
            continue
        except CallError as error:
            if on_failure is None:
                raise
            await on_failure(error)
            continue
        revision = max(revision, changes.revision)
        yield ChangeBatch(changes.events, revision, sent_us)
