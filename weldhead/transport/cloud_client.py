"""The client of the cloud's API, limited to the cloud's request rate.

An answer that cannot be decoded counts as a failed call.
"""

import asyncio
from collections.abc import Callable

import msgspec

from weldhead.clock import SECOND_US
from weldhead.protocol import http_status
from weldhead.protocol.settings import CloudLimits
from weldhead.protocol.wire import (
    Catalog,
    ListedMachine,
    MachineList,
    MachineNames,
    MachineType,
    RentalRequest,
)
from weldhead.transport.http_client import CallError, HttpClient
from weldhead.transport.state_client import decode
from weldhead.transport.token_bucket import TokenBucket


class NoCapacityError(Exception):
    """The cloud has no machine of the requested type, zone and kind (spot or on-demand)."""


class MalformedRentalError(Exception):
    """The cloud rejected the rental request as malformed."""


class NotSentError(Exception):
    """The caller withdrew the request while it waited for the rate limit; it was not sent."""


class CloudClient:
    """Makes all calls to the cloud."""

    def __init__(self, http: HttpClient, address: str, limits: CloudLimits) -> None:
        self._http = http
        self._base = f"http://{address}"
        self._budget = TokenBucket(limits.rps * 0.9, limits.rps * 1.5, limits.rps * 0.5)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        *,
        urgent: bool = False,
        confirm_send: Callable[[], bool] | None = None,
    ) -> tuple[int, bytes]:
        await self._budget.take(urgent=urgent)
        if confirm_send is not None and not confirm_send():
            self._budget.refund(1.0)
            raise NotSentError
        return await self._http.call(method, self._base + path, body, 6 * SECOND_US)

    async def catalog(self) -> list[MachineType]:
        """Return the machine types; an empty catalog is a failed call (CallError)."""
        status, body = await self._call("GET", "/catalog", None)
        if status != http_status.OK:
            raise CallError(f"cloud: GET /catalog answered {status}")
        types = decode(body, Catalog).types
        if not types:
            raise CallError("cloud: catalog has no machine types")
        return types

    async def rent(
        self, request: RentalRequest, confirm_send: Callable[[], bool] | None = None
    ) -> list[str]:
        """Rent machines and return their names; repeating a request rents no further machines.

        ``confirm_send`` is called right before the request is sent; if it returns false, nothing
        is sent and NotSentError is raised.
        """
        status, body = await self._call(
            "POST", "/rentals", msgspec.json.encode(request), confirm_send=confirm_send
        )
        if status == http_status.UNAVAILABLE and b"no capacity" in body:
            raise NoCapacityError
        if status == http_status.BAD_REQUEST:
            raise MalformedRentalError(body[:200].decode("utf-8", "replace"))
        if status != http_status.OK:
            raise CallError(f"cloud: POST /rentals answered {status}")
        return decode(body, MachineNames).machines

    async def delete(
        self, names: list[str], confirm_send: Callable[[], bool] | None = None
    ) -> None:
        """Delete machines; on return, the machines and all processes on them have ended.

        ``confirm_send`` works as in ``rent``, before each batch of 100 machines.
        """
        for start in range(0, len(names), 100):
            body = msgspec.json.encode(MachineNames(names[start : start + 100]))
            status, _ = await self._call(
                "POST", "/rentals/delete", body, urgent=True, confirm_send=confirm_send
            )
            if status != http_status.OK:
                raise CallError(f"cloud: POST /rentals/delete answered {status}")

    async def machines(self) -> list[ListedMachine]:
        """Return the complete machine list, read page by page."""
        machines: list[ListedMachine] = []
        start = ""
        while True:
            path = "/rentals?most=500" + (f"&from={start}" if start else "")
            status, body = await self._call("GET", path, None)
            if status != http_status.OK:
                raise CallError(f"cloud: GET /rentals answered {status}")
            page = decode(body, MachineList)
            machines += page.machines
            if not page.more:
                return machines
            if not page.machines:
                raise CallError("cloud: empty page of the machine list, yet more pages follow")
            start = page.machines[-1].id
            await asyncio.sleep(0)
