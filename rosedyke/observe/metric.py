"""Counters, gauges and timers by statsd, also kept in memory for ``rosedyke status``.

Metrics are declared once, so that docs/METRICS.md can be checked against the code.
"""

import bisect
import collections
from typing import Protocol

import attrs

catalogue: dict[str, "Metric"] = {}


@attrs.frozen
class Metric:
    """One declared metric.

    Attributes
    ----------
    name : str
        ``package.metric``, as sent to statsd behind the configured prefix.
    kind : str
        ``counter``, ``gauge`` or ``timer`` (milliseconds).
    meaning : str
        What it counts, for the docs.
    """

    name: str
    kind: str
    meaning: str


def define(name: str, kind: str, meaning: str) -> Metric:
    """Add a metric to the catalogue and return it."""
    if name in catalogue:
        raise ValueError(f"metric {name} is defined twice")
    catalogue[name] = Metric(name, kind, meaning)
    return catalogue[name]


class Sink(Protocol):
    """The part of ``statsd.StatsClient`` that is used."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record milliseconds."""


# Upper bounds of a timer's buckets in milliseconds: each about twice the one before, from a round
# trip within a data centre to the longest that callers wait.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


@attrs.define
class Histogram:
    """How often a timer showed which duration; the last count is of longer ones."""

    counts: list[int] = attrs.Factory(lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0

    def add(self, milliseconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        self.total_ms += milliseconds


counts: collections.Counter[str] = collections.Counter()
histograms: dict[str, Histogram] = collections.defaultdict(Histogram)
gauges: dict[str, float] = {}
_sink: Sink | None = None


def use(sink: Sink | None) -> None:
    """Send all further metrics to ``sink``."""
    global _sink
    _sink = sink


def count(metric: Metric, amount: int = 1) -> None:
    """Add to a counter."""
    counts[metric.name] += amount
    if _sink is not None:
        _sink.incr(metric.name, amount)


def gauge(metric: Metric, value: float) -> None:
    """Set a gauge."""
    gauges[metric.name] = value
    if _sink is not None:
        _sink.gauge(metric.name, value)


def timing(metric: Metric, milliseconds: float) -> None:
    """Record a duration."""
    histograms[metric.name].add(milliseconds)
    if _sink is not None:
        _sink.timing(metric.name, milliseconds)
