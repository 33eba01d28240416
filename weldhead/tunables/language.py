"""The operators' settings language: parsing, checking, evaluating.

A file is a list of statements: ``let NAME = EXPRESSION`` names a value, ``PATH =
EXPRESSION`` sets a tunable. There are three types: numbers, durations and truth values.
Everything is checked before anything is evaluated, and each error has a line and column.
"""

import dataclasses
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput, UnexpectedToken

from weldhead.protocol.settings import Settings
from weldhead.tunables.defaults import Tunables

NUMBER, DURATION, TRUTH = "number", "duration", "truth value"

_UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "<": operator.lt, "<=": operator.le, ">": operator.gt, ">=": operator.ge,
    "==": operator.eq, "!=": operator.ne,
}  # fmt: skip
_FUNCTIONS: dict[str, Callable[..., Any]] = {"min": min, "max": max}

#: Names that every file may use, and their types.
FACTS: Mapping[str, str] = {
    "report": DURATION,
    "lease": DURATION,
    "cancel": DURATION,
    "list_lag": DURATION,
    "nodes": NUMBER,
    "teams": NUMBER,
    "zones": NUMBER,
    "cpu_share": NUMBER,
}


@dataclass(frozen=True)
class Problem:
    """An error in a file."""

    line: int
    column: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.text}"


class LanguageError(Exception):
    """A file with errors."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def facts_of(settings: Settings) -> dict[str, float]:
    """Return the facts' values; durations in microseconds."""
    facts = settings.facts
    return {
        "report": facts.workers.report_s * 1e6,
        "lease": facts.workers.lease_s * 1e6,
        "cancel": facts.workers.cancel_s * 1e6,
        "list_lag": facts.cloud.list_lag_s * 1e6,
        "nodes": float(len(settings.peers) + 1),
        "teams": float(len(facts.teams)),
        "zones": float(len(facts.zones)),
        "cpu_share": facts.limits.cpu_share,
    }


def tunable_types() -> dict[str, str]:
    """Return every tunable's name and type."""
    return {name: kind for name, (kind, _, _) in _tunable_fields(Tunables()).items()}


def _tunable_fields(tunables: Any, prefix: str = "") -> dict[str, tuple[str, Any, str]]:
    """Map each tunable's name to its type, the object that holds it and its field."""
    found: dict[str, tuple[str, Any, str]] = {}
    for item in dataclasses.fields(tunables):
        value = getattr(tunables, item.name)
        if dataclasses.is_dataclass(value):
            found.update(_tunable_fields(value, f"{prefix}{item.name}."))
        elif isinstance(value, bool):
            found[prefix + item.name] = (TRUTH, tunables, item.name)
        elif item.name.endswith("_us"):
            found[prefix + item.name.removesuffix("_us")] = (DURATION, tunables, item.name)
        else:
            found[prefix + item.name] = (NUMBER, tunables, item.name)
    return found


