"""Which submissions are accepted, and which are refused as malformed or as impossible to run."""

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.builders import job_spec, machine_type
from tests.support.submissions import GOOD
from weldhead.admission.feasibility import check_feasible
from weldhead.protocol.settings import Team
from weldhead.protocol.validation import SubmissionRefusedError, is_job_id, parse_submission

NULLABLE = {"frames", "yard", "due_s"}


def test_valid_submission_with_an_unknown_field_is_accepted() -> None:
    spec = parse_submission(msgspec.json.encode(GOOD | {"something_new": [1, 2]}))
    assert (spec.id, spec.tasks, spec.priority_level, spec.estimate_us) == (
        "run-000412",
        16,
        2,
        240_000_000,
    )


@pytest.mark.parametrize("field", sorted(GOOD))
def test_missing_field_is_refused_unless_nullable(field: str) -> None:
    body = msgspec.json.encode({k: v for k, v in GOOD.items() if k != field})
    if field in NULLABLE:
        assert parse_submission(body).id == "run-000412"
        return
    with pytest.raises(SubmissionRefusedError) as refused:
        parse_submission(body)
    assert (refused.value.status, refused.value.field) == (400, field)


INVALID_VALUES: dict[str, list[Any]] = {
    "uid": ["", "job-1", "run-", "run-1/2", "run-1 ", 7, None],
    "jobclass": ["", 3, "x" * 1000],
    "owner": ["", None],
    "shape": ["gang", "BATCH", 1],
    "urgency": ["low", "", None],
    "pieces": [0, -1, 100_001, 1.5, "4", None, True],
    "cores": [-1, "2", None, 1e308],
    "cards": [-0.5],
    "ram_gb": [-1, []],
    "pull_gb": [-1],
    "frames": [[], [1], "m4"],
    "yard": ["", 1],
    "same_place": [0, "true", None],
    "expected_s": [-1, None],
    "due_s": [-1, "soon"],
}


@pytest.mark.parametrize(
    ("field", "value"),
    [(field, value) for field, values in INVALID_VALUES.items() for value in values],
)
def test_invalid_value_is_400_and_names_the_field(field: str, value: object) -> None:
    with pytest.raises(SubmissionRefusedError) as refused:
        parse_submission(msgspec.json.encode(GOOD | {field: value}))
    assert (refused.value.status, refused.value.field) == (400, field)


@given(st.binary(max_size=100) | st.text(max_size=50).map(lambda t: t.encode()))
def test_nonsense_is_400(body: bytes) -> None:
    with pytest.raises(SubmissionRefusedError) as refused:
        parse_submission(body)
    assert refused.value.status == 400


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 10**6) | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


@given(st.dictionaries(st.sampled_from(sorted(GOOD)), JSON, max_size=4))
def test_any_mutation_is_accepted_or_refused_cleanly(changes: dict[str, Any]) -> None:
    """A submission is either a valid job or refused with 400; no other error is raised."""
    try:
        body = msgspec.json.encode(GOOD | changes)
        spec = parse_submission(body)
    except SubmissionRefusedError as refused:
        assert refused.status == 400 and refused.reason
        return
    assert is_job_id(spec.id) and 1 <= spec.tasks <= 100_000 and spec.cpus >= 0


TEAMS = {"red": Team("red", 8, 16, 0, 2)}


CATALOG = [machine_type(), machine_type(name="g1", gpus=1.0, zones=("b",))]


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"team": "green"}, "owner"),
        ({"cpus": 5.0}, "frames"),
        ({"types": ("m9",)}, "frames"),
        ({"zone": "c"}, "frames"),
        ({"gpus": 1.0, "zone": "a"}, "frames"),
        ({"kind": "standing", "tasks": 9}, "cores"),
        ({"kind": "standing", "tasks": 3, "gpus": 1.0, "cpus": 1.0}, "cards"),
    ],
)
def test_job_that_can_never_run_is_422(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(SubmissionRefusedError) as refused:
        check_feasible(job_spec(**changes), TEAMS, CATALOG)
    assert (refused.value.status, refused.value.field) == (422, field)


@pytest.mark.parametrize(
    "changes", [{"tasks": 100_000}, {"kind": "standing", "tasks": 8}, {"gpus": 1.0, "zone": "b"}]
)
def test_job_that_can_run_is_accepted(changes: dict[str, Any]) -> None:
    check_feasible(job_spec(**changes), TEAMS, CATALOG)


@pytest.mark.parametrize(
    "needs", ["run-000001", 7, {}, [7], [None], ["run-1", "x"], ["run-"], [""], ["run-1/0"]]
)
def test_invalid_list_of_needed_jobs_is_400(needs: object) -> None:
    with pytest.raises(SubmissionRefusedError) as refusal:
        parse_submission(msgspec.json.encode(GOOD | {"waits_on": needs}))
    assert (refusal.value.status, refusal.value.field) == (400, "waits_on")


@pytest.mark.parametrize(
    ("needs", "expected"),
    [
        (None, None),
        ([], None),
        (["run-000001"], ("run-000001",)),
        (["run-2", "run-1", "run-2"], ("run-2", "run-1")),
    ],
)
def test_repeated_needed_jobs_count_once(needs: object, expected: object) -> None:
    spec = parse_submission(msgspec.json.encode(GOOD | {"waits_on": needs}))
    assert spec.needs == expected
    assert parse_submission(msgspec.json.encode(GOOD)).needs is None
