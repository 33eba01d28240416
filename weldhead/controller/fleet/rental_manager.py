"""Rentals and their records: renting, enrolling, adopting and returning machines.

A rental is recorded in the store before it is requested from the cloud, under a name that is
never used again. The request is repeated under that name until its result is known; the rental
is then settled. From then on the record holds the rental's machines. A machine is enrolled by
entering its address into the record before a task is started on the machine.
"""

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from weldhead.clock import now_us, seconds_us, wall_us
from weldhead.cluster_state.machines import Machine
from weldhead.cluster_state.records import RENTALS, RentalRecord, divide_machines
from weldhead.cluster_state.state_writer import LeadershipLostError
from weldhead.controller.fleet.machine_returner import MachineReturner
from weldhead.controller.term import Term
from weldhead.protocol.wire import Heartbeat, ListedMachine, MachineType, RentalRequest
from weldhead.scheduling.autoscaling.rental_offers import PendingRental, RentalOffer
from weldhead.transport.cloud_client import MalformedRentalError, NoCapacityError, NotSentError
from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)

#: The cloud's limits: machines in one rental, and machines on a page of the machine list.
MAX_MACHINES_PER_RENTAL = 50
MACHINES_PER_LIST_PAGE = 500


def _offer_key(record: RentalRecord) -> tuple[str, str, bool]:
    """Return the key of the offer that a rental requests: machine type, zone, and spot."""
    return record.type, record.zone, record.spot


