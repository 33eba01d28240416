"""Keeping the leader's lease while the state service is well, slow, or silent.

An attempt that is not answered in time is not given up: the next one is sent beside it, and
whichever is answered first counts from its own sending. A service that needs a second for each
answer is as good as a fast one then; one that is silent is noticed as early as ever. Times are
microseconds of the steady clock.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from weldhead.clock import now_us, to_seconds
from weldhead.controller.leadership.leader_lease import LeaderLease, LeaseTiming
from weldhead.transport.http_client import CallError
from weldhead.transport.state_client import (
    LeaseNotFoundError,
    RateLimitedError,
    RequestRefusedError,
)

log = logging.getLogger(__name__)


class RenewalTimeoutError(CallError):
    """An attempt is not answered in time, and goes on."""


@dataclass(frozen=True)
class RenewalActions:
    """What renewals do in the term that they are of."""

    #: Whether the term goes on.
    is_leading: Callable[[], bool]
    #: Extends the lease and reads the leader's key within so many microseconds; returns whether
    #: the key was seen.
    attempt: Callable[[int], Awaitable[bool]]
    #: Asks the other controllers for promises not to lead.
    request_promises: Callable[[], Awaitable[None]]
    #: Ends the term; called with the reason.
    step_down: Callable[[str], None]
    #: Called when an answer is late.
    on_late_answer: Callable[[], None]


class LeaseRenewer:
    """The renewals of one term's lease."""

    def __init__(self, timing: LeaseTiming, lease: LeaderLease, actions: RenewalActions) -> None:
        self._timing, self._lease, self._actions = timing, lease, actions
        #: Attempts without an answer, the newest last.
        self._attempts: list[asyncio.Future[bool]] = []
        self._failing = False
        #: How long the last answer took.
        self._last_latency_us = 0

    @property
    def slow(self) -> bool:
        """Whether an attempt may still be answered, as the last one was that took so long.

        Of a service that answered at once until now, silence is silence: to wait for it used up
        the lease before another took over.
        """
        return bool(self._attempts) and self._last_latency_us > self._patience_us

    @property
    def _patience_us(self) -> int:
        """How long an answer may take before it counts as late."""
        return self._timing.renew_us * 2 // 3

    async def run(self) -> None:
        """Keep the lease; the term ends with the authority."""
        pause_us = self._timing.renew_us - self._age_us()
        try:
            while self._actions.is_leading():
                await asyncio.sleep(to_seconds(max(0, pause_us)))
                if self._actions.is_leading():
                    pause_us = await self._renew()
        finally:
            for attempt in self._attempts:
                attempt.cancel()

    def _age_us(self) -> int:
        """Return how long ago the lease began to count."""
        return max(0, self._timing.ttl_us - (self._lease.lease_valid_until_us - now_us()))

    async def _renew(self) -> int:
        """Make one more attempt; return how long to wait before the next."""
        renew_us = self._timing.renew_us
        try:
            seen = await self._answer(renew_us if self._failing else self._patience_us)
        except LeaseNotFoundError:
            # A term of its own may have begun since this was asked for the one before.
            if self._actions.is_leading():
                self._actions.step_down("the lease is gone")
            return 0
        except CallError as error:
            return await self._failed(error)
        self._failing = False
        if self._actions.is_leading() and not self._lease.valid(now_us()):
            self._actions.step_down("it could not see that its key is its own")
        least_us = renew_us // 3
        # Of a slow service the answer has used up some of the time until the next attempt.
        return max(least_us, renew_us - self._age_us()) if seen else least_us

    async def _answer(self, patience_us: int) -> bool:
        """Send an attempt; return the first answer to any, RenewalTimeoutError if none comes in
        time.
        """
        newest = asyncio.ensure_future(self._timed())
        self._attempts.append(newest)
        until_us = now_us() + patience_us
        lease_until_us = self._lease.lease_valid_until_us
        while (left_us := until_us - now_us()) > 0:
            done, _ = await asyncio.wait(
                self._attempts, timeout=to_seconds(left_us), return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in [attempt for attempt in self._attempts if attempt in done]:
                place = self._attempts.index(attempt)
                error = attempt.exception()
                if error is None:
                    # What was sent before it can show nothing more.
                    for earlier in self._attempts[:place]:
                        earlier.cancel()
                    del self._attempts[: place + 1]
                    return attempt.result()
                del self._attempts[place]
                if attempt is newest or not isinstance(error, CallError):
                    raise error
        if self._lease.lease_valid_until_us > lease_until_us:
            # Extended, and the key seen by another request.
            return False
        self._actions.on_late_answer()
        raise RenewalTimeoutError("no answer yet")

    async def _timed(self) -> bool:
        """Make an attempt, and note how long a good answer took."""
        sent_us = now_us()
        seen = await self._actions.attempt(self._timing.ttl_us)
        self._last_latency_us = now_us() - sent_us
        return seen

    async def _failed(self, error: CallError) -> int:
        """An attempt has failed; return how long to wait before the next."""
        renew_us = self._timing.renew_us
        # Said once for each trouble, not at each of its many attempts.
        log.log(logging.DEBUG if self._failing else logging.INFO, "lease not renewed: %s", error)
        lost = not self._failing and not isinstance(error, RequestRefusedError)
        self._failing = True
        left_us = self._lease.lease_valid_until_us - now_us()
        if isinstance(error, RateLimitedError) and left_us > 2 * renew_us:
            # The store is well, and the others are served: no reason to hand over.
            return renew_us // 3
        if lost:
            # One lost message is no trouble of the store's: asked again at once, while
            # the lease lasts. To hand over for it cost a term.
            return 0
        await self._actions.request_promises()
        if self._actions.is_leading() and not self._lease.valid(now_us()):
            self._actions.step_down("the lease expired")
        return renew_us // 3
