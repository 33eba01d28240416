"""The operators' settings language: parser, type checker and evaluator.

A file is a list of statements: ``let NAME = EXPRESSION`` defines a variable, and ``PATH =
EXPRESSION`` sets a tunable. There are three types: numbers, durations and truth values. The whole
file is checked before any expression is evaluated, and each error has a line and a column.
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

NUMBER, DURATION, BOOLEAN = "number", "duration", "truth value"

_UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_COMPARISON_OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "<": operator.lt, "<=": operator.le, ">": operator.gt, ">=": operator.ge,
    "==": operator.eq, "!=": operator.ne,
}  # fmt: skip
_FUNCTIONS: dict[str, Callable[..., Any]] = {"min": min, "max": max}

#: The types of the predefined variables, whose values come from the platform's settings file.
FACT_TYPES: Mapping[str, str] = {
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
    """An error in a file, and its position."""

    line: int
    column: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.text}"


class LanguageError(Exception):
    """A settings file is not valid; ``problems`` lists its errors."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def compute_fact_values(settings: Settings) -> dict[str, float]:
    """Return the values of the predefined variables; durations are in microseconds."""
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
    """Return the type of each tunable by its name."""
    return {name: type_name for name, (type_name, _, _) in _tunable_fields(Tunables()).items()}


def _tunable_fields(tunables: Any, prefix: str = "") -> dict[str, tuple[str, Any, str]]:
    """Map each tunable's name to its type, the object that has the value, and its field name."""
    tunable_fields: dict[str, tuple[str, Any, str]] = {}
    for tunable_field in dataclasses.fields(tunables):
        value = getattr(tunables, tunable_field.name)
        if dataclasses.is_dataclass(value):
            tunable_fields.update(_tunable_fields(value, f"{prefix}{tunable_field.name}."))
        elif isinstance(value, bool):
            tunable_fields[prefix + tunable_field.name] = (BOOLEAN, tunables, tunable_field.name)
        elif tunable_field.name.endswith("_us"):
            tunable_fields[prefix + tunable_field.name.removesuffix("_us")] = (
                DURATION,
                tunables,
                tunable_field.name,
            )
        else:
            tunable_fields[prefix + tunable_field.name] = (NUMBER, tunables, tunable_field.name)
    return tunable_fields


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
    """Infers the types of expressions and collects the errors of a file.

    A type is None or ``?`` if an error prevents inferring it; no further error is reported for it.
    """

    def __init__(self) -> None:
        self.variable_types: dict[str, str] = dict(FACT_TYPES)
        self.tunable_types = tunable_types()
        self.assigned_paths: set[str] = set()
        self.problems: list[Problem] = []

    def add_problem(self, node: Tree[Token] | Token, text: str) -> None:
        """Record an error at the position of a node."""
        position = node if isinstance(node, Token) else node.meta
        self.problems.append(
            Problem(getattr(position, "line", 1) or 1, getattr(position, "column", 1) or 1, text)
        )

    def check_statement(self, node: Tree[Token]) -> None:
        """Check a statement, and define its variable or mark its tunable as set."""
        target, expression = node.children
        type_name = self.infer_type(expression)
        if node.data == "let":
            assert isinstance(target, Token)
            if target in self.variable_types or target in _FUNCTIONS:
                self.add_problem(target, f"{target} is defined already")
            # The variable is defined even after an error, so that its uses are not reported too.
            self.variable_types[str(target)] = type_name or "?"
            return
        assert isinstance(target, Tree)
        path = ".".join(str(part) for part in target.children)
        expected_type = self.tunable_types.get(path)
        if expected_type is None:
            self.add_problem(target, f"there is no setting {path}")
        elif type_name not in (expected_type, None, "?"):
            self.add_problem(expression, f"{path} is a {expected_type}, not a {type_name}")
        if path in self.assigned_paths:
            self.add_problem(target, f"{path} is set twice")
        self.assigned_paths.add(path)

    def infer_type(self, node: Tree[Token] | Token) -> str | None:
        """Return the type of an expression, or None if it has an error, which is recorded."""
        assert isinstance(node, Tree)
        match node.data:
            case "number":
                return NUMBER
            case "duration":
                return DURATION
            case "true" | "false":
                return BOOLEAN
            case "variable":
                name = str(node.children[0])
                if name not in self.variable_types:
                    self.add_problem(node, f"{name} is not known here")
                    return None
                return self.variable_types[name]
            case "call":
                name = str(node.children[0])
                types = [self.infer_type(child) for child in node.children[1:]]
                if name not in _FUNCTIONS:
                    self.add_problem(node, f"there is no function {name}")
                    return None
                return self._require_same_type(node, types, (NUMBER, DURATION))
            case "choice":
                self._require_type(node.children[0], BOOLEAN)
                return self._require_same_type(
                    node,
                    [self.infer_type(c) for c in node.children[1:]],
                    (NUMBER, DURATION, BOOLEAN),
                )
            case "either" | "both" | "negate":
                for child in node.children:
                    self._require_type(child, BOOLEAN)
                return BOOLEAN
            case "compare":
                types = [self.infer_type(node.children[0]), self.infer_type(node.children[2])]
                self._require_same_type(node, types, (NUMBER, DURATION))
                return BOOLEAN
            case "add" | "subtract":
                return self._require_same_type(
                    node, [self.infer_type(child) for child in node.children], (NUMBER, DURATION)
                )
            case "minus":
                return self._require_same_type(
                    node, [self.infer_type(node.children[0])], (NUMBER, DURATION)
                )
            case "multiply" | "divide":
                return self._infer_product_type(node)
            case _:
                raise AssertionError(node.data)

    def _require_type(self, node: Tree[Token] | Token, expected_type: str) -> None:
        type_name = self.infer_type(node)
        if type_name not in (expected_type, None, "?"):
            self.add_problem(node, f"a {expected_type} is needed here, not a {type_name}")

    def _require_same_type(
        self, node: Tree[Token], types: list[str | None], allowed: tuple[str, ...]
    ) -> str | None:
        known_types = [type_name for type_name in types if type_name not in (None, "?")]
        for type_name in known_types:
            if type_name not in allowed or type_name != known_types[0]:
                text = f"a {type_name} does not fit here"
                if type_name != known_types[0]:
                    text = f"a {known_types[0]} and a {type_name} do not go together"
                self.add_problem(node, text)
                return None
        return known_types[0] if known_types else None

    def _infer_product_type(self, node: Tree[Token]) -> str | None:
        left, right = (self.infer_type(child) for child in node.children)
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
        self.add_problem(node, f"a {left} and a {right} do not go together")
        return None


