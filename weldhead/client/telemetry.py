"""Counts, latencies and traces of a client; the libraries for them are used where installed."""

import contextlib
from collections import Counter
from collections.abc import Iterator
from typing import Any

from weldhead.clock import MILLISECOND_US

#: Latencies are kept from a millisecond to an hour, with two digits.
_HIGHEST_MS = 3_600_000


def _histogram() -> Any:
    try:
        from hdrh.histogram import HdrHistogram
    except ImportError:
        return None
    return HdrHistogram(1, _HIGHEST_MS, 2)


class Span:
    """A submission's trace: an event a try."""

    def __init__(self, span: Any) -> None:
        self._span = span

    def event(self, name: str, **attributes: str | int) -> None:
        """Note something that happened."""
        if self._span is not None:
            self._span.add_event(name, attributes)


class Telemetry:
    """What a client counts: ``counts`` by name, ``latencies`` by step, spans by submission."""

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
        """Count an event."""
        self.counts[name] += amount

    def took(self, step: str, duration_us: int) -> None:
        """Record how long an answer took."""
        if step not in self._latencies:
            self._latencies[step] = _histogram()
        histogram = self._latencies[step]
        if histogram is not None:
            histogram.record_value(max(1, min(_HIGHEST_MS, duration_us // MILLISECOND_US)))

    def quantiles_ms(self, step: str, *shares: float) -> list[float] | None:
        """Return quantiles of a step's latencies; None where they are not measured."""
        histogram = self._latencies.get(step)
        if histogram is None:
            return None
        return [float(histogram.get_value_at_percentile(100 * share)) for share in shares]

    @contextlib.contextmanager
    def span(self, key: str) -> Iterator[Span]:
        """Trace a submission."""
        if self._tracer is None:
            yield Span(None)
            return
        with self._tracer.start_as_current_span(
            "weldhead.submission", attributes={"weldhead.key": key}
        ) as span:
            yield Span(span)
