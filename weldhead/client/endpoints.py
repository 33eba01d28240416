"""Which address is tried next: the ones that answered last, then the ones long not tried."""

from dataclasses import dataclass, field

from weldhead.clock import SECOND_US

_FIRST_US = SECOND_US
_MOST_US = 30 * SECOND_US


@dataclass
class _Address:
    text: str
    failures: int = 0
    rest_until_us: int = 0


@dataclass
class Endpoints:
    """Addresses of one service, each with what is known of it (pure: given the time)."""

    addresses: list[str]
    first: int = 0
    _known: list[_Address] = field(init=False)

    def __post_init__(self) -> None:
        if not self.addresses:
            raise ValueError("no server address")
        self._known = [_Address(text) for text in dict.fromkeys(self.addresses)]
        self.first %= len(self._known)

    def order(self, now_us: int) -> list[str]:
        """Return all addresses, best first.

        An address that rests comes last: it is tried only when nothing else connects, or
        when its rest is over, and then by whoever comes first.
        """
        turned = self._known[self.first :] + self._known[: self.first]
        self.first = (self.first + 1) % len(self._known)
        return [
            one.text for one in sorted(turned, key=lambda one: max(0, one.rest_until_us - now_us))
        ]

    def reached(self, text: str) -> None:
        """The address took a connection."""
        one = self._find(text)
        one.failures = one.rest_until_us = 0

    def missed(self, text: str, now_us: int) -> None:
        """The address took none, or said nothing: it rests for a while."""
        one = self._find(text)
        one.failures += 1
        one.rest_until_us = now_us + min(_MOST_US, _FIRST_US << min(one.failures - 1, 10))

    def _find(self, text: str) -> _Address:
        return next(one for one in self._known if one.text == text)
