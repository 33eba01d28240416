"""The cloud's client, within its rate; nonsense counts as a failed call."""

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
    """None available of this type, zone and kind."""


class MalformedRentalError(Exception):
    """The cloud calls the request malformed."""


class NotSentError(Exception):
    """When its turn came, the request was not wanted any more; it was never sent."""


class CloudClient:
    """All calls to the cloud."""

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
        wanted: Callable[[], bool] | None = None,
    ) -> tuple[int, bytes]:
        await self._budget.take(urgent=urgent)
        if wanted is not None and not wanted():
            self._budget.refund(1.0)
            raise NotSentError
        return await self._http.call(method, self._base + path, body, 6 * SECOND_US)

    async def catalog(self) -> list[MachineType]:
        """Read the machine types; an empty catalog counts as nonsense."""
        status, body = await self._call("GET", "/catalog", None)
        if status != http_status.OK:
            raise CallError(f"cloud: {status}")
        types = decode(body, Catalog).types
        if not types:
            raise CallError("cloud: empty catalog")
        return types

    async def rent(
        self, request: RentalRequest, wanted: Callable[[], bool] | None = None
    ) -> list[str]:
        """Rent machines; repeating a request rents nothing more.

        ``wanted`` is asked in the moment before the request is sent; NotSentError if it says no.
        """
        status, body = await self._call(
            "POST", "/rentals", msgspec.json.encode(request), wanted=wanted
        )
        if status == http_status.UNAVAILABLE and b"no capacity" in body:
            raise NoCapacityError
        if status == http_status.BAD_REQUEST:
            raise MalformedRentalError(body[:200].decode("utf-8", "replace"))
        if status != http_status.OK:
            raise CallError(f"cloud: {status}")
        return decode(body, MachineNames).machines

    async def delete(self, names: list[str], wanted: Callable[[], bool] | None = None) -> None:
        """Delete machines; when this returns, they and all on them are gone.

        ``wanted`` as for ``rent``.
        """
        for start in range(0, len(names), 100):
            body = msgspec.json.encode(MachineNames(names[start : start + 100]))
            status, _ = await self._call(
                "POST", "/rentals/delete", body, urgent=True, wanted=wanted
            )
            if status != http_status.OK:
                raise CallError(f"cloud: {status}")

    async def machines(self) -> list[ListedMachine]:
        """Read the whole machine list."""
        machines: list[ListedMachine] = []
        start = ""
        while True:
            path = "/rentals?most=500" + (f"&from={start}" if start else "")
            status, body = await self._call("GET", path, None)
            if status != http_status.OK:
                raise CallError(f"cloud: {status}")
            page = decode(body, MachineList)
            machines += page.machines
            if not page.more:
                return machines
            if not page.machines:
                raise CallError("cloud: empty page that claims more")
            start = page.machines[-1].id
            await asyncio.sleep(0)
