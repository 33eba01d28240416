"""Reading and following the keys of the state service that share a prefix."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from weldhead.clock import SECOND_US, now_us
from weldhead.protocol.wire import KeyEvent
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import RevisionCompactedError, StateClient

#: How long one watch waits for a change.
WATCH_US = 10 * SECOND_US


class ChangeBatch(NamedTuple):
    """The changes that one watch has returned."""

    events: list[KeyEvent]
    #: Everything up to this revision of the store is known.
    revision: int
    #: When the watch was sent, on the steady clock.
    sent_us: int


async def read_prefix(
    state: StateClient, prefix: str
) -> tuple[dict[str, tuple[bytes, int]], int, int]:
    """Read all keys with a prefix.

    Return value and version by key, the revision from which they can be followed, and when the
    reading began (steady clock). CallError if the first page cannot be read.
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
    """Yield the changes of keys with a prefix, in order, for ever.

    ``reread`` reads all keys anew and returns their revision; it is called first where
    ``revision`` is None, and whenever the store has forgotten the changes since. A watch that
    fails ends the iteration with its CallError, or is repeated after ``on_failure``.
    """
    if revision is None:
        revision = await reread()
    while True:
        sent_us = now_us()
        try:
            changes = await state.watch(prefix, revision, WATCH_US)
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
