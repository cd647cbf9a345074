"""Counters, gauges and timers, kept in memory for ``rosedyke status`` and sent to statsd.

docs/METRICS.md is generated from the metrics defined with ``define``.
"""

import bisect
import collections
from collections.abc import Mapping
from typing import Protocol

import attrs

catalogue: dict[str, "Metric"] = {}


@attrs.frozen
class Metric:
    """Definition of a metric.

    Attributes
    ----------
    name : str
        ``package.metric``, sent to statsd with the configured prefix.
    kind : str
        ``counter``, ``gauge`` or ``timer`` (milliseconds).
    meaning : str
        Description of what it counts, for docs/METRICS.md.
    label : str
        Name of the label of a gauge that has several values; empty if it has one.
    """

    name: str
    kind: str
    meaning: str
    label: str = ""


def define(name: str, kind: str, meaning: str, label: str = "") -> Metric:
    """Add a metric to the catalogue and return it."""
    if name in catalogue:
        raise ValueError(f"metric {name} is defined twice")
    catalogue[name] = Metric(name, kind, meaning, label)
    return catalogue[name]


class Sink(Protocol):
    """The part of ``statsd.StatsClient`` that is used."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record milliseconds."""


# Upper bounds of a histogram's buckets, from a round trip within a data centre to the longest
# timeout of callers.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


@attrs.define
class Histogram:
    """Counts of a timer's durations by bucket; the last bucket has no upper bound."""

    counts: list[int] = attrs.Factory(lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0

    def add(self, milliseconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        self.total_ms += milliseconds


counts: collections.Counter[str] = collections.Counter()
histograms: dict[str, Histogram] = collections.defaultdict(Histogram)
gauges: dict[str, float] = {}
# Values of the gauges with a label, by name and by value of the label.
labelled_gauges: dict[str, dict[str, float]] = {}
_sink: Sink | None = None


def set_sink(sink: Sink | None) -> None:
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


def gauge_by_label(metric: Metric, values: Mapping[str, float]) -> None:
    """Replace all values of a gauge with a label; they are not sent to the sink."""
    labelled_gauges[metric.name] = dict(values)


def timing(metric: Metric, milliseconds: float) -> None:
    """Record a duration."""
    histograms[metric.name].add(milliseconds)
    if _sink is not None:
        _sink.timing(metric.name, milliseconds)
