"""Sends metrics to statsd once a period instead of one datagram for each event."""

import collections
from typing import Protocol

import statsd

from rosedyke import runtime

PERIOD_S = 1.0
# Of each timer in one period; more would cost bandwidth and tell little.
MAX_TIMINGS = 50


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


class Reporter:
    """Implements ``metric.Sink``: adds up what happens and sends it once a period.

    Parameters
    ----------
    pipeline : Pipeline
        Where to send.
    clock : Runtime
        For the period.
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
        """Record milliseconds, the first ones of each period."""
        values = self.timings.setdefault(stat, [])
        if len(values) < MAX_TIMINGS:
            values.append(delta)

    def run(self) -> None:
        """Send once a period for ever."""
        while True:
            self.clock.sleep(PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Send what has come together since the last time."""
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