@lru_cache(maxsize=1)
def _parser() -> Lark:
    grammar = Path(__file__).with_name("grammar.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _parse(text: str) -> Tree[Token]:
    try:
        return _parser().parse(text)
    except UnexpectedToken as error:
        if error.token.type != "$END":
            problem = Problem(error.line, error.column, f"{str(error.token)!r} does not fit here")
        else:
            lines = text.rstrip().splitlines() or [""]
            problem = Problem(len(lines), len(lines[-1]) + 1, "the file ends early")
    except UnexpectedInput as error:
        problem = Problem(max(1, error.line), max(1, error.column), "unexpected character")
    raise LanguageError([problem])


class _Checker:
    """Works out types, collecting problems."""

    def __init__(self) -> None:
        self.names: dict[str, str] = dict(FACTS)
        self.tunables = tunable_types()
        self.assigned: set[str] = set()
        self.problems: list[Problem] = []

    def problem(self, node: Tree[Token] | Token, text: str) -> None:
        """Note a problem at a node."""
        position = node if isinstance(node, Token) else node.meta
        self.problems.append(
            Problem(getattr(position, "line", 1) or 1, getattr(position, "column", 1) or 1, text)
        )

    def statement(self, node: Tree[Token]) -> None:
        """Check a statement."""
        target, expression = node.children
        kind = self.type_of(expression)
        if node.data == "let":
            assert isinstance(target, Token)
            if target in self.names or target in _FUNCTIONS:
                self.problem(target, f"{target} is defined already")
            # Known all the same, so that one mistake is reported once.
            self.names[str(target)] = kind or "?"
            return
        assert isinstance(target, Tree)
        path = ".".join(str(part) for part in target.children)
        wanted = self.tunables.get(path)
        if wanted is None:
            self.problem(target, f"there is no setting {path}")
        elif kind not in (wanted, None, "?"):
            self.problem(expression, f"{path} is a {wanted}, not a {kind}")
        if path in self.assigned:
            self.problem(target, f"{path} is set twice")
        self.assigned.add(path)

    def type_of(self, node: Tree[Token] | Token) -> str | None:
        """Return an expression's type; None if a problem was noted."""
        assert isinstance(node, Tree)
        match node.data:
            case "number":
                return NUMBER
            case "duration":
                return DURATION
            case "true" | "false":
                return TRUTH
            case "variable":
                name = str(node.children[0])
                if name not in self.names:
                    self.problem(node, f"{name} is not known here")
                    return None
                return self.names[name]
            case "call":
                name = str(node.children[0])
                kinds = [self.type_of(child) for child in node.children[1:]]
                if name not in _FUNCTIONS:
                    self.problem(node, f"there is no function {name}")
                    return None
                return self._same(node, kinds, (NUMBER, DURATION))
            case "choice":
                self._want(node.children[0], TRUTH)
                return self._same(
                    node, [self.type_of(c) for c in node.children[1:]], (NUMBER, DURATION, TRUTH)
                )
            case "either" | "both" | "negate":
                for child in node.children:
                    self._want(child, TRUTH)
                return TRUTH
            case "compare":
                kinds = [self.type_of(node.children[0]), self.type_of(node.children[2])]
                self._same(node, kinds, (NUMBER, DURATION))
                return TRUTH
            case "add" | "subtract":
                return self._same(
                    node, [self.type_of(child) for child in node.children], (NUMBER, DURATION)
                )
            case "minus":
                return self._same(node, [self.type_of(node.children[0])], (NUMBER, DURATION))
            case "multiply" | "divide":
                return self._product(node)
            case _:
                raise AssertionError(node.data)

    def _want(self, node: Tree[Token] | Token, wanted: str) -> None:
        kind = self.type_of(node)
        if kind not in (wanted, None, "?"):
            self.problem(node, f"a {wanted} is needed here, not a {kind}")

    def _same(
        self, node: Tree[Token], kinds: list[str | None], allowed: tuple[str, ...]
    ) -> str | None:
        known = [kind for kind in kinds if kind not in (None, "?")]
        for kind in known:
            if kind not in allowed or kind != known[0]:
                text = f"a {kind} does not fit here"
                if kind != known[0]:
                    text = f"a {known[0]} and a {kind} do not go together"
                self.problem(node, text)
                return None
        return known[0] if known else None

    def _product(self, node: Tree[Token]) -> str | None:
        left, right = (self.type_of(child) for child in node.children)
        if left in (None, "?") or right in (None, "?"):
            return None
        if (left, right) == (NUMBER, NUMBER):
            return NUMBER
        if node.data == "divide" and (left, right) == (DURATION, DURATION):
            return NUMBER
        if (left, right) == (DURATION, NUMBER):
            return DURATION
        if node.data == "multiply" and (left, right) == (NUMBER, DURATION):
            return DURATION
        self.problem(node, f"a {left} and a {right} do not go together")
        return None


def check(text: str) -> Tree[Token]:
    """Parse and check a file; LanguageError lists every problem."""
    tree = _parse(text)
    checker = _Checker()
    for statement in tree.children:
        assert isinstance(statement, Tree)
        checker.statement(statement)
    if checker.problems:
        raise LanguageError(checker.problems)
    return tree


class _Evaluator:
    """Computes values of a checked file."""

    def __init__(self, facts: Mapping[str, float]) -> None:
        self.values: dict[str, Any] = dict(facts)

    def value(self, node: Tree[Token] | Token) -> Any:
        """Return an expression's value; durations in microseconds."""
        assert isinstance(node, Tree)
        children = node.children
        match node.data:
            case "number":
                return float(str(children[0]))
            case "duration":
                text = str(children[0])
                unit = text.lstrip("0123456789.")
                return float(text.removesuffix(unit)) * _UNITS_US[unit]
            case "true" | "false":
                return node.data == "true"
            case "variable":
                return self.values[str(children[0])]
            case "call":
                return _FUNCTIONS[str(children[0])](self.value(c) for c in children[1:])
            case "choice":
                return self.value(children[1] if self.value(children[0]) else children[2])
            case "either":
                return self.value(children[0]) or self.value(children[1])
            case "both":
                return self.value(children[0]) and self.value(children[1])
            case "negate":
                return not self.value(children[0])
            case "compare":
                compared = _COMPARISONS[str(children[1])]
                return compared(self.value(children[0]), self.value(children[2]))
            case "minus":
                return -self.value(children[0])
            case "add":
                return self.value(children[0]) + self.value(children[1])
            case "subtract":
                return self.value(children[0]) - self.value(children[1])
            case "multiply":
                return self.value(children[0]) * self.value(children[1])
            case "divide":
                divisor = self.value(children[1])
                if not divisor:
                    raise LanguageError(
                        [Problem(node.meta.line, node.meta.column, "division by zero")]
                    )
                return self.value(children[0]) / divisor
            case _:
                raise AssertionError(node.data)


def evaluate(text: str, facts: Mapping[str, float]) -> Tunables:
    """Return the defaults, changed as the file says."""
    tree = check(text)
    tunables = Tunables()
    fields = _tunable_fields(tunables)
    evaluator = _Evaluator(facts)
    for statement in tree.children:
        assert isinstance(statement, Tree)
        target, expression = statement.children
        value = evaluator.value(expression)
        if statement.data == "let":
            evaluator.values[str(target)] = value
            continue
        assert isinstance(target, Tree)
        path = ".".join(str(part) for part in target.children)
        kind, holder, name = fields[path]
        where = (target.meta.line, target.meta.column)
        if kind is not TRUTH and value < 0:
            raise LanguageError([Problem(*where, f"{path} must not be negative")])
        if kind is DURATION:
            value = round(value)
            if value < 1_000:
                raise LanguageError([Problem(*where, f"{path} must be 1ms or more")])
        elif isinstance(getattr(holder, name), int) and kind is NUMBER:
            if value != round(value) or value < 1:
                raise LanguageError([Problem(*where, f"{path} must be a whole number above 0")])
            value = round(value)
        setattr(holder, name, value)
    return tunables
