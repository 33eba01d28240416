"""Renews the leader's lease while the state service is healthy, slow, or silent.

A renewal attempt that is not answered in time is not cancelled. The next attempt is sent in
parallel, and whichever is answered first extends the lease from the time at which it was sent. A
state service that needs a second for each answer therefore keeps the lease as well as a fast one
does, while a silent one is detected as early as before. Times are microseconds of the steady
clock.
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
    """No renewal attempt was answered in time; the attempts are still running."""


@dataclass(frozen=True)
class RenewalActions:
    """The operations of the leader's term that renewing its lease needs."""

    #: Returns whether the term is still running.
    is_leading: Callable[[], bool]
    #: Extends the lease and reads the leader's key, within a timeout in microseconds; returns
    #: whether the key was read.
    extend_and_read_key: Callable[[int], Awaitable[bool]]
    #: Requests promises not to lead from the other controllers.
    request_promises: Callable[[], Awaitable[None]]
    #: Ends the term, for a reason given as text.
    step_down: Callable[[str], None]
    #: Called when no attempt is answered in time.
    on_late_answer: Callable[[], None]


class LeaseRenewer:
    """Renews the lease of one term until the term ends."""

    def __init__(self, timing: LeaseTiming, lease: LeaderLease, actions: RenewalActions) -> None:
        self._timing, self._lease, self._actions = timing, lease, actions
        #: The unanswered attempts, the newest last.
        self._attempts: list[asyncio.Future[bool]] = []
        self._failing = False
        #: How long the last successful attempt took.
        self._last_latency_us = 0

    @property
    def is_service_slow(self) -> bool:
        """Whether an unanswered attempt may still succeed, because the last success was slow too.

        If the service answered promptly until now, missing answers count as silence. Waiting for
        them would use up the lease before another controller takes over.
        """
        return bool(self._attempts) and self._last_latency_us > self._answer_timeout_us

    @property
    def _answer_timeout_us(self) -> int:
        """How long an answer may take before it counts as late."""
        return self._timing.renewal_interval_us * 2 // 3

    async def run(self) -> None:
        """Renew the lease until the term ends; step down once this node may no longer command."""
        pause_us = self._timing.renewal_interval_us - self._lease_age_us()
        try:
            while self._actions.is_leading():
                await asyncio.sleep(to_seconds(max(0, pause_us)))
                if self._actions.is_leading():
                    pause_us = await self._renew()
        finally:
            for attempt in self._attempts:
                attempt.cancel()

    def _lease_age_us(self) -> int:
        """Return how long ago the current period of the lease began."""
        return max(0, self._timing.ttl_us - (self._lease.lease_valid_until_us - now_us()))

    async def _renew(self) -> int:
        """Make one more attempt; return how long to wait before the next one."""
        interval_us = self._timing.renewal_interval_us
        try:
            key_read = await self._wait_for_first_answer(
                interval_us if self._failing else self._answer_timeout_us
            )
        except LeaseNotFoundError:
            # The answer may concern a term that has ended while this node began another one.
            if self._actions.is_leading():
                self._actions.step_down("the state service no longer has its lease")
            return 0
        except CallError as error:
            return await self._handle_failure(error)
        self._failing = False
        if self._actions.is_leading() and not self._lease.is_valid(now_us()):
            self._actions.step_down("it could not verify in time that the leader's key is its own")
        min_pause_us = interval_us // 3
        # A slow answer has already used up part of the interval before the next attempt.
        return max(min_pause_us, interval_us - self._lease_age_us()) if key_read else min_pause_us

    async def _wait_for_first_answer(self, timeout_us: int) -> bool:
        """Send an attempt and return the first answer to any attempt: whether the key was read.

        Raises RenewalTimeoutError if no attempt is answered within ``timeout_us``.
        """
        newest = asyncio.ensure_future(self._attempt_renewal())
        self._attempts.append(newest)
        deadline_us = now_us() + timeout_us
        old_valid_until_us = self._lease.lease_valid_until_us
        while (remaining_us := deadline_us - now_us()) > 0:
            done, _ = await asyncio.wait(
                self._attempts,
                timeout=to_seconds(remaining_us),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt in [attempt for attempt in self._attempts if attempt in done]:
                index = self._attempts.index(attempt)
                error = attempt.exception()
                if error is None:
                    # Attempts that were sent earlier cannot extend the lease any further.
                    for earlier in self._attempts[:index]:
                        earlier.cancel()
                    del self._attempts[: index + 1]
                    return attempt.result()
                del self._attempts[index]
                if attempt is newest or not isinstance(error, CallError):
                    raise error
        if self._lease.lease_valid_until_us > old_valid_until_us:
            # The lease was extended by an attempt whose reading of the key is unanswered; another
            # request has shown the key.
            return False
        self._actions.on_late_answer()
        raise RenewalTimeoutError("no answer from the state service in time")

    async def _attempt_renewal(self) -> bool:
        """Make one attempt and record its latency; return whether the key was read."""
        sent_us = now_us()
        key_read = await self._actions.extend_and_read_key(self._timing.ttl_us)
        self._last_latency_us = now_us() - sent_us
        return key_read

    async def _handle_failure(self, error: CallError) -> int:
        """Respond to a failed attempt; return how long to wait before the next one."""
        interval_us = self._timing.renewal_interval_us
        # Only the first of several failures in a row is logged at INFO.
        log.log(logging.DEBUG if self._failing else logging.INFO, "lease not renewed: %s", error)
        retry_at_once = not self._failing and not isinstance(error, RequestRefusedError)
        self._failing = True
        remaining_us = self._lease.lease_valid_until_us - now_us()
        if isinstance(error, RateLimitedError) and remaining_us > 2 * interval_us:
            # The state service works and serves the other controllers: no reason to step down.
            return interval_us // 3
        if retry_at_once:
            # A single lost message does not mean that the state service has failed. The attempt
            # is repeated at once while the lease lasts; stepping down for it cost a term.
            return 0
        await self._actions.request_promises()
        if self._actions.is_leading() and not self._lease.is_valid(now_us()):
            self._actions.step_down("the lease expired")
        return interval_us // 3
