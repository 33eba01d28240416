"""Hypothesis runs the same examples every time: the same verdict on every run.

What KNOWN-RED.txt lists may fail (``known_red.py``).
"""

from hypothesis import HealthCheck, settings

pytest_plugins = ["pytester", "tests.known_red"]

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
settings.load_profile("fixed")
