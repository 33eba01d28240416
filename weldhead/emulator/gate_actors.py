"""Release gates: users who rebuild, approve, publish and withdraw, and what may start then.

The classes ``rebuild``, ``approval``, ``publication`` and ``withdrawal`` of a scenario are the
acts on its gate, which stops former work; the gate's document names what it holds. What truly
happened is the measure: an edition may be open once its rebuild, a publication and an
approval have completed, unless that approval was accepted before somebody asked to withdraw.
"""

import asyncio
import random
from dataclasses import dataclass, field

from weldhead.documents.records import DocumentSet, state_key
from weldhead.emulator.checker import Checker
from weldhead.emulator.users import Users
from weldhead.gates.gate_document import Gate
from weldhead.gates.gate_state import GateState
from weldhead.protocol.wire import split_task_name
from weldhead.transport.state_client import decode

#: So long the keeper waits for a rebuild before it goes on all the same.
PATIENCE_S = 20.0


@dataclass
class _Edition:
    rebuild: str
    #: A task of its rebuild has begun: the gate was told closed.
    told: bool = False
    approvals: list[str] = field(default_factory=list)
    publications: list[str] = field(default_factory=list)
    #: When somebody asked to withdraw last, and whether that was told closed.
    withdrawn_us: int = 0
    withdrawals: list[str] = field(default_factory=list)


class GateActors:
    """Those who act on one gate, and what is known of its editions."""

    def __init__(
        self, offer: DocumentSet, users: Users, checker: Checker, rng: random.Random
    ) -> None:
        name, body = next((n, b) for n, b in offer.documents.items() if n.startswith("gate/"))
        self._gate = decode(bytes(body), Gate)
        self._key = state_key(*name.split("/"))
        self._users, self._checker, self._rng = users, checker, rng
        self._editions: list[_Edition] = []
        self._newest = self._version = 0
        checker.on_started.append(self._started)

    async def keep(self) -> None:
        """Act on the gate for ever."""
        users, rng = self._users, self._rng
        while True:
            edition = _Edition(users.act("rebuild"))
            self._editions.append(edition)
            for _ in range(int(PATIENCE_S) if rng.random() < 0.7 else 0):
                await asyncio.sleep(1.0)
                if self._checker.jobs[edition.rebuild].final:
                    break
            for _ in range(rng.choice((1, 1, 2))):
                edition.approvals.append(users.act("approval", edition.rebuild))
            edition.publications.append(users.act("publication", edition.rebuild))
            await asyncio.sleep(rng.uniform(8, 20))
            if rng.random() < 0.5:
                edition.withdrawn_us = self._checker.now_us()
                edition.withdrawals.append(users.act("withdrawal", edition.rebuild))
                await asyncio.sleep(rng.uniform(1, 10))
                edition.approvals.append(users.act("approval", edition.rebuild))
                await asyncio.sleep(rng.uniform(4, 12))

    def _done(self, job_id: str) -> bool:
        told = self._checker.jobs.get(job_id)
        return told is not None and len(self._checker.done[job_id]) == told.spec.tasks

    def _valid(self, edition: _Edition, approval: str) -> bool:
        """Whether an approval counts; of one that is told late nobody can say."""
        accepted_us = self._checker.jobs[approval].accepted_us or self._checker.now_us()
        return self._done(approval) and accepted_us >= edition.withdrawn_us

    def _may_be_open(self, edition: _Edition) -> bool:
        approved = any(self._valid(edition, approval) for approval in edition.approvals)
        if not edition.told or not any(map(self._begun, edition.withdrawals)):
            # Not told closed: it may be that the withdrawal is not entered yet.
            approved = any(map(self._done, edition.approvals))
        return (
            approved and self._done(edition.rebuild) and any(map(self._done, edition.publications))
        )

    def _begun(self, job_id: str) -> bool:
        return self._checker.jobs[job_id].begun_us > 0

    def _started(self, task: str, machine: str) -> None:
        job_id = split_task_name(task)[0]
        spec = self._checker.jobs[job_id].spec
        for edition in self._editions:
            edition.told = edition.told or edition.rebuild == job_id
        if not self._gate.holds_job(spec.job_class, spec.team):
            return
        told = [number for number, edition in enumerate(self._editions) if edition.told]
        if not any(map(self._may_be_open, self._editions[max(told, default=0) :])):
            self._checker.breaks("stale_start", f"{task} starts on {machine}, its gate is closed")

    def look(self) -> None:
        """See what the store says of the gate."""
        entry = self._checker.store.get(self._key)
        if entry is None or entry.version == self._version:
            return
        self._version = entry.version
        state = decode(bytes(entry.value), GateState)
        if state.edition < self._newest:
            self._checker.breaks("gate_reopened", f"edition {state.edition} after {self._newest}")
        self._newest = max(self._newest, state.edition)
        for kept in state.editions:
            known = next((e for e in self._editions if e.rebuild == kept.rebuild_job), None)
            if kept.is_open and (known is None or not self._may_be_open(known)):
                self._checker.breaks("gate_reopened", f"edition {kept.number} is open")
