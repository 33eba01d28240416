"""Where and when old reports and commands arrive, by what their receivers know by then.

A run can be watched to see whether a meeting of troubles came about; nothing is changed by it.
A report is old if its machine has sent a newer message since, or is gone.
"""

import enum
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import msgspec

from weldhead.cluster_state.records import LEADER_KEY, LeaderRecord
from weldhead.controller.leadership.leader import Leader
from weldhead.controller.process import ControllerProcess
from weldhead.emulator.experiment import Experiment
from weldhead.emulator.machines import SimulatedMachine
from weldhead.protocol.wire import DirectCommands, Heartbeat, HeartbeatAnswer, KeyValue
from weldhead.transport.http_server import Response
from weldhead.transport.state_client import decode

#: What comes so long before a term was won came just before it stood (seconds).
BEFORE_S = 3.0


class Moment(enum.Enum):
    """How far the term of the controller is that an old report reaches."""

    #: It leads soon after, and has not stood yet.
    BEFORE = "before it stands"
    #: Its key is written, its records are not read.
    LOADING = "between winning and loading"
    #: It has answered no report, loaded or not.
    UNANSWERED = "before its first answer"
    #: It has sent commands.
    ACTED = "after it has acted"
    #: It does not lead, and another has just begun to.
    FOLLOWING = "at a follower"


class Age(enum.Enum):
    """What makes a report old, or older still."""

    OVERTAKEN = "overtaken by a newer message"
    SESSION = "of an earlier session"
    ATTEMPT = "of an earlier attempt"
    GONE = "of a machine that is gone"


@dataclass
class Arrivals:
    """What has arrived of old reports and commands in one run."""

    experiment: Experiment
    #: Arrivals by moment and by what makes them old.
    reports: Counter[tuple[Moment, Age]] = field(default_factory=Counter)
    #: Terms within whose beginning one old report reached all controllers.
    everywhere: set[int] = field(default_factory=set)
    #: Commands of a leader that arrived after the machine had seen a later one's.
    deposed_commands: int = 0
    _newest: dict[str, tuple[int, int]] = field(default_factory=dict)
    _attempts: dict[str, int] = field(default_factory=dict)
    #: Terms that have answered reports, and that have sent commands.
    _answered: set[int] = field(default_factory=set)
    _acted: set[int] = field(default_factory=set)
    #: At controllers that do not lead: time, and what makes it old.
    _waiting: dict[str, list[tuple[float, set[Age]]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    #: By report: where it arrived since when.
    _reached: dict[bytes, dict[str, float]] = field(default_factory=lambda: defaultdict(dict))
    _won_s: dict[int, float] = field(default_factory=dict)

    def sent(self, _source: str, _target: str, path: str, body: bytes) -> None:
        """A request leaves its sender; copies do not."""
        if path != "v1/report":
            return
        report = msgspec.json.decode(body, type=Heartbeat)
        stamp = (report.session, report.sequence)
        self._newest[report.machine] = max(self._newest.get(report.machine, (0, 0)), stamp)
        for task in report.tasks:
            self._attempts[task.task] = max(self._attempts.get(task.task, 0), task.attempt)

    def ages(self, report: Heartbeat) -> set[Age]:
        """Say what makes a report old; nothing if it is the newest of a machine that is there."""
        machine = self.experiment.cloud.machines.get(report.machine)
        newest = self._newest.get(report.machine, (0, 0))
        live = (task for task in report.tasks if task.state != "ended")
        found = {
            Age.GONE: machine is None or machine.gone,
            Age.SESSION: report.session < newest[0],
            Age.OVERTAKEN: (report.session, report.sequence) < newest,
            Age.ATTEMPT: any(t.attempt < self._attempts.get(t.task, 0) for t in live),
        }
        return {age for age, so in found.items() if so}

    def arrived(self, node: ControllerProcess, body: bytes) -> None:
        """A worker's report reaches a controller."""
        ages = self.ages(msgspec.json.decode(body, type=Heartbeat))
        if not ages:
            return
        name, at_s = node.settings.name, self.experiment.loop.true_s
        token = self._see_term()
        moments = self._moments(node, token)
        for moment in moments:
            self._count(moment, ages)
        if not moments:
            self._waiting[name].append((at_s, ages))
        reached = self._reached[body]
        reached[name] = at_s
        began_s = self._won_s.get(token, 0.0) - BEFORE_S
        up = {c.name for c in self.experiment.controllers if c.life is not None}
        if up <= {name for name, when_s in reached.items() if when_s >= began_s}:
            self.everywhere.add(token)

    def _count(self, moment: Moment, ages: set[Age]) -> None:
        self.reports.update((moment, age) for age in ages)

    def answered(self, leader: Leader, answer: Response) -> None:
        """A leader has answered a report."""
        self._answered.add(leader.token)
        if msgspec.json.decode(answer.body, type=HeartbeatAnswer).commands:
            self._acted.add(leader.token)

    def _see_term(self) -> int:
        """Return the token of who leads by the store; take up what came before it stood."""
        entry = self.experiment.store.service.store.get(LEADER_KEY)
        if entry is None:
            return max(self._won_s, default=0)
        if entry.version not in self._won_s:
            at_s = self.experiment.loop.true_s
            self._won_s[entry.version] = at_s
            winner = self._winner(entry)
            for name, waiting in self._waiting.items():
                moment = Moment.BEFORE if name == winner else Moment.FOLLOWING
                for when_s, ages in waiting:
                    if when_s > at_s - BEFORE_S:
                        self._count(moment, ages)
            self._waiting.clear()
        return entry.version

    def _moments(self, node: ControllerProcess, token: int) -> list[Moment]:
        """Say how far a controller's term is; nothing: it has none."""
        leader = node.leader
        if leader is None:
            entry = self.experiment.store.service.store.get(LEADER_KEY)
            mine = entry is not None and self._winner(entry) == node.settings.name
            begins = mine and token not in self._answered
            return [Moment.LOADING, Moment.UNANSWERED] if begins else []
        found = {
            Moment.LOADING: not leader.loaded,
            Moment.UNANSWERED: leader.token not in self._answered,
            Moment.ACTED: leader.token in self._acted,
        }
        return [moment for moment, so in found.items() if so]

    @staticmethod
    def _winner(entry: KeyValue) -> str:
        return decode(bytes(entry.value), LeaderRecord).name

    def commanded(self, machine: SimulatedMachine, body: bytes) -> None:
        """A direct command reaches a machine."""
        asked = msgspec.json.decode(body, type=DirectCommands)
        self.deposed_commands += bool(asked.commands) and asked.token < machine.worker.token
        if asked.commands:
            self._acted.add(asked.token)
