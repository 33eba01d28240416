"""Running writes of a leader."""

import asyncio
from typing import Any

import pytest


def run(scenario: Any, monkeypatch: pytest.MonkeyPatch | None = None) -> None:
    async def no_pause(_: float) -> None:
        await original(0)

    original = asyncio.sleep
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("weldhead.cluster_state.state_writer.asyncio.sleep", no_pause)
        asyncio.run(scenario)
