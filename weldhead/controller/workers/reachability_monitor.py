"""Detects, probes and replaces machines that send heartbeats but receive no commands."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from weldhead.clock import MILLISECOND_US, SECOND_US, now_us, to_seconds
from weldhead.cluster_state.machines import Machine
from weldhead.controller.term import Term
from weldhead.controller.workers.command_dispatcher import CommandDispatcher
from weldhead.controller.workers.stop_requests import release_undelivered
from weldhead.protocol.wire import Command, Heartbeat
from weldhead.reachability.evidence import DeliveryEvidence, DeliverySignal, make_sent_answer
from weldhead.reachability.freshness import Freshness, classify_freshness
from weldhead.reachability.replacement import machines_to_replace

log = logging.getLogger(__name__)

#: How often machines suspected of being unreachable are checked.
SUSPECT_CHECK_INTERVAL_US = 250 * MILLISECOND_US
#: The minimum time between two probes of the same machine.
PROBE_INTERVAL_US = 2 * SECOND_US
#: The maximum number of probes in flight, counted separately for unrecorded machines.
MAX_CONCURRENT_PROBES = 50


class ReachabilityMonitor:
    """Collects evidence on whether machines receive answers and commands, for one term.

    ``apply`` is called with each answer to a probe; ``list_silent`` returns the live machines from
    which no heartbeats arrive.
    """

    def __init__(
        self,
        term: Term,
        dispatcher: CommandDispatcher,
        apply: Callable[[Machine, Heartbeat], None],
        return_machines: Callable[[dict[str, Machine]], None],
        list_silent: Callable[[int], Iterable[Machine]],
    ) -> None:
        self._term = term
        self._dispatcher = dispatcher
        self._apply = apply
        self._return_machines = return_machines
        self._list_silent = list_silent
        self._evidence: dict[str, DeliveryEvidence] = {}
        #: Machines against which there is evidence, by name.
        self._suspects: dict[str, Machine] = {}
        self._probes_in_flight = 0
        #: Names of machines that are not on record and are being probed for their existence.
        self._unrecorded_probes: set[str] = set()

    # -- heartbeats and answers ------------------------------------------------------------------

    def freshness(self, machine: Machine, heartbeat: Heartbeat) -> Freshness:
        """Classify a heartbeat by its session, sequence and token, before it is applied."""
        return classify_freshness(machine, heartbeat, self._term.token)

    def observe_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, at_us: int, *, relayed: bool
    ) -> None:
        """Compare a heartbeat that is newer than all seen with the last answer to its machine."""
        evidence = self._evidence.get(machine.name)
        if evidence is None:
            return
        signal = evidence.observe_heartbeat(
            heartbeat, machine.newest_message[1], at_us, relayed=relayed
        )
        if signal is not DeliverySignal.NONE:
            self._add_evidence(machine, evidence, signal, at_us)

    def record_answer(
        self,
        machine: Machine,
        heartbeat: Heartbeat,
        commands: Iterable[Command],
        at_us: int,
        *,
        relayed: bool,
    ) -> None:
        """Record the commands and the token with which a heartbeat is answered."""
        answer = make_sent_answer(heartbeat, self._term.token, commands, at_us, relayed=relayed)
        evidence = self._evidence.get(machine.name)
        if evidence is None:
            self._evidence[machine.name] = DeliveryEvidence(self._term.lease_us, answer, at_us)
        else:
            evidence.last_answer = answer

    def observe_answer(self, machine: Machine) -> None:
        """Record that a machine answered a direct request, which proves that it receives."""
        evidence = self._evidence.get(machine.name)
        if evidence is not None and evidence.is_suspected:
            self._add_evidence(machine, evidence, DeliverySignal.RECEIVED, now_us())

    def observe_no_answer(self, machine: Machine) -> None:
        """Record that a machine did not answer a direct request.

        A machine whose heartbeats another controller relays is left out: it may only be
        unreachable from this controller.
        """
        evidence = self._evidence.get(machine.name)
        if evidence is None or machine.relayed or machine.name not in self._term.cluster.machines:
            return
        at_us = now_us()
        if at_us - machine.last_message_us <= self._term.silence_us:
            self._add_evidence(machine, evidence, DeliverySignal.REQUEST_UNANSWERED, at_us)

    def remove(self, machine: Machine) -> None:
        """Forget a machine that has been removed from the cluster."""
        self._evidence.pop(machine.name, None)
        self._suspects.pop(machine.name, None)

    def _add_evidence(
        self, machine: Machine, evidence: DeliveryEvidence, signal: DeliverySignal, at_us: int
    ) -> None:
        since_us = evidence.unreachable_since_us
        changed = evidence.add(signal, at_us)
        if evidence.is_suspected:
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
            self.release_undelivered_attempts(machine)
        else:
            log.info(
                "machine %s receives commands again after %.1f s",
                machine.name,
                to_seconds(at_us - since_us),
            )
        self._term.placement_wanted.set()

    def release_undelivered_attempts(self, machine: Machine) -> None:
        """Release the attempts that an unreachable machine has certainly not received."""
        count = release_undelivered(self._term.cluster, machine)
        if count:
            log.info("machine %s: %d undelivered tasks released", machine.name, count)
            if not machine.attempts:
                machine.idle_since_us = now_us()
            self._term.placement_wanted.set()

    # -- probes ----------------------------------------------------------------------------------

    async def watch_suspects(self) -> None:
        """Probe suspected machines and replace unreachable ones; runs as a background task."""
        while True:
            await asyncio.sleep(to_seconds(SUSPECT_CHECK_INTERVAL_US))
            if self._suspects and self._term.is_valid:
                at_us = now_us()
                self._probe_suspects(at_us)
                self._replace_unreachable(at_us)

    def _probe_suspects(self, at_us: int) -> None:
        for name, machine in list(self._suspects.items()):
            evidence = self._evidence[name]
            if (
                not evidence.unreachable_since_us
                and at_us - evidence.last_evidence_us > 2 * self._term.lease_us
            ):
                evidence.add(DeliverySignal.RECEIVED, at_us)
                del self._suspects[name]
                continue
            if machine.not_receiving:
                self.release_undelivered_attempts(machine)
            sends_heartbeats = at_us - machine.last_message_us <= self._term.silence_us
            if (
                sends_heartbeats
                and at_us >= evidence.next_probe_us
                and self._probes_in_flight < MAX_CONCURRENT_PROBES
                and machine.address
            ):
                evidence.next_probe_us = at_us + PROBE_INTERVAL_US
                self._probes_in_flight += 1
                self._term.background_tasks.spawn("reachability", self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        try:
            heartbeat = await self._dispatcher.probe(
                machine.name, machine.address, max(1, machine.session)
            )
        finally:
            self._probes_in_flight -= 1
        if self._term.cluster.machines.get(machine.name) is not machine:
            return
        if heartbeat is None or heartbeat.machine != machine.name:
            self.observe_no_answer(machine)
        else:
            self._apply(machine, heartbeat)

    def _replace_unreachable(self, at_us: int) -> None:
        unreachable_since_us = {
            name: self._evidence[name].unreachable_since_us
            for name, machine in self._suspects.items()
            if machine.not_receiving and not machine.deleting
        }
        if not unreachable_since_us:
            return
        # All machines on record that are not being deleted, including those not yet enrolled.
        live = [m for m in self._term.cluster.machines.values() if m.session and not m.deleting]
        replaced = machines_to_replace(
            unreachable_since_us, live, list(self._list_silent(at_us)), at_us, self._term.lease_us,
            self._term.tunables.fleet.minimum_charge_us,
        )  # fmt: skip
        for machine in replaced:
            log.info(
                "machine %s has received no command for %.0f s: a replacement costs no more",
                machine.name, to_seconds(at_us - unreachable_since_us[machine.name]),
            )  # fmt: skip
        self._return_machines({machine.name: machine for machine in replaced})

    # -- unrecorded machines ---------------------------------------------------------------------

    def probe_unrecorded(self, heartbeat: Heartbeat, adopt: Callable[[Heartbeat], None]) -> None:
        """Probe a machine that is not on record, and add it to the records only if it answers.

        Its heartbeat may be a copy from before its deletion, even from an earlier term. Added on
        that evidence, the machine would be waited for as if it were booting. A machine that exists
        and does not answer is added when the cloud lists it.
        """
        name = heartbeat.machine
        if (
            name in self._unrecorded_probes
            or len(self._unrecorded_probes) >= MAX_CONCURRENT_PROBES
            or not heartbeat.address
        ):
            return
        self._unrecorded_probes.add(name)
        self._term.background_tasks.spawn("stranger", self._probe_unrecorded(heartbeat, adopt))

    async def _probe_unrecorded(
        self, heartbeat: Heartbeat, adopt: Callable[[Heartbeat], None]
    ) -> None:
        try:
            current = await self._dispatcher.probe(
                heartbeat.machine, heartbeat.address, max(1, heartbeat.session)
            )
        finally:
            self._unrecorded_probes.discard(heartbeat.machine)
        if current is not None and current.machine == heartbeat.machine:
            adopt(current)
