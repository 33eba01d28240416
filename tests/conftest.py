"""Fixtures of all tests. Hypothesis runs the same examples every time.

What KNOWN-RED.txt lists may fail (``support/known_red.py``).
"""

from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, settings

pytest.register_assert_rewrite("tests.support")

from tests.support.leaders import Clock, fixed_clock  # noqa: E402

pytest_plugins = ["pytester", "tests.support.known_red"]

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
settings.load_profile("fixed")


@pytest.fixture
def clock() -> Iterator[Clock]:
    """The clock of the leader under test; it stands until the test moves it."""
    with fixed_clock() as clock:
        yield clock
