"""Observes which writes were carried out and not answered, and which of them others read."""

from collections import deque

import msgspec

from weldhead.emulator.events import kinds
from weldhead.emulator.experiment import Experiment
from weldhead.site.store.model import Batch
from weldhead.transport.http_server import Response

#: How many of the controllers' latest reads are kept.
MOST_READS = 3_000


class LostAnswerObserver:
    """Follows the controllers' writes and reads of the store."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self._loop, self._store = experiment.loop, experiment.store.service.store
        network = experiment.network
        network.on_sent.append(self._sent)
        network.on_given_up.append(self._given_up)
        network.on_answered.append(self._answered)
        #: When each transaction that is under way was sent.
        self._sent_s: dict[tuple[str, bytes], float] = {}
        #: What controllers have read lately: when, who, path and answer.
        self._reads: deque[tuple[float, str, str, bytes]] = deque(maxlen=MOST_READS)
        #: Kinds of writes that were carried out and not answered, and that others read then.
        self.carried_out: set[str] = set()
        self.read: set[str] = set()

    def _sent(self, source: str, target: str, path: str, body: bytes) -> None:
        if path == "multi":
            self._sent_s[source, body] = self._loop.true_s

    def _answered(self, called: str, caller: str, path: str, answer: Response) -> None:
        if called == "state" and path.startswith(("store", "changes")):
            self._reads.append((self._loop.true_s, caller, path, answer.body))

    def _given_up(self, source: str, target: str, path: str, body: bytes) -> None:
        if path != "multi":
            return
        batch = msgspec.json.decode(body, type=Batch)
        sent_s = self._sent_s.pop((source, body))
        others = [read[2:] for read in self._reads if read[0] >= sent_s and read[1] != source]
        for write in batch.writes:
            entry = self._store.get(write.set) if write.set is not None else None
            if entry is not None and bytes(entry.value) == bytes(write.value):
                known = set(kinds(Batch([], [write])))
                self.carried_out |= known
                if any(self._shows(entry.key, *read) for read in others):
                    self.read |= known

    @staticmethod
    def _shows(key: str, path: str, answer: bytes) -> bool:
        return path == f"store/{key}" or f'"{key}"'.encode() in answer
