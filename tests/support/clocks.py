"""Clocks that tests move, set in the modules that answer users."""

from collections.abc import Callable

import pytest

from weldhead.controller.requests import (
    job_status_reader,
    poll_handler,
    request_handler,
    submission_handler,
)


def set_request_clock(monkeypatch: pytest.MonkeyPatch, clock: Callable[[], int]) -> None:
    """Have request handlers see this steady clock."""
    for module in (job_status_reader, poll_handler, request_handler, submission_handler):
        monkeypatch.setattr(module, "now_us", clock)
