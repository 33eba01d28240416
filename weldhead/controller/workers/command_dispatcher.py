"""Direct commands to workers: what must not wait for a report, and recovery's questions."""

import asyncio
import logging
from collections.abc import Callable

from weldhead.clock import MILLISECOND_US, now_us, to_seconds
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.controller.term import Term
from weldhead.controller.workers.pending_commands import pending_commands
from weldhead.protocol.wire import Command, Heartbeat
from weldhead.reconciliation.command_queue import CommandQueue, queue_position
from weldhead.transport import worker_commands as workers
from weldhead.transport.http_client import CallError, NotConnectedError

log = logging.getLogger(__name__)

#: For how long a worker that is asked what it runs may be silent before others get its turn.
ASK_US = 400 * MILLISECOND_US

#: For how long a machine that is sent commands counts against the turns of others.
TURN_US = 300 * MILLISECOND_US


class CommandDispatcher:
    """Sends direct commands; ``apply`` takes what the workers answer."""

    def __init__(
        self,
        term: Term,
        apply: Callable[[Machine, Heartbeat], None],
        unanswered: Callable[[Machine], None],
    ) -> None:
        self._term = term
        self._apply = apply
        self._on_unanswered = unanswered
        self._queue = CommandQueue()
        #: Turns that have begun and count.
        self._slots: set[int] = set()
        self._count = 0
        sockets = term.settings.facts.limits.sockets
        self._max_in_flight = max(4, min(term.tunables.direct_at_once, sockets // 8))

    def _crowded(self) -> bool:
        """Whether every worker's connection to us and ours to it would be too many."""
        return 3 * len(self._term.cluster.machines) > self._term.settings.facts.limits.sockets

    async def _send(
        self, machine: Machine, session: int, commands: list[Command], timeout_us: int
    ) -> Heartbeat:
        term = self._term
        _, report = await workers.command(
            term.worker_http, machine.address, term.token, session, commands, timeout_us,
            close=self._crowded(),
        )  # fmt: skip
        return report

    def _shows_newer_token(self, name: str, report: Heartbeat) -> bool:
        if report.token <= self._term.token:
            return False
        self._term.on_leadership_lost(f"{name} has seen token {report.token}")
        return True

    async def probe(self, name: str, address: str, session: int) -> Heartbeat | None:
        """Show a worker our token and hear what it runs; None if it does not answer.

        Once its own message carries our token, it obeys no earlier leader any more.
        """
        term = self._term
        try:
            _, report = await workers.command(
                term.worker_http, address, term.token, session, [], ASK_US, close=self._crowded()
            )
        except CallError:
            return None
        return None if self._shows_newer_token(name, report) else report

    # -- commands ------------------------------------------------------------------------

    def schedule(self, machine: Machine) -> None:
        """Send what a machine has to do in its turn, unless that is under way already."""
        if not machine.reconciled or not machine.address or machine.relayed:
            return
        if machine.command_in_flight and machine.name not in self._queue:
            return
        machine.command_in_flight = True
        self._queue.put(machine.name, queue_position(self._term.cluster, machine))
        self._start_next()

    def _start_next(self) -> None:
        """Begin as many turns as there may be at once, the most urgent machines first."""
        while len(self._slots) < self._max_in_flight and (name := self._queue.pop()) is not None:
            machine = self._term.cluster.machines.get(name)
            if machine is None:
                continue
            self._count += 1
            self._slots.add(self._count)
            # Who does not answer at once keeps nobody else waiting.
            loop = asyncio.get_running_loop()
            loop.call_later(to_seconds(TURN_US), self._release_slot, self._count)
            self._term.background_tasks.spawn(
                "direct commands", self._send_commands(machine, self._count)
            )

    def _release_slot(self, turn: int) -> None:
        if turn in self._slots:
            self._slots.discard(turn)
            self._start_next()

    async def _send_commands(self, machine: Machine, slot: int) -> None:
        """Send what the machine has to do without waiting for its heartbeat."""
        try:
            while self._may_send(machine):
                commands = pending_commands(
                    machine,
                    lambda task: False,
                    may_start=machine.reconciled
                    and machine.enrolled
                    and not machine.not_receiving
                    and self._term.tunables.direct_runs,
                    sequence=None,
                )
                if not commands or not await self._send_batch(machine, commands):
                    return
        finally:
            machine.command_in_flight = False
            self._release_slot(slot)

    def _may_send(self, machine: Machine) -> bool:
        """Whether the machine is still ours and has been heard of late."""
        term = self._term
        if machine.name not in term.cluster.machines or machine.deleting or not term.is_valid:
            return False
        heard_us = max(machine.last_heartbeat_us, machine.first_probe_us)
        return now_us() - heard_us <= term.silence_us

    async def _send_batch(self, machine: Machine, commands: list[Command]) -> bool:
        """Send commands and apply the answer; whether there may be more to send."""
        term = self._term
        started = [machine.attempts[c.task] for c in commands if c.op == "run"]
        try:
            heartbeat = await self._send(machine, machine.session, commands, term.lease_us)
        except NotConnectedError:
            for attempt in started:
                attempt.sent_directly = False
            self._on_unanswered(machine)
            return False
        except CallError as error:
            self._mark_unconfirmed(started)
            log.info("direct commands unanswered: machine %s: %s", machine.name, error)
            self._on_unanswered(machine)
            return False
        # Answered: executed, or (409) surely not.
        for attempt in started:
            attempt.sent_directly = False
        if self._shows_newer_token(machine.name, heartbeat):
            return False
        self._apply(machine, heartbeat)
        return bool(started)

    def _mark_unconfirmed(self, attempts: list[Attempt]) -> None:
        """A request that carried their ``run`` may be lost, or executed late."""
        at_us = now_us()
        for attempt in attempts:
            if attempt.sent_directly:
                attempt.sent_directly = False
                self._term.cluster.mark_unconfirmed(attempt, at_us)
