"""Machines that speak and do not hear: evidence, questions, and what follows from it."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, to_seconds
from weldhead.cluster_state.machines import Machine
from weldhead.controller.term import Term
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.stop_requests import withdraw_unbegun
from weldhead.protocol.wire import Command, Heartbeat
from weldhead.reachability.evidence import DeliveryEvidence, DeliverySignal, sent_answer
from weldhead.reachability.freshness import Freshness, freshness_of
from weldhead.reachability.replacement import machines_to_replace

log = logging.getLogger(__name__)

#: How often the doubted machines are looked at.
LOOK_US = 250 * MILLISECOND_US
#: Between two questions to one of them.
ASK_PAUSE_US = 2 * SECOND_US
#: Questions at once at most.
ASKED_AT_ONCE = 50


class ReachabilityMonitor:
    """Weighs what machines say against what they were told; one for each term.

    ``apply`` takes what they answer to direct questions, ``silent`` names those that are silent.
    """

    def __init__(
        self,
        term: Term,
        dispatcher: CommandDispatcher,
        apply: Callable[[Machine, Heartbeat], None],
        give_back: Callable[[dict[str, Machine]], None],
        silent: Callable[[int], Iterable[Machine]],
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self._apply = apply
        self._return_machines = give_back
        self._silent = silent
        self._evidence: dict[str, DeliveryEvidence] = {}
        #: Those of which there is evidence.
        self._suspects: dict[str, Machine] = {}
        self._probes_in_flight = 0
        #: Machines on no record that are being asked whether they exist.
        self._unrecorded_probes: set[str] = set()

    # -- reports -----------------------------------------------------------------------------

    def freshness(self, machine: Machine, report: Heartbeat) -> Freshness:
        """Say what a report is worth, before it is applied."""
        return freshness_of(machine, report, self._term.token)

    def observe_heartbeat(
        self, machine: Machine, report: Heartbeat, at_us: int, *, relayed: bool
    ) -> None:
        """Hold a report that is newer than all seen against what its machine was told."""
        evidence = self._evidence.get(machine.name)
        if evidence is None:
            return
        sign = evidence.observe_heartbeat(report, machine.newest_message[1], at_us, relayed=relayed)
        if sign is not DeliverySignal.NOTHING:
            self._add_evidence(machine, evidence, sign, at_us)

    def record_answer(
        self,
        machine: Machine,
        report: Heartbeat,
        commands: Iterable[Command],
        at_us: int,
        *,
        relayed: bool,
    ) -> None:
        """Its report is answered so."""
        said = sent_answer(report, self._term.token, commands, at_us, relayed=relayed)
        evidence = self._evidence.get(machine.name)
        if evidence is None:
            self._evidence[machine.name] = DeliveryEvidence(self._term.lease_us, said, at_us)
        else:
            evidence.last_answer = said

    def observe_answer(self, machine: Machine) -> None:
        """It answered a direct request: it hears."""
        evidence = self._evidence.get(machine.name)
        if evidence is not None and evidence.suspected:
            self._add_evidence(machine, evidence, DeliverySignal.HEARD, now_us())

    def observe_no_answer(self, machine: Machine) -> None:
        """It did not answer a direct request.

        One whose reports come over another controller may only be out of our reach.
        """
        evidence = self._evidence.get(machine.name)
        if evidence is None or machine.relayed or machine.name not in self._term.cluster.machines:
            return
        at_us = now_us()
        if at_us - machine.last_message_us <= self._term.silence_us:
            self._add_evidence(machine, evidence, DeliverySignal.UNANSWERED, at_us)

    def remove(self, machine: Machine) -> None:
        """A machine is gone for good."""
        self._evidence.pop(machine.name, None)
        self._suspects.pop(machine.name, None)

    def _add_evidence(
        self, machine: Machine, evidence: DeliveryEvidence, sign: DeliverySignal, at_us: int
    ) -> None:
        since_us = evidence.unreachable_since_us
        changed = evidence.add(sign, at_us)
        if evidence.suspected:
            self._suspects[machine.name] = machine
        else:
            self._suspects.pop(machine.name, None)
        if not changed:
            return
        machine.not_receiving = evidence.unreachable_since_us > 0
        machine.notify_changed()
        if machine.not_receiving:
            log.info("machine %s does not receive commands: %s", machine.name, evidence.describe())
            evidence.next_probe_us = 0
            self.withdraw_unstarted(machine)
        else:
            log.info(
                "machine %s receives commands again after %.1f s",
                machine.name,
                to_seconds(at_us - since_us),
            )
        self._term.placement_wanted.set()

    def withdraw_unstarted(self, machine: Machine) -> None:
        """Take back what has not begun on a machine that hears nothing."""
        count = withdraw_unbegun(self._term.cluster, machine)
        if count:
            log.info("machine %s: %d unstarted tasks withdrawn", machine.name, count)
            if not machine.attempts:
                machine.idle_since_us = now_us()
            self._term.placement_wanted.set()

    # -- questions ---------------------------------------------------------------------------

    async def watch_suspects(self) -> None:
        """Ask the doubted machines, and give back those that hear nothing; a background task."""
        while True:
            await asyncio.sleep(to_seconds(LOOK_US))
            if self._suspects and self._term.is_valid:
                at_us = now_us()
                self._probe_suspects(at_us)
                self._replace_unreachable(at_us)

    def _probe_suspects(self, at_us: int) -> None:
        for name, machine in list(self._suspects.items()):
            evidence = self._evidence[name]
            if (
                not evidence.unreachable_since_us
                and at_us - evidence.evidence_us > 2 * self._term.lease_us
            ):
                evidence.add(DeliverySignal.HEARD, at_us)
                del self._suspects[name]
                continue
            if machine.not_receiving:
                self.withdraw_unstarted(machine)
            speaks = at_us - machine.last_message_us <= self._term.silence_us
            if (
                speaks
                and at_us >= evidence.next_probe_us
                and self._probes_in_flight < ASKED_AT_ONCE
                and machine.address
            ):
                evidence.next_probe_us = at_us + ASK_PAUSE_US
                self._probes_in_flight += 1
                self._term.background_tasks.spawn("reachability", self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        try:
            report = await self._dispatcher.probe(
                machine.name, machine.address, max(1, machine.session)
            )
        finally:
            self._probes_in_flight -= 1
        if self._term.cluster.machines.get(machine.name) is not machine:
            return
        if report is None or report.machine != machine.name:
            self.observe_no_answer(machine)
        else:
            self._apply(machine, report)

    def _replace_unreachable(self, at_us: int) -> None:
        deaf = {
            name: self._evidence[name].unreachable_since_us
            for name, machine in self._suspects.items()
            if machine.not_receiving and not machine.deleting
        }
        if not deaf:
            return
        # Whatever is recorded and not being returned: also those that never got as far as ``up``.
        live = [m for m in self._term.cluster.machines.values() if m.session and not m.deleting]
        found = machines_to_replace(
            deaf, live, list(self._silent(at_us)), at_us, self._term.lease_us,
            self._term.tunables.fleet.minimum_charge_us,
        )  # fmt: skip
        for machine in found:
            log.info(
                "machine %s has received no command for %.0f s: replacing it costs no more",
                machine.name, to_seconds(at_us - deaf[machine.name]),
            )  # fmt: skip
        self._return_machines({machine.name: machine for machine in found})

    # -- machines on no record ---------------------------------------------------------------

    def probe_unrecorded(self, report: Heartbeat, enter: Callable[[Heartbeat], None]) -> None:
        """Ask a machine that no record names whether it is there; only then is it entered.

        Its report may be a copy from before it was deleted, in an earlier term even: entered by
        that, it would be waited for as if it booted. One that does not answer and exists is
        entered by the cloud's list.
        """
        name = report.machine
        if (
            name in self._unrecorded_probes
            or len(self._unrecorded_probes) >= ASKED_AT_ONCE
            or not report.address
        ):
            return
        self._unrecorded_probes.add(name)
        self._term.background_tasks.spawn("stranger", self._probe_unrecorded(report, enter))

    async def _probe_unrecorded(
        self, report: Heartbeat, enter: Callable[[Heartbeat], None]
    ) -> None:
        try:
            shown = await self._dispatcher.probe(
                report.machine, report.address, max(1, report.session)
            )
        finally:
            self._unrecorded_probes.discard(report.machine)
        if shown is not None and shown.machine == report.machine:
            enter(shown)
