"""Who has changed since a reader last looked. No I/O.

What a leader does again and again (placement, forecasts, ends of jobs, the machine watch) is
to cost what has changed since, not what there is: each reader has a feed of its own, into
which everything that changes is entered once, in the order of its first change.
"""

from functools import partial
from operator import attrgetter
from typing import TYPE_CHECKING, Any, Generic, Protocol, Self, TypeVar

T = TypeVar("T", bound="Observable")
V = TypeVar("V")


class Observable(Protocol):
    """Something with a name that tells of its changes."""

    #: Where it tells; None: nobody listens.
    change_feeds: "ChangeFeeds[Self] | None"
    #: Its place in the order of entry, never used again.
    serial: int


class ChangeFeeds(Generic[T]):
    """The feeds of one kind of thing."""

    __slots__ = ("_readers",)

    def __init__(self) -> None:
        self._readers: list[dict[str, T]] = []

    def subscribe(self) -> "ChangeFeed[T]":
        """Return a new reader's feed, empty."""
        changed: dict[str, T] = {}
        self._readers.append(changed)
        return ChangeFeed(self, changed)

    def close(self, changed: dict[str, T]) -> None:
        """Enter nothing more for a reader."""
        self._readers = [reader for reader in self._readers if reader is not changed]

    def publish(self, name: str, item: T) -> None:
        """Something has changed, for everyone who reads."""
        for changed in self._readers:
            changed[name] = item


class ChangeFeed(Generic[T]):
    """One reader's feed."""

    __slots__ = ("_changed", "_feeds")

    def __init__(self, feeds: ChangeFeeds[T], changed: dict[str, T]) -> None:
        self._feeds = feeds
        self._changed = changed

    def __len__(self) -> int:
        return len(self._changed)

    def take(self) -> list[T]:
        """Return what has changed since the last look, each thing once."""
        if not self._changed:
            return []
        found = list(self._changed.values())
        self._changed.clear()
        return found

    def close(self) -> None:
        """Stop reading."""
        self._feeds.close(self._changed)


class Registry(dict[str, T], Generic[T]):
    """Things by name; what enters or leaves counts as changed, and is numbered on entry."""

    def __init__(self) -> None:
        super().__init__()
        self.feeds: ChangeFeeds[T] = ChangeFeeds()
        self._serial = 0

    def __setitem__(self, name: str, item: T) -> None:
        self._serial += 1
        item.serial = self._serial
        item.change_feeds = self.feeds
        super().__setitem__(name, item)
        self.feeds.publish(name, item)

    def __delitem__(self, name: str) -> None:
        item = self[name]
        super().__delitem__(name)
        self.feeds.publish(name, item)

    def remove(self, name: str) -> T | None:
        """Take something out; None if it is not there."""
        item = super().pop(name, None)
        if item is not None:
            self.feeds.publish(name, item)
        return item


def _put(slot: str, item: Any, value: Any) -> None:
    if getattr(item, slot) != value:
        setattr(item, slot, value)
        item.notify_changed()


if TYPE_CHECKING:

    class ObservedAttribute(Generic[V]):
        """An attribute kept in a slot, which tells of its changes when it is set."""

        def __init__(self, slot: str) -> None: ...

        def __get__(self, item: Any, owner: type | None = None) -> V: ...

        def __set__(self, item: Any, value: V) -> None: ...

else:

    class ObservedAttribute(property):
        """An attribute kept in a slot; read far more often than set, so by no code of ours."""

        def __class_getitem__(cls, kind):
            return cls

        def __init__(self, slot: str) -> None:
            super().__init__(attrgetter(slot), partial(_put, slot))
