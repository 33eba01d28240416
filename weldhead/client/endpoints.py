"""The order in which a client tries a service's addresses: failed addresses come last."""

from dataclasses import dataclass, field

from weldhead.clock import SECOND_US

_MIN_REST_US = SECOND_US
_MAX_REST_US = 30 * SECOND_US


@dataclass
class _AddressState:
    """An address with its failures in a row and the time at which its rest ends."""

    address: str
    failures: int = 0
    rest_until_us: int = 0


@dataclass
class Endpoints:
    """The addresses of one service and their recent failures.

    ``next_first`` is the index of the address that the next order starts with. The class reads
    no clock: the caller passes the time.
    """

    addresses: list[str]
    next_first: int = 0
    _states: list[_AddressState] = field(init=False)

    def __post_init__(self) -> None:
        if not self.addresses:
            raise ValueError("no server address")
        self._states = [_AddressState(address) for address in dict.fromkeys(self.addresses)]
        self.next_first %= len(self._states)

    def ordered_addresses(self, now_us: int) -> list[str]:
        """Return all addresses, those to be tried first at the front.

        The order rotates with each call. After a failure an address rests; a resting address
        comes last and is used only if no other address connects. As soon as its rest is over,
        the next request may try the address again.
        """
        rotated = self._states[self.next_first :] + self._states[: self.next_first]
        self.next_first = (self.next_first + 1) % len(self._states)
        return [
            state.address
            for state in sorted(rotated, key=lambda state: max(0, state.rest_until_us - now_us))
        ]

    def record_success(self, address: str) -> None:
        """Record that the address answered: its rest ends."""
        state = self._find(address)
        state.failures = state.rest_until_us = 0

    def record_failure(self, address: str, now_us: int) -> None:
        """Record that a request to the address failed, and let the address rest."""
        state = self._find(address)
        state.failures += 1
        state.rest_until_us = now_us + min(
            _MAX_REST_US, _MIN_REST_US << min(state.failures - 1, 10)
        )

    def _find(self, address: str) -> _AddressState:
        return next(state for state in self._states if state.address == address)
