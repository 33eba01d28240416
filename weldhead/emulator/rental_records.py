"""Observes which machines get commands, and what the store has on record of them by then.

At each ``run`` that is sent, the machine's rental record has to have the machine's address:
a later leader must know that something may run there.
"""

import msgspec

from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import LEADER_KEY, RENTALS, RentalRecord
from weldhead.emulator.experiment import Experiment
from weldhead.protocol.wire import Command, DirectCommands, HeartbeatAnswer
from weldhead.site.store.model import Batch
from weldhead.transport.http_server import Response

#: A machine whose first task is sent so soon after it was up got work at once (seconds).
AT_ONCE_S = 4.0


class RentalRecordObserver:
    """Follows the first tasks of machines, and whether the store has these machines on record."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        network = experiment.network
        network.on_sent.append(self._sent)
        network.on_answered.append(self._answered)
        network.on_given_up.append(self._given_up)
        #: The tokens under which machines got their first tasks.
        self.first: dict[str, int] = {}
        #: Machines that got work at once, and tasks sent to machines that are not on record.
        self.at_once: set[str] = set()
        self.unrecorded: list[str] = []
        #: Machines of whose mark the writer did not hear, and its token; those among them whose
        #: first task came under another.
        self.unanswered: dict[str, int] = {}
        self.taken_over: set[str] = set()

    def _sent(self, source: str, target: str, path: str, body: bytes) -> None:
        if path == "commands":
            asked = msgspec.json.decode(body, type=DirectCommands)
            self._commanded(asked.token, target, asked.commands)

    def _answered(self, source: str, target: str, path: str, answer: Response) -> None:
        if path == "v1/report" and answer.status == 200:
            told = msgspec.json.decode(answer.body, type=HeartbeatAnswer)
            self._commanded(told.token, target, told.commands)

    def _given_up(self, source: str, target: str, path: str, body: bytes) -> None:
        if path != "multi":
            return
        batch = msgspec.json.decode(body, type=Batch)
        token = next((c.version for c in batch.conditions if c.key == LEADER_KEY), 0)
        for write in batch.writes:
            if (write.set or "").startswith(RENTALS):
                record = msgspec.json.decode(write.value, type=RentalRecord)
                for name, address in record.machines.items():
                    if address is not None and name not in self.first:
                        self.unanswered[name] = token

    def _commanded(self, token: int, machine: str, commands: list[Command]) -> None:
        if not any(command.op == "run" for command in commands):
            return
        if not self._on_record(machine):
            self.unrecorded.append(machine)
        if machine in self.first:
            return
        self.first[machine] = token
        experiment = self.experiment
        up_us = experiment.cloud.pool.machines[machine].up_us
        if experiment.loop.true_us - up_us < AT_ONCE_S * SECOND_US:
            self.at_once.add(machine)
        if self.unanswered.get(machine, token) != token:
            self.taken_over.add(machine)

    def _on_record(self, machine: str) -> bool:
        page = self.experiment.store.service.store.page(RENTALS, "", 1_000)
        records = (msgspec.json.decode(entry.value, type=RentalRecord) for entry in page.items)
        return any(record.machines.get(machine) for record in records)
