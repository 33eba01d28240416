"""Binds jobs to release gates at admission, based on a controller's replica of the documents."""

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


def read_gates(cache: DocumentCache, head: HeadRecord | None) -> list[tuple[str, Gate | None]]:
    """Return names and documents of an edition's gates; None for an unreadable document."""
    if head is None:
        return []
    gates: list[tuple[str, Gate | None]] = []
    for document_name in head.documents:
        kind, _, gate_name = document_name.partition("/")
        if kind == KIND:
            entry = cache.get(document_key(head.edition, document_name), Gate)
            gates.append((gate_name, entry.value if entry is not None else None))
    return gates


def read_gate_state(cache: DocumentCache, name: str) -> GateState | None:
    """Return a gate's state, empty if none is recorded; None if the record is unreadable."""
    key = state_key(KIND, name)
    if not cache.version(key):
        return GateState()
    entry = cache.get(key, GateState)
    return entry.value if entry is not None else None


class GateBinder:
    """Binds jobs to gates at their acceptance, based on a controller's copy of the documents."""

    def __init__(self, cache: DocumentCache) -> None:
        self._cache = cache

    def __call__(self, spec: JobSpec, wall_us: int) -> AdmissionBinding:
        """Return the gate that a job is bound to, or the action that the job performs on a gate.

        Raises DocumentsNotLoadedError if a gate's document or state is unreadable.
        """
        cache = self._cache
        # That no gate concerns a job also depends on the edition, so the head is a condition.
        conditions = [Condition(HEAD_KEY, cache.version(HEAD_KEY))]
        hold: GateHold | None = None
        recorded_action: GateAction | None = None
        for name, gate in read_gates(cache, cache.head):
            if gate is None:
                raise DocumentsNotLoadedError
            is_held = gate.holds_job(spec.job_class, spec.team)
            action = gate.action_of(spec.job_class, spec.team)
            if not is_held and not action:
                continue
            state = read_gate_state(cache, name)
            if state is None:
                raise DocumentsNotLoadedError
            key = state_key(KIND, name)
            conditions.append(Condition(key, cache.version(key)))
            if is_held:
                hold = GateHold(name, required_edition(state))
            else:
                recorded_action = build_gate_action(gate, state, action)
        return AdmissionBinding(
            gate_hold=hold, gate_action=recorded_action, conditions=tuple(conditions)
        )
