"""Aggregates metrics and sends them to statsd once per period."""

import collections
from typing import Protocol

import statsd

from rosedyke import runtime

FLUSH_PERIOD_S = 1.0
# Samples of one timer in one period; further ones are dropped to bound the bandwidth.
MAX_TIMINGS_PER_PERIOD = 50


class Pipeline(Protocol):
    """The part of ``statsd``'s pipeline that is used."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record milliseconds."""

    def send(self) -> None:
        """Send everything in as few datagrams as possible."""


def connect(address: str, prefix: str) -> Pipeline:
    """Return a pipeline to a statsd server at ``ip:port``."""
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host.strip("[]"), int(port), prefix=prefix).pipeline()


class StatsdReporter:
    """Implements ``metric.Sink`` by aggregating metrics and sending them once per period.

    Parameters
    ----------
    pipeline : Pipeline
        Batches metrics into datagrams.
    clock : Runtime
        Sleeps between two periods.
    """

    def __init__(self, pipeline: Pipeline, clock: runtime.Runtime):
        self.pipeline = pipeline
        self.clock = clock
        self.counts: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, list[float]] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counts[stat] += count

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[stat] = value

    def timing(self, stat: str, delta: float) -> None:
        """Record milliseconds; samples over the limit of the period are dropped."""
        values = self.timings.setdefault(stat, [])
        if len(values) < MAX_TIMINGS_PER_PERIOD:
            values.append(delta)

    def run(self) -> None:
        """Send once per period, forever."""
        while True:
            self.clock.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Send the metrics recorded since the last flush."""
        counts, self.counts = self.counts, collections.Counter()
        timings, self.timings = self.timings, {}
        for stat, count in counts.items():
            self.pipeline.incr(stat, count)
        for stat, value in self.gauges.items():
            self.pipeline.gauge(stat, value)
        for stat, values in timings.items():
            for value in values:
                self.pipeline.timing(stat, value)
        self.pipeline.send()
