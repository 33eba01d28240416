"""Tasks that a leader starts though the cancellation of their job was confirmed before.

Told by the ``run`` commands that leave a controller, not by the tasks that begin: one that was on
its way may still arrive. A controller that was replaced cannot know of it; what that sends is
counted, and judged by ``ran_cancelled`` like all that goes on.
"""

import msgspec

from weldhead.clock import SECOND_US
from weldhead.cluster_state.records import LEADER_KEY
from weldhead.emulator.checker import Checker
from weldhead.emulator.network import Network
from weldhead.protocol.wire import Command, DirectCommands, HeartbeatAnswer, split_task_name
from weldhead.site.store.model import Store
from weldhead.transport.http_server import Response

#: How long who leads may take to learn what another controller has confirmed.
LEARNS_US = 3 * SECOND_US
_RUN = b'"run"'


class StartRules:
    """Judges commands: ``started_cancelled``, once for each attempt."""

    def __init__(self, checker: Checker, network: Network, store: Store) -> None:
        self._checker, self._store = checker, store
        self._seen: set[tuple[str, int]] = set()
        network.on_sent.append(self._sent)
        network.on_answered.append(self._answered)

    def _sent(self, controller: str, machine: str, path: str, body: bytes) -> None:
        if path == "commands" and _RUN in body:
            asked = msgspec.json.decode(body, type=DirectCommands)
            self._see(controller, asked.token, asked.commands)

    def _answered(self, controller: str, machine: str, path: str, answer: Response) -> None:
        if path == "v1/report" and answer.status == 200 and _RUN in answer.body:
            told = msgspec.json.decode(answer.body, type=HeartbeatAnswer)
            self._see(controller, told.token, told.commands)

    def _see(self, controller: str, token: int, commands: list[Command]) -> None:
        for command in commands:
            told = self._checker.jobs.get(split_task_name(command.task)[0])
            key = command.task, command.attempt
            if command.op != "run" or told is None or not told.cancelled_us or key in self._seen:
                continue
            self._seen.add(key)
            late_us = self._checker.now_us() - told.cancelled_us
            self._checker.counts["runs after cancellation"] += 1
            if late_us > LEARNS_US and token == self._leader_token():
                self._checker.breaks(
                    "started_cancelled",
                    f"{controller} starts {command.task} {late_us / SECOND_US:.3f} s after it",
                )

    def _leader_token(self) -> int:
        entry = self._store.get(LEADER_KEY)
        return entry.version if entry is not None else 0
