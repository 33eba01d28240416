"""Parsing, checking and evaluating files in the operators' settings language."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldhead.tunables.defaults import Tunables
from weldhead.tunables.language import (
    FACT_TYPES,
    LanguageError,
    evaluate_tunables,
    parse_and_check,
    tunable_types,
)

FACT_VALUES = {name: 2e6 if kind == "duration" else 3.0 for name, kind in FACT_TYPES.items()}


def test_expressions_of_all_types_are_evaluated() -> None:
    tunables = evaluate_tunables(
        """
        # keep machines a little longer
        let base = 2 * report + 500ms
        fleet.keep_idle = max(base, 1s, lease)
        preemptor.period = if nodes > 2 and not (teams == 1) then 250ms else 2s
        direct_runs = 1 < 2 or false
        fetch_weight = 1 / 4
        fleet.most_per_look = 2 * 3
        """,
        FACT_VALUES,
    )
    assert tunables.fleet.keep_idle_us == 4_500_000
    assert tunables.preemptor.period_us == 250_000
    assert tunables.direct_runs is True
    assert tunables.fetch_weight == 0.25
    assert tunables.fleet.most_per_look == 6
    assert tunables.leadership == Tunables().leadership


@pytest.mark.parametrize(
    ("text", "line", "column"),
    [
        ("preemptor.period = 3", 1, 20),
        ("\n\nno.such = 3s", 3, 1),
        ("fleet.keep_idle = 3s + 4", 1, 19),
        ("fleet.keep_idle = 3s +", 1, 23),
        ("let a = 1\nlet a = 2", 2, 5),
        ("direct_runs = 1", 1, 15),
        ("direct_runs = unknown", 1, 15),
        ("direct_runs = if 1 then true else false", 1, 18),
        ("fleet.keep_idle = report * lease", 1, 19),
        ("fleet.keep_idle = 1s fleet.keep_idle = 2s", 1, 22),
        ("fleet.keep_idle = $", 1, 19),
        ("fleet.keep_idle = floor(1s)", 1, 19),
    ],
)
def test_error_has_line_and_column(text: str, line: int, column: int) -> None:
    with pytest.raises(LanguageError) as raised:
        parse_and_check(text)
    problem = raised.value.problems[0]
    assert (problem.line, problem.column) == (line, column)


def test_all_errors_of_a_file_are_listed() -> None:
    with pytest.raises(LanguageError) as raised:
        parse_and_check("a.b = 1\npreemptor.period = true\nlet x = y")
    assert [problem.line for problem in raised.value.problems] == [1, 2, 3]


@pytest.mark.parametrize(
    "text",
    [
        "fetch_weight = 1 / (nodes - 3)",
        "fleet.keep_idle = -(1s)",
        "fleet.keep_idle = 0s",
        "fleet.most_per_look = 1.5",
    ],
)
def test_value_that_is_not_allowed_fails_the_evaluation(text: str) -> None:
    parse_and_check(text)
    with pytest.raises(LanguageError):
        evaluate_tunables(text, FACT_VALUES)


ARITHMETIC = st.recursive(
    st.integers(0, 50).map(str),
    lambda inner: st.builds(
        lambda a, op, b: f"({a} {op} {b})", inner, st.sampled_from("+-*"), inner
    ),
    max_leaves=8,
)


@given(ARITHMETIC)
def test_arithmetic_agrees_with_python(expression: str) -> None:
    expected = eval(expression)
    text = f"fetch_weight = max({expression}, -({expression}))"
    assert evaluate_tunables(text, FACT_VALUES).fetch_weight == abs(expected)


@given(st.text(max_size=60))
def test_any_text_is_a_file_or_an_error_with_a_place(text: str) -> None:
    try:
        parse_and_check(text)
    except LanguageError as error:
        assert all(p.line >= 1 and p.column >= 1 for p in error.problems)


@pytest.mark.parametrize("name", sorted(tunable_types()))
def test_every_tunable_can_be_set(name: str) -> None:
    value = {"duration": "5s", "number": "3", "truth value": "false"}[tunable_types()[name]]
    assert evaluate_tunables(f"{name} = {value}", FACT_VALUES) != Tunables()
