"""Scenarios as files: what differs from the defaults, in TOML."""

import json
from collections.abc import Iterator
from typing import Any

import msgspec

from weldhead.emulator.scenario import Scenario


def scenario_text(scenario: Scenario, comment: str = "") -> str:
    """Return what :func:`~weldhead.emulator.scenario.parse_scenario` reads as this scenario."""
    lines = [f"# {line}" for line in comment.splitlines()]
    tables: list[str] = []
    for name, value in _given(scenario):
        if isinstance(value, msgspec.Struct):
            tables += ["", f"[{name}]", *_lines(value)]
        elif isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
            for each in value:
                tables += ["", f"[[{name}]]", *_lines(each)]
        else:
            lines.append(f"{name} = {_literal(value)}")
    return "\n".join([*lines, *tables]) + "\n"


def _lines(table: msgspec.Struct) -> Iterator[str]:
    for name, value in _given(table):
        yield f"{name} = {_literal(value)}"


def _given(table: msgspec.Struct) -> Iterator[tuple[str, Any]]:
    """Yield the names and values of all fields that are not at their default."""
    for field in msgspec.structs.fields(table):
        value, default = getattr(table, field.name), field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        if value != default:
            yield field.encode_name, value


def _literal(value: Any) -> str:
    # JSON's strings, numbers, truth values and lists are TOML's too.
    return json.dumps(value)
