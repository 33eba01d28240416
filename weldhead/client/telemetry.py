"""Counts, latencies and traces of a client.

Latencies need the package hdrh and traces the package opentelemetry; each of them is left out if
its package is not installed.
"""

import contextlib
from collections import Counter
from collections.abc import Iterator
from typing import Any

from weldhead.clock import MILLISECOND_US

#: Histograms record latencies from a millisecond to an hour, with two significant digits.
_MAX_LATENCY_MS = 3_600_000


def _new_histogram() -> Any:
    try:
        from hdrh.histogram import HdrHistogram
    except ImportError:
        return None
    return HdrHistogram(1, _MAX_LATENCY_MS, 2)


class Span:
    """The trace span of a submission, with an event for each try."""

    def __init__(self, span: Any) -> None:
        self._span = span

    def event(self, name: str, **attributes: str | int) -> None:
        """Add an event to the span."""
        if self._span is not None:
            self._span.add_event(name, attributes)


class Telemetry:
    """A client's event counts by name, latencies by step, and one trace span a submission."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._latencies: dict[str, Any] = {}
        try:
            from opentelemetry import trace
        except ImportError:
            self._tracer: Any = None
        else:
            self._tracer = trace.get_tracer("weldhead.client")

    def count(self, name: str, amount: int = 1) -> None:
        """Add to the count of an event."""
        self.counts[name] += amount

    def record_latency(self, step: str, duration_us: int) -> None:
        """Record the time from sending a step's request to its answer."""
        if step not in self._latencies:
            self._latencies[step] = _new_histogram()
        histogram = self._latencies[step]
        if histogram is not None:
            histogram.record_value(max(1, min(_MAX_LATENCY_MS, duration_us // MILLISECOND_US)))

    def quantiles_ms(self, step: str, *shares: float) -> list[float] | None:
        """Return quantiles of a step's latencies, or None if they are not measured."""
        histogram = self._latencies.get(step)
        if histogram is None:
            return None
        return [float(histogram.get_value_at_percentile(100 * share)) for share in shares]

    @contextlib.contextmanager
    def span(self, key: str) -> Iterator[Span]:
        """Open the trace span of a submission for the duration of a ``with`` block."""
        if self._tracer is None:
            yield Span(None)
            return
        with self._tracer.start_as_current_span(
            "weldhead.submission", attributes={"weldhead.key": key}
        ) as span:
            yield Span(span)
