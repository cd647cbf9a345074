"""Distributes a job's tasks over a service's pools by expected finish time."""

import attrs

from rosedyke.dispatch import messages


@attrs.define
class PoolEstimate:
    """Load estimate of a pool, updated as the tasks of a job are assigned to it.

    Attributes
    ----------
    key : str
        The pool's name.
    free : list of [float, int]
        ``[slowness, count]`` of the free slots, fastest first.
    queued_s : float
        Reference seconds of work queued ahead.
    rate : float
        Throughput in reference seconds per second.
    next_free_s : float
        Expected time until the next busy slot becomes free.
    slowness : float
        Mean slowness of the slots.
    """

    key: str
    free: list[list]
    queued_s: float
    rate: float
    next_free_s: float
    slowness: float

    def finish_s(self, reference_s: float) -> float:
        """Return the expected seconds until one more task would finish."""
        queue_wait_s = self.queued_s / self.rate
        queued_finish_s = queue_wait_s + self.next_free_s + reference_s * self.slowness
        if not self.free:
            return queued_finish_s
        return min(queued_finish_s, queue_wait_s + reference_s * self.free[0][0])

    def add(self, reference_s: float) -> None:
        """Add one task to the estimate."""
        if not self.free:
            self.queued_s += reference_s
            return
        self.free[0][1] -= 1
        if not self.free[0][1]:
            self.free.pop(0)


def estimate(key: str, report: messages.PoolReport, work_s: float = float("inf")) -> PoolEstimate:
    """Return a pool's estimate for a new job of ``work_s`` reference seconds."""
    slots = max(1, report.slots)
    rate = max(report.rate, 1e-6)
    slowness = slots / rate
    busy_s = report.running_s * slowness / slots
    return PoolEstimate(
        key,
        [list(slots_at_speed) for slots_at_speed in report.free],
        report.ahead_s(work_s),
        rate,
        busy_s / slots,
        slowness,
    )


def split(tasks: list[tuple[float, int]], estimates: list[PoolEstimate]) -> dict[str, list[int]]:
    """Return the task indices assigned to each pool.

    Parameters
    ----------
    tasks : list of (float, int)
        ``(reference_s, index)`` of each task.
    estimates : list of PoolEstimate
        Usable pools.
    """
    indices_by_pool: dict[str, list[int]] = {}
    for reference_s, index in sorted(tasks, reverse=True):
        best = min(estimates, key=lambda candidate: candidate.finish_s(reference_s))
        best.add(reference_s)
        indices_by_pool.setdefault(best.key, []).append(index)
    return indices_by_pool
