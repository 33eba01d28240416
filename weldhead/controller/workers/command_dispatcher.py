"""Sends direct commands to workers, and the status probes that a recovering term needs."""

import asyncio
import logging
from collections.abc import Callable

from weldhead.clock import MILLISECOND_US, now_us, to_seconds
from weldhead.cluster_state.jobs import Attempt
from weldhead.cluster_state.machines import Machine
from weldhead.controller.term import Term
from weldhead.controller.workers.pending_commands import log_commands, pending_commands
from weldhead.protocol.wire import Command, Heartbeat
from weldhead.reconciliation.command_queue import CommandQueue, queue_position
from weldhead.transport import worker_commands
from weldhead.transport.http_client import CallError, NotConnectedError

log = logging.getLogger(__name__)

#: How long a status probe waits for its answer before the next worker is probed.
PROBE_TIMEOUT_US = 400 * MILLISECOND_US

#: How long a machine may occupy one of the limited slots while commands are sent to it.
SLOT_TIMEOUT_US = 300 * MILLISECOND_US


class CommandDispatcher:
    """Sends direct commands; ``apply`` is called with each worker's answer."""

    def __init__(
        self,
        term: Term,
        apply: Callable[[Machine, Heartbeat], None],
        on_unanswered: Callable[[Machine], None],
    ) -> None:
        self._term = term
        self._apply = apply
        self._on_unanswered = on_unanswered
        self._queue = CommandQueue()
        #: The numbers of the occupied slots.
        self._slots: set[int] = set()
        self._last_slot = 0
        sockets = term.settings.facts.limits.sockets
        self._max_in_flight = max(4, min(term.tunables.direct_at_once, sockets // 8))

    def _should_close_connections(self) -> bool:
        """Whether keeping connections to and from every worker would exceed the socket limit."""
        return 3 * len(self._term.cluster.machines) > self._term.settings.facts.limits.sockets

    async def _send(
        self, machine: Machine, session: int, commands: list[Command], timeout_us: int
    ) -> Heartbeat:
        term = self._term
        _, heartbeat = await worker_commands.send_commands(
            term.worker_http, machine.address, term.token, session, commands, timeout_us,
            close=self._should_close_connections(),
        )  # fmt: skip
        return heartbeat

    def _shows_newer_token(self, name: str, heartbeat: Heartbeat) -> bool:
        if heartbeat.token <= self._term.token:
            return False
        self._term.on_leadership_lost(f"{name} sent newer token {heartbeat.token}")
        return True

    async def probe(self, name: str, address: str, session: int) -> Heartbeat | None:
        """Show a worker this term's token and return the tasks it lists; None without an answer.

        Once the worker's own message carries this token, it obeys no earlier leader any more.
        """
        term = self._term
        try:
            _, heartbeat = await worker_commands.send_commands(
                term.worker_http,
                address,
                term.token,
                session,
                [],
                PROBE_TIMEOUT_US,
                close=self._should_close_connections(),
            )
        except CallError:
            return None
        return None if self._shows_newer_token(name, heartbeat) else heartbeat

    # -- commands ------------------------------------------------------------------------

    def schedule(self, machine: Machine) -> None:
        """Queue a machine for its pending commands unless a request to it is already in flight."""
        if not machine.reconciled or not machine.address or machine.relayed:
            return
        if machine.command_in_flight and machine.name not in self._queue:
            return
        machine.command_in_flight = True
        self._queue.put(machine.name, queue_position(self._term.cluster, machine))
        self._start_next()

    def _start_next(self) -> None:
        """Fill the free slots, beginning with the machines that need commands most urgently."""
        while len(self._slots) < self._max_in_flight and (name := self._queue.pop()) is not None:
            machine = self._term.cluster.machines.get(name)
            if machine is None:
                continue
            self._last_slot += 1
            self._slots.add(self._last_slot)
            # A worker that does not answer at once must not delay the commands to others.
            loop = asyncio.get_running_loop()
            loop.call_later(to_seconds(SLOT_TIMEOUT_US), self._release_slot, self._last_slot)
            self._term.background_tasks.spawn(
                "direct commands", self._send_commands(machine, self._last_slot)
            )

    def _release_slot(self, slot: int) -> None:
        if slot in self._slots:
            self._slots.discard(slot)
            self._start_next()

    async def _send_commands(self, machine: Machine, slot: int) -> None:
        """Send a machine its pending commands without waiting for its heartbeat."""
        try:
            while self._can_send(machine):
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

    def _can_send(self, machine: Machine) -> bool:
        """Whether the machine is on record, not being deleted, and was recently heard from."""
        term = self._term
        if machine.name not in term.cluster.machines or machine.deleting or not term.is_valid:
            return False
        last_heard_us = max(machine.last_heartbeat_us, machine.first_probe_us)
        return now_us() - last_heard_us <= term.silence_us

    async def _send_batch(self, machine: Machine, commands: list[Command]) -> bool:
        """Send commands and apply the answer; return whether there may be more to send."""
        term = self._term
        started = [machine.attempts[command.task] for command in commands if command.op == "run"]
        log_commands("direct request", term.token, machine.name, machine.newest_message, commands)
        try:
            heartbeat = await self._send(machine, machine.session, commands, term.lease_us)
        except NotConnectedError:
            for attempt in started:
                attempt.sent_directly = False
                machine.direct_runs.discard((attempt.task, attempt.number))
            self._on_unanswered(machine)
            return False
        except CallError as error:
            self._mark_unconfirmed(started)
            log.info("direct commands to machine %s not answered: %s", machine.name, error)
            self._on_unanswered(machine)
            return False
        # The request was answered: its commands were executed or, with status 409, rejected.
        for attempt in started:
            attempt.sent_directly = False
        if self._shows_newer_token(machine.name, heartbeat):
            return False
        self._apply(machine, heartbeat)
        return bool(started)

    def _mark_unconfirmed(self, attempts: list[Attempt]) -> None:
        """Mark attempts whose ``run`` was sent in a request that may be lost or executed late."""
        at_us = now_us()
        for attempt in attempts:
            if attempt.sent_directly:
                attempt.sent_directly = False
                self._term.cluster.mark_unconfirmed(attempt, at_us)
