"""A submission that is accepted."""

from typing import Any

GOOD: dict[str, Any] = {
    "uid": "run-000412", "jobclass": "train", "owner": "red", "shape": "batch",
    "urgency": "high", "pieces": 16, "cores": 2.0, "cards": 0.0, "ram_gb": 4, "build": "img-07",
    "pull_gb": 6.2, "frames": ["m4"], "yard": None, "same_place": True, "apart": False,
    "loaners": True, "expected_s": 240.0, "tack_s": 30.0, "weld_s": 4.0, "due_s": 900.0,
}  # fmt: skip
