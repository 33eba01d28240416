"""New machines get work at once while the writes of their records lag, and the leader ends.

Whatever is sent to a machine, its record says by then that something may run there.
"""

from pathlib import Path

import msgspec
import pytest

from weldhead.bookkeeping.records import HIRES, LEADER_KEY, HireRecord
from weldhead.emulator.experiment import Experiment
from weldhead.emulator.loop import simulated
from weldhead.emulator.planted import planted
from weldhead.emulator.scenario import read_scenario
from weldhead.protocol.wire import Command, DirectCommands, ReportAnswer
from weldhead.site.store.model import Batch
from weldhead.transport.server import Response
from weldhead.tunables.defaults import Tunables

SCENARIO = Path(__file__).parents[1] / "deploy" / "scenarios" / "meet-new-machines.toml"
#: What has to come about: events, and what they bring on.
MET = {
    "write_given_up: controllers_end",
    "write_sent: controllers_end",
    "first_run_sent: controllers_end",
}
#: Within so many runs.
MOST_SEEDS = 4
#: A machine whose first task is sent so soon after it was up got work at once.
AT_ONCE_S = 4.0


class Records:
    """Follows first tasks of machines, and what the store has of these machines by then."""

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
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
            told = msgspec.json.decode(answer.body, type=ReportAnswer)
            self._commanded(told.token, target, told.commands)

    def _given_up(self, source: str, target: str, path: str, body: bytes) -> None:
        if path != "multi":
            return
        batch = msgspec.json.decode(body, type=Batch)
        token = next((c.version for c in batch.conditions if c.key == LEADER_KEY), 0)
        for write in batch.writes:
            if (write.set or "").startswith(HIRES):
                record = msgspec.json.decode(write.value, type=HireRecord)
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
        experiment = self._experiment
        up_us = experiment.cloud.pool.machines[machine].up_us
        if experiment.loop.true_us - up_us < AT_ONCE_S * 1_000_000:
            self.at_once.add(machine)
        if self.unanswered.get(machine, token) != token:
            self.taken_over.add(machine)

    def _on_record(self, machine: str) -> bool:
        page = self._experiment.store.service.store.page(HIRES, "", 1_000)
        records = (msgspec.json.decode(entry.value, type=HireRecord) for entry in page.items)
        return any(record.machines.get(machine) for record in records)


def played(controllers: int, seed: int) -> tuple[Experiment, Records]:
    site = read_scenario(SCENARIO)
    site.controllers = controllers
    with simulated() as loop:
        experiment = Experiment(loop, site, seed, Tunables())
        records = Records(experiment)
        loop.run_until_complete(experiment.run())
    return experiment, records


@pytest.mark.parametrize("controllers", [3, 5])
def test_a_machine_is_on_record_before_anything_is_sent_to_it(controllers: int) -> None:
    met: set[str] = set()
    for seed in range(MOST_SEEDS):
        experiment, records = played(controllers, seed)
        assert not records.unrecorded
        assert not experiment.checker.broken, experiment.checker.details
        assert experiment.store.late_writes > 2 and len(records.at_once) > 5
        met |= {f"{m.event}: {m.kind}" for m in experiment.faults.met}
        # A leader ended whose mark of a machine was not answered, and another went on there.
        if records.taken_over and met >= MET:
            return
    raise AssertionError(f"it has not come about: {met}")


def test_work_on_an_unrecorded_machine_is_seen() -> None:
    with planted("work-on-an-unrecorded-machine"):
        assert played(3, 0)[1].unrecorded