def parse_and_check(text: str) -> Tree[Token]:
    """Parse and check a file; raise LanguageError if it has errors.

    A file that can be parsed is checked to its end, so that all its errors are reported together.
    """
    tree = _parse(text)
    checker = _Checker()
    for statement in tree.children:
        assert isinstance(statement, Tree)
        checker.check_statement(statement)
    if checker.problems:
        raise LanguageError(checker.problems)
    return tree


class _Evaluator:
    """Computes the values of the expressions in a checked file."""

    def __init__(self, facts: Mapping[str, float]) -> None:
        self.variables: dict[str, Any] = dict(facts)

    def evaluate(self, node: Tree[Token] | Token) -> Any:
        """Return the value of an expression; durations are in microseconds."""
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
                return self.variables[str(children[0])]
            case "call":
                return _FUNCTIONS[str(children[0])](self.evaluate(c) for c in children[1:])
            case "choice":
                return self.evaluate(children[1] if self.evaluate(children[0]) else children[2])
            case "either":
                return self.evaluate(children[0]) or self.evaluate(children[1])
            case "both":
                return self.evaluate(children[0]) and self.evaluate(children[1])
            case "negate":
                return not self.evaluate(children[0])
            case "compare":
                compare = _COMPARISON_OPERATORS[str(children[1])]
                return compare(self.evaluate(children[0]), self.evaluate(children[2]))
            case "minus":
                return -self.evaluate(children[0])
            case "add":
                return self.evaluate(children[0]) + self.evaluate(children[1])
            case "subtract":
                return self.evaluate(children[0]) - self.evaluate(children[1])
            case "multiply":
                return self.evaluate(children[0]) * self.evaluate(children[1])
            case "divide":
                divisor = self.evaluate(children[1])
                if not divisor:
                    raise LanguageError(
                        [Problem(node.meta.line, node.meta.column, "division by zero")]
                    )
                return self.evaluate(children[0]) / divisor
            case _:
                raise AssertionError(node.data)


def evaluate_tunables(text: str, facts: Mapping[str, float]) -> Tunables:
    """Return the default tunables with the changes that the file makes.

    Raise LanguageError if the file is not valid or a value is not allowed.
    """
    tree = parse_and_check(text)
    tunables = Tunables()
    fields = _tunable_fields(tunables)
    evaluator = _Evaluator(facts)
    for statement in tree.children:
        assert isinstance(statement, Tree)
        target, expression = statement.children
        value = evaluator.evaluate(expression)
        if statement.data == "let":
            evaluator.variables[str(target)] = value
            continue
        assert isinstance(target, Tree)
        path = ".".join(str(part) for part in target.children)
        type_name, owner, name = fields[path]
        position = (target.meta.line, target.meta.column)
        if type_name is not BOOLEAN and value < 0:
            raise LanguageError([Problem(*position, f"{path} must not be negative")])
        if type_name is DURATION:
            value = round(value)
            if value < 1_000:
                raise LanguageError([Problem(*position, f"{path} must be 1ms or more")])
        elif isinstance(getattr(owner, name), int) and type_name is NUMBER:
            if value != round(value) or value < 1:
                raise LanguageError([Problem(*position, f"{path} must be a whole number above 0")])
            value = round(value)
        setattr(owner, name, value)
    return tunables
