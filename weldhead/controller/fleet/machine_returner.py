"""Returns machines to the cloud, many in one call."""

import asyncio
import logging
from collections.abc import Callable

from weldhead.cluster_state.machines import Machine
from weldhead.controller.term import Term
from weldhead.transport.cloud_client import NotSentError
from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)

#: The largest number of machines that the cloud accepts in one deletion call.
MAX_MACHINES_PER_DELETION = 100
#: Deletions requested within this time share a call.
DELETION_BATCH_DELAY_S = 0.1


class MachineReturner:
    """Deletes the machines that one term returns; calls ``on_deleted`` with deleted machines."""

    def __init__(self, term: Term, on_deleted: Callable[[list[Machine]], None]) -> None:
        self._term = term
        self._on_deleted = on_deleted
        #: Names of machines returned in this term. The cloud's list may show them for a while
        #: after their deletion.
        self.returned_names: set[str] = set()
        self.to_delete: dict[str, Machine] = {}
        self._deletion_requested = asyncio.Event()

    def return_machines(self, machines: dict[str, Machine]) -> None:
        """Start the deletion of machines; their tasks count as running until the cloud answers."""
        if not machines:
            return
        for machine in machines.values():
            machine.deleting = True
        self.returned_names.update(machines)
        self.to_delete.update(machines)
        self._deletion_requested.set()
        log.info("scale in: returning machines %s", ", ".join(machines))

    async def delete_returned(self) -> None:
        """Delete returned machines in batches, as a background task."""
        while True:
            await self._deletion_requested.wait()
            self._deletion_requested.clear()
            await asyncio.sleep(DELETION_BATCH_DELAY_S)
            while self.to_delete:
                await self._delete_batch()

    async def _delete_batch(self) -> None:
        # Machines on which tasks may still run come first: the tasks count as running until then.
        deletion_order = sorted(
            self.to_delete.values(), key=lambda m: m.reconciled and not m.attempts
        )
        batch = deletion_order[:MAX_MACHINES_PER_DELETION]
        if not self._term.is_valid:
            # The decision may predate a pause of this process: a new leader may use them now.
            await asyncio.sleep(0.1)
            return
        try:
            await self._term.cloud.delete([m.name for m in batch], self._may_delete)
        except NotSentError:
            return
        except CallError as error:
            log.info("deletion of %d machines failed: %s", len(batch), error)
            await asyncio.sleep(0.5)
            return
        self.record_deletion(batch)

    def _may_delete(self) -> bool:
        """Whether the term is still valid, checked right before the call is sent."""
        return self._term.is_valid

    def record_deletion(self, machines: list[Machine]) -> None:
        """Record the cloud's answer that machines, and all tasks on them, are gone."""
        for machine in machines:
            self.to_delete.pop(machine.name, None)
        self._on_deleted(machines)
