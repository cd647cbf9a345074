"""Learns how the run times of each queue differ from its callers' estimates.

Load: estimates that are too low or too high for a whole kind of work, by which jobs would be
refused too late or although they could be served.
"""

import collections

import attrs

# Recent runs of a queue by which its ratio is estimated.
MAX_RUNS = 200
# Below this number of runs the quantiles are too uncertain, and the ratio is unknown.
MIN_RUNS = 20
UNKNOWN_RATIO = 1.0


@attrs.define
class QueueRuns:
    """The recent runs of one queue.

    Attributes
    ----------
    ratios : deque of float
        Measured run time on a server of speed 1, divided by the estimate.
    quantiles : dict of float to float
        Quantiles that were computed since the last run.
    """

    ratios: collections.deque[float] = attrs.Factory(lambda: collections.deque(maxlen=MAX_RUNS))
    quantiles: dict[float, float] = attrs.Factory(dict)


@attrs.define
class RunTimes:
    """Ratios of run time to estimate, by queue."""

    queues: dict[str, QueueRuns] = attrs.Factory(dict)

    def record(self, queue: str, estimate_s: float, measured_s_at_speed_1: float) -> None:
        """Add a run that completed."""
        if estimate_s <= 0 or measured_s_at_speed_1 <= 0:
            return
        runs = self.queues.get(queue)
        if runs is None:
            runs = self.queues[queue] = QueueRuns()
        runs.ratios.append(measured_s_at_speed_1 / estimate_s)
        runs.quantiles.clear()

    def ratio(self, queue: str, quantile: float) -> float:
        """Return a quantile of a queue's ratios, 1 while it is unknown."""
        runs = self.queues.get(queue)
        if runs is None or len(runs.ratios) < MIN_RUNS:
            return UNKNOWN_RATIO
        value = runs.quantiles.get(quantile)
        if value is None:
            ordered = sorted(runs.ratios)
            value = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
            runs.quantiles[quantile] = value
        return value
