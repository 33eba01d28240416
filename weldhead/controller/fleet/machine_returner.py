"""Returning machines to the cloud, many in a call."""

import asyncio
import logging
from collections.abc import Callable

from weldhead.cluster_state.machines import Machine
from weldhead.controller.term import Term
from weldhead.transport.cloud_client import NotSentError
from weldhead.transport.http_client import CallError

log = logging.getLogger(__name__)

#: Names that the cloud takes in one deletion.
MOST_DELETED = 100
#: Deletions asked for within this time go out in one call, in seconds.
DELETE_GATHER_S = 0.1


class MachineReturner:
    """The deletions of one term; ``on_deleted`` is told of machines that are gone for good."""

    def __init__(self, term: Term, on_deleted: Callable[[list[Machine]], None]) -> None:
        self._term = term
        self._on_deleted = on_deleted
        #: Names that are gone for good, though the cloud's list may show them for a while.
        self.returned: set[str] = set()
        self.to_delete: dict[str, Machine] = {}
        self._wanted = asyncio.Event()

    def return_machines(self, machines: dict[str, Machine]) -> None:
        """Return machines; what runs there counts until the deletion is answered."""
        if not machines:
            return
        for machine in machines.values():
            machine.deleting = True
        self.returned.update(machines)
        self.to_delete.update(machines)
        self._wanted.set()
        log.info("scale in: returning machines %s", ", ".join(machines))

    async def delete_returned(self) -> None:
        """Delete what is returned; a background task."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await asyncio.sleep(DELETE_GATHER_S)
            while self.to_delete:
                await self._delete_batch()

    async def _delete_batch(self) -> None:
        # What holds work up goes first.
        order = sorted(self.to_delete.values(), key=lambda m: m.reconciled and not m.attempts)
        batch = order[:MOST_DELETED]
        if not self._term.is_valid:
            # Decided before this process stood still: a successor may use them now.
            await asyncio.sleep(0.1)
            return
        try:
            await self._term.cloud.delete([m.name for m in batch], self._may_delete)
        except NotSentError:
            return
        except CallError as error:
            log.info("deletion failed: %s", error)
            await asyncio.sleep(0.5)
            return
        self.deleted(batch)

    def _may_delete(self) -> bool:
        return self._term.is_valid

    def deleted(self, machines: list[Machine]) -> None:
        """The cloud has answered: the machines and everything on them are gone."""
        for machine in machines:
            self.to_delete.pop(machine.name, None)
        self._on_deleted(machines)
