"""Change feeds: which jobs or machines have changed since a reader last read its feed. No I/O.

The cost of a leader's periodic work (placement, forecasts, completing jobs, monitoring machines)
should depend on the number of changes and not on the number of items. Each reader therefore has
its own feed, which holds each changed item once, in the order of the first change.
"""

from functools import partial
from operator import attrgetter
from typing import TYPE_CHECKING, Any, Generic, Protocol, Self, TypeVar

T = TypeVar("T", bound="Observable")
V = TypeVar("V")


class Observable(Protocol):
    """An item that publishes its changes to change feeds."""

    #: The feeds that receive the changes of the item; None: there are none.
    change_feeds: "ChangeFeeds[Self] | None"
    #: The position of the item in the order of registration; numbers are never reused.
    serial: int


class ChangeFeeds(Generic[T]):
    """The change feeds of all readers of one kind of item."""

    __slots__ = ("_readers",)

    def __init__(self) -> None:
        self._readers: list[dict[str, T]] = []

    def subscribe(self) -> "ChangeFeed[T]":
        """Create an empty feed for a new reader."""
        changed: dict[str, T] = {}
        self._readers.append(changed)
        return ChangeFeed(self, changed)

    def close(self, changed: dict[str, T]) -> None:
        """Remove the feed of a reader, so that it receives no further changes."""
        self._readers = [reader for reader in self._readers if reader is not changed]

    def publish(self, name: str, item: T) -> None:
        """Add a changed item to the feed of each reader."""
        for changed in self._readers:
            changed[name] = item


class ChangeFeed(Generic[T]):
    """The change feed of one reader."""

    __slots__ = ("_changed", "_feeds")

    def __init__(self, feeds: ChangeFeeds[T], changed: dict[str, T]) -> None:
        self._feeds = feeds
        self._changed = changed

    def __len__(self) -> int:
        return len(self._changed)

    def take(self) -> list[T]:
        """Return the items that have changed since the last call, each once, and empty the feed."""
        if not self._changed:
            return []
        changed_items = list(self._changed.values())
        self._changed.clear()
        return changed_items

    def close(self) -> None:
        """Remove the feed, so that it receives no further changes."""
        self._feeds.close(self._changed)


class Registry(dict[str, T], Generic[T]):
    """Items by name, each with a serial number; adding or removing an item publishes a change."""

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
        """Remove and return an item; return None if there is no item of this name."""
        item = super().pop(name, None)
        if item is not None:
            self.feeds.publish(name, item)
        return item


def _set_and_notify(slot: str, item: Any, value: Any) -> None:
    if getattr(item, slot) != value:
        setattr(item, slot, value)
        item.notify_changed()


if TYPE_CHECKING:

    class ObservedAttribute(Generic[V]):
        """An attribute that is stored in a slot and publishes a change when its value changes."""

        def __init__(self, slot: str) -> None: ...

        def __get__(self, item: Any, owner: type | None = None) -> V: ...

        def __set__(self, item: Any, value: V) -> None: ...

else:

    class ObservedAttribute(property):
        """An attribute that is stored in a slot and publishes a change when its value changes.

        It is read far more often than set, so ``attrgetter`` reads it without running Python code.
        """

        def __class_getitem__(cls, value_type):
            return cls

        def __init__(self, slot: str) -> None:
            super().__init__(attrgetter(slot), partial(_set_and_notify, slot))
