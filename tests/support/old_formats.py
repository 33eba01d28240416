"""Records as format 1 reads them."""

from typing import Literal

import msgspec


class OldSpec(msgspec.Struct, frozen=True):
    uid: str
    jobclass: str
    owner: str
    shape: Literal["batch", "standing"]
    urgency: Literal["production", "high", "normal", "idle"]
    pieces: int
    cores: float
    cards: float
    ram_gb: float
    build: str
    pull_gb: float
    same_place: bool
    apart: bool
    loaners: bool
    expected_s: float
    tack_s: float
    weld_s: float
    frames: tuple[str, ...] | None = None
    yard: str | None = None
    due_s: float | None = None


class OldJob(msgspec.Struct):
    spec: OldSpec
    submitted_us: int
    cancelled: bool = False


class OldFinal(msgspec.Struct):
    status: Literal["done", "withdrawn"]
    done: int
