"""Binds jobs to release gates at admission, by a controller's replica of the documents."""

from weldhead.cluster_state.records import (
    AdmissionBinding,
    GateAction,
    GateHold,
)
from weldhead.controller.configuration.document_replica import DocumentsNotLoadedError
from weldhead.documents.cache import DocumentCache
from weldhead.documents.records import HEAD_KEY, HeadRecord, document_key, state_key
from weldhead.gates.gate_document import Gate
from weldhead.gates.gate_state import GateState, build_gate_action, required_edition
from weldhead.protocol.wire import Condition, JobSpec

KIND = "gate"


def _documents(cache: DocumentCache, head: HeadRecord | None) -> list[tuple[str, Gate | None]]:
    """Return an edition's gates by name; None where the document cannot be read."""
    if head is None:
        return []
    found: list[tuple[str, Gate | None]] = []
    for name in head.documents:
        kind, _, gate = name.partition("/")
        if kind == KIND:
            kept = cache.get(document_key(head.edition, name), Gate)
            found.append((gate, kept.value if kept is not None else None))
    return found


def _state(cache: DocumentCache, name: str) -> GateState | None:
    """Return what is kept of a gate; None: it cannot be read."""
    key = state_key(KIND, name)
    if not cache.version(key):
        return GateState()
    kept = cache.get(key, GateState)
    return kept.value if kept is not None else None


class GateBinder:
    """Binds jobs to gates at acceptance, by a controller's copy of the documents."""

    def __init__(self, cache: DocumentCache) -> None:
        self._cache = cache

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return what a gate says of a job; DocumentsNotLoadedError if its document cannot be
        read.
        """
        cache = self._cache
        # Whoever finds no gate for a job does so by this edition of the documents.
        conditions = [Condition(HEAD_KEY, cache.version(HEAD_KEY))]
        hold: GateHold | None = None
        recorded_action: GateAction | None = None
        for name, gate in _documents(cache, cache.head):
            if gate is None:
                raise DocumentsNotLoadedError
            reservations = gate.holds_job(spec.job_class, spec.team)
            act = gate.action_of(spec.job_class, spec.team)
            if not reservations and not act:
                continue
            state = _state(cache, name)
            if state is None:
                raise DocumentsNotLoadedError
            key = state_key(KIND, name)
            conditions.append(Condition(key, cache.version(key)))
            if reservations:
                hold = GateHold(name, required_edition(state))
            else:
                recorded_action = build_gate_action(gate, state, act)
        return AdmissionBinding(
            gate_hold=hold, gate_action=recorded_action, conditions=tuple(conditions)
        )
