"""Learns how the run times of each queue differ from its callers' estimates.

Load: estimates that are too low or too high for a whole kind of work, by which jobs would be
refused too late or although they could be served.
"""

import collections
from collections.abc import Mapping

import attrs

# Recent runs of a queue by which its ratio is estimated.
MAX_RUNS = 200
# Below this number of runs the quantiles are too uncertain, and the ratio is unknown.
MIN_RUNS = 20
UNKNOWN_RATIO = 1.0
# Bounds of the quantiles that another instance sends.  Single runs take up to seven times their
# estimate; a median beyond the bounds is a fault of the sender.
MIN_PERCENT, MAX_PERCENT = 10, 1_000
# Bounds the memory that another instance can use; a configuration has some tens of queues.
MAX_RECEIVED_QUEUES = 1_000
# Received are two quantiles; from here on the higher one is the nearer.
BETWEEN_QUANTILES = 0.7


@attrs.frozen
class RatioQuantiles:
    """Quantiles of the ratios of one queue, as sent to another instance.

    Attributes
    ----------
    median_percent, p90_percent : int
        The median and the 90% quantile of the ratios, in percent.
    runs : int
        Number of runs on which they are based.
    """

    median_percent: int
    p90_percent: int
    runs: int

    def bounded(self) -> "RatioQuantiles":
        """Return plausible quantiles, in ascending order."""
        median_percent = min(max(self.median_percent, MIN_PERCENT), MAX_PERCENT)
        p90_percent = min(max(self.p90_percent, median_percent), MAX_PERCENT)
        return RatioQuantiles(median_percent, p90_percent, min(self.runs, MAX_RUNS))

    def differs_from(self, other: "RatioQuantiles | None", share: float) -> bool:
        """Return whether a quantile differs by at least a share of the other's."""
        return other is None or any(
            abs(percent - other_percent) >= share * other_percent
            for percent, other_percent in (
                (self.median_percent, other.median_percent),
                (self.p90_percent, other.p90_percent),
            )
        )


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
    """Ratios of run time to estimate, by queue.

    Attributes
    ----------
    queues : dict of str to QueueRuns
        The recent runs that this instance has seen end.
    received : dict of str to RatioQuantiles
        Quantiles from earlier owners, for queues of which this instance has too few runs.
    """

    queues: dict[str, QueueRuns] = attrs.Factory(dict)
    received: dict[str, RatioQuantiles] = attrs.Factory(dict)

    def record(self, queue: str, estimate_s: float, measured_s_at_speed_1: float) -> None:
        """Add a run that completed."""
        if estimate_s <= 0 or measured_s_at_speed_1 <= 0:
            return
        runs = self.queues.get(queue)
        if runs is None:
            runs = self.queues[queue] = QueueRuns()
        runs.ratios.append(measured_s_at_speed_1 / estimate_s)
        runs.quantiles.clear()
        if self.received and len(runs.ratios) >= MIN_RUNS:
            self.received.pop(queue, None)

    def ratio(self, queue: str, quantile: float) -> float:
        """Return a quantile of a queue's ratios, 1 while it is unknown.

        Below ``MIN_RUNS`` runs, this is the nearer one of the received quantiles.
        """
        runs = self.queues.get(queue)
        if runs is None or len(runs.ratios) < MIN_RUNS:
            received = self.received.get(queue)
            if received is None:
                return UNKNOWN_RATIO
            is_high = quantile >= BETWEEN_QUANTILES
            return (received.p90_percent if is_high else received.median_percent) / 100
        value = runs.quantiles.get(quantile)
        if value is None:
            ordered = sorted(runs.ratios)
            value = ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
            runs.quantiles[quantile] = value
        return value

    def export(self) -> dict[str, RatioQuantiles]:
        """Return the known quantiles of all queues, including received ones."""
        return self.received | {
            queue: RatioQuantiles(
                round(100 * self.ratio(queue, 0.5)),
                round(100 * self.ratio(queue, 0.9)),
                len(runs.ratios),
            ).bounded()
            for queue, runs in self.queues.items()
            if len(runs.ratios) >= MIN_RUNS
        }

    def import_quantiles(self, values: Mapping[str, RatioQuantiles]) -> list[str]:
        """Use an earlier owner's quantiles until there are enough runs; return their queues.

        Quantiles that are based on too few runs are ignored.
        """
        imported = []
        for queue, quantiles in values.items():
            has_own = queue in self.queues and len(self.queues[queue].ratios) >= MIN_RUNS
            has_room = queue in self.received or len(self.received) < MAX_RECEIVED_QUEUES
            if has_room and not has_own and quantiles.runs >= MIN_RUNS:
                self.received[queue] = quantiles.bounded()
                imported.append(queue)
        return imported