class RentalManager:
    """Manages the rentals of a term; calls ``on_gone`` with each machine that was deleted."""

    def __init__(self, term: Term, on_gone: Callable[[Machine], None]) -> None:
        self._term = term
        self._on_gone = on_gone
        self._records: dict[str, RentalRecord] = {}
        self._rental_count = 0
        #: Names of loaded rentals with machines that another record holds as well.
        self._overlapping: set[str] = set()
        #: Names of machines whose adoption is being recorded.
        self._adopting: set[str] = set()
        self.returner = MachineReturner(term, self._remove_deleted)
        self._max_record_bytes = term.state.limits.value_bytes
        #: Names of rentals of this term that were never requested from the cloud. Only these may
        #: be dropped without a request.
        self._unsent: set[str] = set()

    # -- records ---------------------------------------------------------------------------

    def load(self, name: str, record: RentalRecord, at_us: int, wall_time_us: int) -> None:
        """Load a rental that was read from the store at the start of a term."""
        self._records[name] = record
        for machine_name, address in list(record.machines.items()):
            machine = self._term.cluster.machines.get(machine_name)
            if machine is not None:
                # The last term ended while it divided a record. One entry for the machine is
                # enough. The machine is enrolled if either record says so.
                machine.enrolled = machine.enrolled or address is not None
                machine.address = machine.address or address or ""
                self._records[machine.rental_name].machines[machine_name] = machine.address or None
                del record.machines[machine_name]
                self._overlapping.add(name)
                continue
            machine = self._add_machine(machine_name, name, at_us, wall_time_us)
            machine.enrolled = address is not None
            machine.address = address or ""
            machine.idle_since_us = at_us

    def start(self) -> None:
        """Start the background tasks, and settle the rentals of earlier leaders."""
        self._term.background_tasks.start("deletions", self.returner.delete_returned)
        self._term.background_tasks.start("machine list", self._list_machines)
        for name in list(self._records):
            # A record that could outgrow the size limit of the store is divided before it has to
            # be changed.
            if name in self._overlapping or len(self._divide_machines(name)) > 1:
                log.info("dividing record of rental %s", name)
                self._term.background_tasks.spawn("rental record", self._write_divided(name))
            if self._can_drop(name):
                # An earlier term could not delete the record for good.
                self._term.background_tasks.spawn("rental record", self._write_or_drop(name))
        self._overlapping.clear()
        for name in self._unsettled():
            self._term.background_tasks.spawn("rental", self._settle(name))

    def _divide_machines(self, name: str) -> list[dict[str, str | None]]:
        """Divide a rental's machines into parts that each fit into one record."""
        return divide_machines(self._records[name], self._max_record_bytes)

    async def _write_divided(self, name: str) -> None:
        """Write a rental's record, after moving machines that exceed its size to new records.

        Whenever the leader fails in between, each machine is in one or two records, and never
        in none: the next leader, of whichever version, waits for the tasks that may run there.
        """
        record = self._records[name]
        _, *excess_parts = self._divide_machines(name)
        new_parts: dict[str, dict[str, str | None]] = {}
        for machines in excess_parts:
            part_name = self._new_name()
            new_parts[part_name] = machines
            self._records[part_name] = RentalRecord(
                record.type, record.zone, record.spot, len(machines), record.rented_us, True,
                dict(machines),
            )  # fmt: skip
            for machine_name in machines:
                self._term.cluster.machines[machine_name].rental_name = part_name
        try:
            for part_name in new_parts:
                await self._write(part_name, urgent=True)
            for machines in new_parts.values():
                for machine_name in machines:
                    record.machines.pop(machine_name, None)
            await self._write(name, urgent=True)
        except LeadershipLostError:
            return
        for written_name in (*new_parts, name):
            self._drop_if_empty(written_name)

    def _unsettled(self) -> list[str]:
        """Return the names of the rentals whose results are not known yet."""
        return [name for name, record in self._records.items() if not record.settled]

    def pending(self) -> list[PendingRental]:
        """Return the rentals whose results are not known yet, with their machine types."""
        pending = []
        for name in self._unsettled():
            record = self._records[name]
            machine_type = self._term.types.get(record.type)
            if machine_type is not None:
                pending.append(PendingRental(machine_type, record.count, record.zone, record.spot))
        return pending

    def _add_machine(self, name: str, rental_name: str, at_us: int, wall_time_us: int) -> Machine:
        """Add a machine of a rental to the cluster."""
        record = self._records[rental_name]
        machine_type = self._term.types.get(record.type)
        if machine_type is None:
            # The type is no longer in the catalog. A machine without resources is monitored, but
            # no task is placed on it.
            machine_type = MachineType(record.type, 0, 0, 0, 0, 0, 0, 0, 60.0, ())
        rented_us = at_us - max(0, wall_time_us - record.rented_us)
        machine = Machine(name, machine_type, record.zone, record.spot, rented_us)
        machine.rental_name = rental_name
        self._term.cluster.machines[name] = machine
        return machine

    async def _write(self, name: str, *, urgent: bool = False) -> None:
        """Commit a rental's record as it is when the write is executed; delete an unneeded one."""
        build = partial(self._current_record, name)
        await self._term.state_writer.write_latest(RENTALS + name, build, urgent=urgent)

    def _current_record(self, name: str) -> RentalRecord | None:
        """Return a copy of a rental's record, or None if the record is to be deleted.

        An empty record whose creation is unconfirmed is kept. If such a record was deleted, the
        late creation restored it, and its machines were rented a second time.
        """
        record = self._records.get(name)
        if record is None or self._can_drop(name):
            return None
        return RentalRecord(
            record.type, record.zone, record.spot, record.count, record.rented_us,
            record.settled, dict(record.machines),
        )  # fmt: skip

    async def enroll(self, machine: Machine) -> None:
        """Record that tasks may run on a machine, before a task is started on it."""
        try:
            record = self._records[machine.rental_name]
            if machine.name in record.machines:
                record.machines[machine.name] = machine.address
                await self._write(machine.rental_name, urgent=True)
                machine.enrolled = True
                self._term.placement_wanted.set()
        except LeadershipLostError:
            pass
        finally:
            machine.enrollment_pending = False

    # -- renting -------------------------------------------------------------------------

    def rent(self, offer: RentalOffer, count: int) -> None:
        """Rent machines, with as many requests as the cloud's limit makes necessary."""
        while count > 0:
            request_count = min(count, MAX_MACHINES_PER_RENTAL)
            count -= request_count
            name = self._new_name()
            self._records[name] = RentalRecord(
                offer.type.name, offer.zone, offer.spot, request_count, wall_us()
            )
            self._unsent.add(name)
            self._term.background_tasks.spawn("rental", self._record_and_settle(name))

    def _new_name(self) -> str:
        """Return a name that no rental ever had, as it contains the term's unique fencing token."""
        self._rental_count += 1
        return f"{self._term.settings.name}-{self._term.token}-{self._rental_count}"

    @property
    def is_busy(self) -> bool:
        """Whether so many rentals are unsettled that further ones would only wait for the cloud."""
        return len(self._unsettled()) > max(2, self._term.settings.facts.cloud.rps * 2)

    async def _record_and_settle(self, name: str) -> None:
        """Record a rental, then request its machines."""
        try:
            await self._write(name, urgent=True)
        except LeadershipLostError:
            return
        await self._settle(name)

    async def _settle(self, name: str) -> None:
        """Request a rental until its result is known, and record its machines."""
        term = self._term
        record = self._records[name]
        names: list[str] | None = None
        while names is None:
            names = await self._request(name, record)
        at_us = now_us()
        if name in self._unsent:
            self._unsent.discard(name)
        elif len(names) < record.count:
            backoff_us = term.tunables.fleet.refusal_backoff_us
            term.rental_offers.refused_until_us[_offer_key(record)] = at_us + backoff_us
        new_machine_names = [
            n for n in names if n not in term.cluster.machines and n not in self._adopting
        ]
        record.settled = True
        record.machines = dict.fromkeys(new_machine_names)
        # The machines are known from here on. They are in the store before a task is started on
        # them: each is enrolled in the store first, and that write is made after this one.
        for machine_name in new_machine_names:
            self._add_machine(machine_name, name, at_us, wall_us())
        await self._write_divided(name)

    async def _request(self, name: str, record: RentalRecord) -> list[str] | None:
        """Request a rental once; return its machines' names, or None if the result is unknown."""
        offer = _offer_key(record)
        if not self._term.is_valid:
            await asyncio.sleep(0.1)
            return None
        if not self._should_request(name):
            # The cloud has refused another request for the same offer in the meantime. This
            # request would only use up rate that available types need.
            log.debug("rental not requested after a refusal: %s in %s (spot: %s)", *offer)
            return []
        request = RentalRequest(name, record.type, record.zone, record.spot, record.count)
        try:
            names = await self._term.cloud.rent(request, partial(self._confirm_send, name))
        except NotSentError:
            return None
        except NoCapacityError:
            log.info("rental refused for lack of capacity: %s in %s (spot: %s)", *offer)
            return []
        except MalformedRentalError:
            log.exception("rental refused as malformed: %s in %s (spot: %s)", *offer)
            return []
        except CallError as error:
            log.info("rental request %s failed and will be repeated: %s", name, error)
            await asyncio.sleep(0.5)
            return None
        log.info("rented %s in %s (spot: %s): %s", *offer, ", ".join(names))
        return names

    def _should_request(self, name: str) -> bool:
        """Whether to request a rental; always true for one that may have been sent before."""
        if name not in self._unsent:
            return True
        record = self._records[name]
        refused_until_us = self._term.rental_offers.refused_until_us
        return refused_until_us.get(_offer_key(record), 0) <= now_us()

    def _confirm_send(self, name: str) -> bool:
        """Decide right before sending a request whether to send it; then it counts as sent.

        After a pause of this process, a new leader may have replaced it and settled the rental
        with another result.
        """
        is_confirmed = self._term.is_valid and self._should_request(name)
        if is_confirmed:
            self._unsent.discard(name)
        return is_confirmed

    async def _write_or_drop(self, name: str) -> None:
        """Write a rental's record, or delete it if it is not needed any more."""
        try:
            await self._write(name)
        except LeadershipLostError:
            return
        self._drop_if_empty(name)

    def _can_drop(self, name: str) -> bool:
        """Whether a rental's record is settled and empty, and can be deleted for good."""
        record = self._records.get(name)
        is_empty = record is not None and record.settled and not record.machines
        return is_empty and not self._term.state_writer.is_creation_unconfirmed(RENTALS + name)

    def _drop_if_empty(self, name: str) -> None:
        """Forget a rental whose record can be deleted for good."""
        if self._can_drop(name):
            del self._records[name]

    # -- unexpected machines ---------------------------------------------------------------

    def adopt_unexpected(self, heartbeat: Heartbeat) -> None:
        """Record an existing machine that is in no rental record, to be used or returned."""
        if self.is_unexpected(heartbeat):
            record = RentalRecord(heartbeat.type, heartbeat.zone, heartbeat.spot, 1, wall_us())
            self._start_adoption(heartbeat.machine, record)

    def is_unexpected(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is from a machine that no record and no unsettled rental explains."""
        name = heartbeat.machine
        if (
            name in self._adopting
            or name in self.returner.returned_names
            or name in self._term.cluster.machines
        ):
            return False
        # A machine can be up before the answer to its rental request arrives; it is recorded then.
        return not self._matches_unsettled_rental(heartbeat.type, heartbeat.zone, heartbeat.spot)

    def _matches_unsettled_rental(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether an unsettled rental requests machines of this type, zone and kind."""
        offer = (type_name, zone, spot)
        return any(_offer_key(r) == offer for r in self._records.values() if not r.settled)

    def _start_adoption(self, name: str, record: RentalRecord) -> None:
        """Adopt a machine in the background."""
        self._adopting.add(name)
        self._term.background_tasks.spawn("adoption", self._adopt(name, record))

    async def _adopt(self, name: str, record: RentalRecord) -> None:
        """Record an unexpected machine as a rental of its own, and add it to the cluster."""
        rental_name = self._new_name()
        record.settled = True
        record.machines = {name: None}
        self._records[rental_name] = record
        try:
            await self._write(rental_name)
            self._add_machine(name, rental_name, now_us(), wall_us())
            log.info("adopted unexpected machine %s", name)
        except LeadershipLostError:
            pass
        finally:
            self._adopting.discard(name)

    # -- returning -------------------------------------------------------------------------

    def return_machines(self, machines: dict[str, Machine]) -> None:
        """Start the deletion of machines; their tasks count as running until the cloud answers."""
        self.returner.return_machines(machines)

    def _remove_deleted(self, machines: list[Machine]) -> None:
        """Remove machines whose deletion the cloud has confirmed, also from their records."""
        changed_rentals = set()
        for machine in machines:
            self._on_gone(machine)
            # The capacity is free again, so an earlier refusal no longer applies.
            offer = (machine.type.name, machine.zone, machine.spot)
            self._term.rental_offers.refused_until_us.pop(offer, None)
            record = self._records.get(machine.rental_name)
            if record is not None and machine.name in record.machines:
                del record.machines[machine.name]
                changed_rentals.add(machine.rental_name)
        for rental_name in changed_rentals:
            self._term.background_tasks.spawn("rental record", self._write_or_drop(rental_name))

    # -- the cloud's machine list ----------------------------------------------------------

    async def _list_machines(self) -> None:
        """Compare the cloud's machine list with the rental records periodically."""
        term = self._term
        lag_s = term.settings.facts.cloud.list_lag_s
        while True:
            # Each page is a call, and the cloud limits the rate of calls.
            pages = 1 + len(term.cluster.machines) // MACHINES_PER_LIST_PAGE
            await asyncio.sleep(max(2.0, lag_s * pages / 2))
            if term.is_valid:
                self._reconcile_list(await term.cloud.machines(), now_us())

    def _reconcile_list(self, listed: list[ListedMachine], at_us: int) -> None:
        """Adopt listed machines that are in no record; return failed and vanished machines."""
        gone_machines: dict[str, Machine] = {}
        machines = self._term.cluster.machines
        lag_s = self._term.settings.facts.cloud.list_lag_s
        for item in listed:
            machine = machines.get(item.id)
            if machine is not None:
                machine.in_cloud_list = True
                if item.state == "failed" and not machine.deleting:
                    gone_machines[machine.name] = machine
            elif item.id in self.returner.returned_names or item.id in self._adopting:
                continue
            elif item.age_s > 4 * lag_s and not self._matches_unsettled_rental(
                item.type, item.zone, item.spot
            ):
                # Deleted machines stay listed for a while, and new machines may be about to be
                # recorded. Only machines older than several times the list's lag are adopted.
                rented_wall_us = wall_us() - seconds_us(item.age_s)
                self._start_adoption(
                    item.id, RentalRecord(item.type, item.zone, item.spot, 1, rented_wall_us)
                )
        listed_names = {item.id for item in listed}
        for machine in machines.values():
            # A machine that was listed and is not any more has been reclaimed by the cloud.
            if machine.in_cloud_list and machine.name not in listed_names and not machine.deleting:
                if (
                    at_us - max(machine.last_heartbeat_us, machine.rented_us)
                    > self._term.silence_us
                ):
                    gone_machines[machine.name] = machine
        if gone_machines:
            log.info(
                "returning %d machines that failed or vanished by the cloud's machine list",
                len(gone_machines),
            )
        self.return_machines(gone_machines)
