"""Documents of gates."""

from typing import Any

from weldhead.documents.records import state_key
from weldhead.gates.gate_document import Gate, GateActionRule

CLASSES = {"rebuild": "prices", "approval": "sign", "publication": "post", "withdrawal": "recall"}


KEY = state_key("gate", "book")


def gate(former: Any = "finish", **changes: Any) -> Gate:
    acts = {act: GateActionRule(name) for act, name in CLASSES.items()}
    return Gate("book", ["quotes"], former=former, **(acts | changes))
