"""Direct commands to workers: what must not wait for a report, and recovery's questions."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from weldhead.bookkeeping.machines import Machine
from weldhead.clock import MILLISECOND_US, now_us
from weldhead.coordination.reports import pending_commands
from weldhead.coordination.term import Term
from weldhead.protocol.wire import Command, Report
from weldhead.transport import workers
from weldhead.transport.http import CallFailed, NotConnected

log = logging.getLogger(__name__)

#: For how long a worker that is asked what it runs may be silent before others get its turn.
ASK_US = 700 * MILLISECOND_US


class Dispatcher:
    """Sends direct commands; ``apply`` takes what the workers answer."""

    def __init__(self, term: Term, apply: Callable[[Machine, Report], None]) -> None:
        self._term = term
        self._apply = apply

    def _crowded(self) -> bool:
        """Whether every worker's connection to us and ours to it would be too many."""
        return 3 * len(self._term.cluster.machines) > self._term.settings.facts.limits.sockets

    async def _send(
        self, machine: Machine, session: int, commands: list[Command], timeout_us: int
    ) -> Report:
        term = self._term
        _, report = await workers.command(
            term.worker_http, machine.address, term.token, session, commands, timeout_us,
            close=self._crowded(),
        )  # fmt: skip
        return report

    def _deposed_by(self, machine: Machine, report: Report) -> bool:
        if report.token <= self._term.token:
            return False
        self._term.on_deposed(f"{machine.name} has seen token {report.token}")
        return True

    # -- recovery ------------------------------------------------------------------------

    def ask_all(self, machines: Iterable[Machine]) -> None:
        """Ask workers what they run, a bounded number at once."""
        # Machines that are gone hold their turns until the time is over: with few turns
        # they kept live ones waiting.
        slots = asyncio.Semaphore(max(4, self._term.settings.facts.limits.sockets // 10))
        for machine in machines:
            self._term.duties.once("sync", self._sync(machine, slots))

    async def _sync(self, machine: Machine, slots: asyncio.Semaphore) -> None:
        """Show the worker our token and hear what it runs, without waiting for its report.

        Once its own message carries our token, it obeys no earlier leader any more.
        """
        term = self._term
        session = max(1, machine.session)
        while True:
            async with slots:
                # It may have reported by itself while this waited for its turn.
                if machine.synced or machine.name not in term.cluster.machines or not term.valid:
                    return
                try:
                    report = await self._send(machine, session, [], ASK_US)
                except CallFailed:
                    report = None
            if report is None:
                machine.asked_in_vain = True
                await asyncio.sleep(0.3)
                continue
            if self._deposed_by(machine, report):
                return
            session = report.session
            self._apply(machine, report)

    # -- commands ------------------------------------------------------------------------

    def post_soon(self, machine: Machine) -> None:
        """Send what a machine has to do, unless that is under way already."""
        if not machine.posting and machine.synced and machine.address and not machine.relayed:
            machine.posting = True
            self._term.duties.once("direct commands", self._post(machine))

    async def _post(self, machine: Machine) -> None:
        """Send what the machine has to do without waiting for its report."""
        term = self._term
        try:
            while machine.name in term.cluster.machines and not machine.deleting and term.valid:
                if now_us() - machine.heard_us > term.silence_us:
                    return
                commands = pending_commands(
                    machine,
                    lambda task: False,
                    may_start=term.ready
                    and machine.synced
                    and machine.up
                    and term.tunables.direct_runs,
                    sequence=None,
                )
                if not commands:
                    return
                started = [machine.attempts[c.task] for c in commands if c.op == "run"]
                try:
                    report = await self._send(machine, machine.session, commands, term.lease_us)
                except NotConnected:
                    for attempt in started:
                        attempt.posted = False
                    return
                except CallFailed as error:
                    at_us = now_us()
                    for attempt in started:
                        if attempt.posted:
                            attempt.posted = False
                            term.cluster.lose(attempt, at_us)
                    log.info("machine %s: direct commands unanswered: %s", machine.name, error)
                    return
                # Answered: executed, or (409) surely not.
                for attempt in started:
                    attempt.posted = False
                if self._deposed_by(machine, report):
                    return
                self._apply(machine, report)
                if not started:
                    return
        finally:
            machine.posting = False
