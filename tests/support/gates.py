"""A gate's document for tests."""

from typing import Any

from weldhead.documents.records import state_key
from weldhead.gates.gate_document import Gate, GateActionRule

#: The class of the jobs that perform each action on the gate.
JOB_CLASSES = {
    "rebuild": "prices",
    "approval": "sign",
    "publication": "post",
    "withdrawal": "recall",
}


GATE_STATE_KEY = state_key("gate", "book")


def gate(former: Any = "finish", **changes: Any) -> Gate:
    """Return a gate "book" that holds jobs of class "quotes"."""
    rules = {action: GateActionRule(job_class) for action, job_class in JOB_CLASSES.items()}
    return Gate("book", ["quotes"], former=former, **(rules | changes))
