"""Machines of ours: renting, entering, marking, adopting and returning them.

A rental is recorded before it is asked for, under a name that is never used again, and
asked for under that name until it is known what came of it. Its record then holds its
machines; each is marked there with its address before anything is started on it.
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

#: The cloud's own limits: machines in one rental, machines on a page.
MOST_RENTED = 50
PAGE = 500


def _offer_key(record: RentalRecord) -> tuple[str, str, bool]:
    """Return what the cloud may refuse: type, zone and whether spot."""
    return record.type, record.zone, record.spot


class RentalManager:
    """The term's rentals; ``gone`` is told of machines that are gone for good."""

    def __init__(self, term: Term, gone: Callable[[Machine], None]) -> None:
        self._term = term
        self._on_gone = gone
        self._records: dict[str, RentalRecord] = {}
        self._count = 0
        #: Read with machines that another record holds as well.
        self._duplicated: set[str] = set()
        self._adopting: set[str] = set()
        self.returner = MachineReturner(term, self._deleted)
        self._limit = term.state.limits.value_bytes
        #: Rentals of this term that were never sent to the cloud: only those can be dropped.
        self._unsent: set[str] = set()

    # -- the books -----------------------------------------------------------------------

    def load(self, name: str, record: RentalRecord, at_us: int, wall: int) -> None:
        """Take up a rental read from the store, at the start of a term."""
        self._records[name] = record
        for machine_name, address in list(record.machines.items()):
            known = self._term.cluster.machines.get(machine_name)
            if known is not None:
                # Its record was being divided when the last term ended: one entry is enough,
                # and what either says may run there may run there.
                known.enrolled = known.enrolled or address is not None
                known.address = known.address or address or ""
                self._records[known.rental_name].machines[machine_name] = known.address or None
                del record.machines[machine_name]
                self._duplicated.add(name)
                continue
            machine = self._add_machine(machine_name, name, at_us, wall)
            machine.enrolled = address is not None
            machine.address = address or ""
            machine.idle_since_us = at_us

    def start(self) -> None:
        """Begin the background tasks, and find out what became of an earlier leader's rentals."""
        self._term.background_tasks.start("deletions", self.returner.delete_returned)
        self._term.background_tasks.start("machine list", self._list_machines)
        for name in list(self._records):
            # Larger than a value may become: divided before anything has to be changed in it.
            if name in self._duplicated or len(self._parts(name)) > 1:
                log.info("rental %s: dividing its record", name)
                self._term.background_tasks.spawn("rental record", self._write_divided(name))
            if self._is_dropped(name):
                # An earlier term could not delete it for good.
                self._term.background_tasks.spawn("rental record", self._write_or_drop(name))
        self._duplicated.clear()
        for name in self._unsettled():
            self._term.background_tasks.spawn("rental", self._settle(name))

    def _parts(self, name: str) -> list[dict[str, str | None]]:
        """Divide a rental's machines so that a value holds each part."""
        return divide_machines(self._records[name], self._limit)

    async def _write_divided(self, name: str) -> None:
        """Write a rental's record; machines for which it has no room go to new ones first.

        Whenever the leader ends in between, each machine is in one record or in two, and in
        none never: the next leader, of whichever version, waits for what may run there.
        """
        record = self._records[name]
        _, *rest = self._parts(name)
        parts: dict[str, dict[str, str | None]] = {}
        for machines in rest:
            part = self._new_name()
            parts[part] = machines
            self._records[part] = RentalRecord(
                record.type, record.zone, record.spot, len(machines), record.rented_us, True,
                dict(machines),
            )  # fmt: skip
            for machine_name in machines:
                self._term.cluster.machines[machine_name].rental_name = part
        try:
            for part in parts:
                await self._write(part, urgent=True)
            for machines in parts.values():
                for machine_name in machines:
                    record.machines.pop(machine_name, None)
            await self._write(name, urgent=True)
        except LeadershipLostError:
            return
        for written in (*parts, name):
            self._drop_if_empty(written)

    def _unsettled(self) -> list[str]:
        """Return the rentals of which it is not known what came of them."""
        return [name for name, record in self._records.items() if not record.settled]

    def pending(self) -> list[PendingRental]:
        """Return what is being rented and not entered yet."""
        found = []
        for name in self._unsettled():
            record = self._records[name]
            known = self._term.types.get(record.type)
            if known is not None:
                found.append(PendingRental(known, record.count, record.zone))
        return found

    def _add_machine(self, name: str, rental: str, at_us: int, wall: int) -> Machine:
        record = self._records[rental]
        known = self._term.types.get(record.type)
        if known is None:
            # A type that left the catalog: nothing is placed there, but it is watched.
            known = MachineType(record.type, 0, 0, 0, 0, 0, 0, 0, 60.0, ())
        hired_us = at_us - max(0, wall - record.rented_us)
        machine = Machine(name, known, record.zone, record.spot, hired_us)
        machine.rental_name = rental
        self._term.cluster.machines[name] = machine
        return machine

    async def _write(self, name: str, *, urgent: bool = False) -> None:
        """Commit a rental's record as it is when its turn comes; drop it once it is empty."""
        build = partial(self._value, name)
        await self._term.state_writer.write_latest(RENTALS + name, build, urgent=urgent)

    def _value(self, name: str) -> RentalRecord | None:
        """Return a rental's record as it is now; None once it holds nothing more.

        Whose creation may be under way stays, empty: it came back, and was rented once more.
        """
        record = self._records.get(name)
        if record is None or self._is_dropped(name):
            return None
        return RentalRecord(
            record.type, record.zone, record.spot, record.count, record.rented_us,
            record.settled, dict(record.machines),
        )  # fmt: skip

    async def enroll(self, machine: Machine) -> None:
        """Record that something may run on a machine, before anything is started there."""
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
        """Rent machines, in as many requests as it takes."""
        while count > 0:
            part = min(count, MOST_RENTED)
            count -= part
            name = self._new_name()
            self._records[name] = RentalRecord(
                offer.type.name, offer.zone, offer.spot, part, wall_us()
            )
            self._unsent.add(name)
            self._term.background_tasks.spawn("rental", self._record_and_settle(name))

    def _new_name(self) -> str:
        """Return a name that no rental ever had: tokens are unique."""
        self._count += 1
        return f"{self._term.settings.name}-{self._term.token}-{self._count}"

    @property
    def busy(self) -> bool:
        """Whether so many requests are under way that more would only wait for the cloud."""
        return len(self._unsettled()) > max(2, self._term.settings.facts.cloud.rps * 2)

    async def _record_and_settle(self, name: str) -> None:
        """Record a rental's name, then ask for it."""
        try:
            await self._write(name, urgent=True)
        except LeadershipLostError:
            return
        await self._settle(name)

    async def _settle(self, name: str) -> None:
        """Ask for a rental until it is known what came of it, and enter its machines."""
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
        fresh = [n for n in names if n not in term.cluster.machines and n not in self._adopting]
        record.settled = True
        record.machines = dict.fromkeys(fresh)
        # Known from here on, and in the store before anything is started on them: a machine
        # is enrolled there first, and these writes are made in this order.
        for machine_name in fresh:
            self._add_machine(machine_name, name, at_us, wall_us())
        await self._write_divided(name)

    async def _request(self, name: str, record: RentalRecord) -> list[str] | None:
        """Ask the cloud once; return the machines that came of it, None if that is not known."""
        offer = _offer_key(record)
        if not self._term.valid:
            await asyncio.sleep(0.1)
            return None
        if not self._wanted(name):
            # Another part of the same order was refused meanwhile: asking for this one as well
            # would keep the few calls from types that are to be had.
            log.debug("rental not asked for: %s in %s (spot: %s)", *offer)
            return []
        request = RentalRequest(name, record.type, record.zone, record.spot, record.count)
        try:
            names = await self._term.cloud.rent(request, partial(self._send, name))
        except NotSentError:
            return None
        except NoCapacityError:
            log.info("rental refused, no capacity: %s in %s (spot: %s)", *offer)
            return []
        except MalformedRentalError:
            log.exception("rental refused as malformed: %s in %s (spot: %s)", *offer)
            return []
        except CallError as error:
            log.info("rental unanswered: %s", error)
            await asyncio.sleep(0.5)
            return None
        log.info("rented %s in %s (spot: %s): %s", *offer, ", ".join(names))
        return names

    def _wanted(self, name: str) -> bool:
        """Whether a rental is to be asked for: what may have been sent must be settled."""
        if name not in self._unsent:
            return True
        record = self._records[name]
        refused_until_us = self._term.rental_offers.refused_until_us
        return refused_until_us.get(_offer_key(record), 0) <= now_us()

    def _send(self, name: str) -> bool:
        """The cloud's turn has come: from here on the rental may have been asked for.

        A process that stood still may have been replaced since it last looked, and its
        successor have settled the rental otherwise.
        """
        wanted = self._term.valid and self._wanted(name)
        if wanted:
            self._unsent.discard(name)
        return wanted

    async def _write_or_drop(self, name: str) -> None:
        try:
            await self._write(name)
        except LeadershipLostError:
            return
        self._drop_if_empty(name)

    def _is_dropped(self, name: str) -> bool:
        """Whether a rental's record holds nothing more, and can be deleted for good."""
        record = self._records.get(name)
        empty = record is not None and record.settled and not record.machines
        return empty and not self._term.state_writer.is_creation_unconfirmed(RENTALS + name)

    def _drop_if_empty(self, name: str) -> None:
        if self._is_dropped(name):
            del self._records[name]

    # -- machines that nobody expected -----------------------------------------------------

    def adopt_unexpected(self, report: Heartbeat) -> None:
        """A machine that is not in the books and surely is: enter it, then use or return it."""
        if self.is_unexpected(report):
            record = RentalRecord(report.type, report.zone, report.spot, 1, wall_us())
            self._adopt_soon(report.machine, record)

    def is_unexpected(self, report: Heartbeat) -> bool:
        """Whether a machine that says it reports is one that nobody expects."""
        name = report.machine
        if (
            name in self._adopting
            or name in self.returner.returned
            or name in self._term.cluster.machines
        ):
            return False
        # Up before the answer to its rental: it will be entered in a moment.
        return not self._may_be_ours(report.type, report.zone, report.spot)

    def _may_be_ours(self, type_name: str, zone: str, spot: bool) -> bool:
        """Whether a rental is open that such a machine could have come of."""
        offer = (type_name, zone, spot)
        return any(_offer_key(r) == offer for r in self._records.values() if not r.settled)

    def _adopt_soon(self, name: str, record: RentalRecord) -> None:
        self._adopting.add(name)
        self._term.background_tasks.spawn("adoption", self._adopt(name, record))

    async def _adopt(self, name: str, record: RentalRecord) -> None:
        rental = self._new_name()
        record.settled = True
        record.machines = {name: None}
        self._records[rental] = record
        try:
            await self._write(rental)
            self._add_machine(name, rental, now_us(), wall_us())
            log.info("unexpected machine %s adopted", name)
        except LeadershipLostError:
            pass
        finally:
            self._adopting.discard(name)

    # -- returning -------------------------------------------------------------------------

    def return_machines(self, machines: dict[str, Machine]) -> None:
        """Return machines; what runs there counts until the deletion is answered."""
        self.returner.return_machines(machines)

    def _deleted(self, machines: list[Machine]) -> None:
        """Answered, so the machines and everything on them are gone."""
        rentals = set()
        for machine in machines:
            self._on_gone(machine)
            # Its place is free again: a refusal from before says nothing any more.
            offer = (machine.type.name, machine.zone, machine.spot)
            self._term.rental_offers.refused_until_us.pop(offer, None)
            record = self._records.get(machine.rental_name)
            if record is not None and machine.name in record.machines:
                del record.machines[machine.name]
                rentals.add(machine.rental_name)
        for rental in rentals:
            self._term.background_tasks.spawn("rental record", self._write_or_drop(rental))

    # -- the cloud's list ------------------------------------------------------------------

    async def _list_machines(self) -> None:
        """Compare the cloud's list with the books."""
        term = self._term
        lag_s = term.settings.facts.cloud.list_lag_s
        while True:
            # Each page is a call, and calls are few.
            pages = 1 + len(term.cluster.machines) // PAGE
            await asyncio.sleep(max(2.0, lag_s * pages / 2))
            if term.valid:
                self._compare(await term.cloud.machines(), now_us())

    def _compare(self, listed: list[ListedMachine], at_us: int) -> None:
        doomed: dict[str, Machine] = {}
        machines = self._term.cluster.machines
        lag_s = self._term.settings.facts.cloud.list_lag_s
        for item in listed:
            machine = machines.get(item.id)
            if machine is not None:
                machine.in_cloud_list = True
                if item.state == "failed" and not machine.deleting:
                    doomed[machine.name] = machine
            elif item.id in self.returner.returned or item.id in self._adopting:
                continue
            elif item.age_s > 4 * lag_s and not self._may_be_ours(item.type, item.zone, item.spot):
                # Gone ones are still listed for a while, new ones may be about to be entered.
                hired_wall = wall_us() - seconds_us(item.age_s)
                self._adopt_soon(
                    item.id, RentalRecord(item.type, item.zone, item.spot, 1, hired_wall)
                )
        names = {item.id for item in listed}
        for machine in machines.values():
            # Listed once, and not any more: the cloud has taken it.
            if machine.in_cloud_list and machine.name not in names and not machine.deleting:
                if (
                    at_us - max(machine.last_heartbeat_us, machine.rented_us)
                    > self._term.silence_us
                ):
                    doomed[machine.name] = machine
        if doomed:
            log.info("%d machines are gone by the cloud's list", len(doomed))
        self.return_machines(doomed)
