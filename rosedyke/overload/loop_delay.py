"""Measures how late the event loop runs its timers.

Load: the instance has more to run than its share of a core allows, or the process is stopped by
the scheduler for part of each period.
"""

import collections
from collections.abc import Callable

from rosedyke import runtime as runtime_module

SAMPLE_INTERVAL_S = 0.05
# While the instance is idle: each wake-up of an idle process takes about 0.2 ms of processor time.
# A pause that is long enough for peers to look lost (0.3 s) still contains a sample.
IDLE_SAMPLE_INTERVAL_S = 0.15
# Weight of a new sample; the mean follows a change within about a quarter of a second.
SAMPLE_WEIGHT = 0.2
# A longer sample counts as this in the mean, so that one pause of the process is no overload.
MAX_SAMPLE_S = 0.1
MAXIMUM_WINDOW_S = 1.0


class LoopDelay:
    """Delay of the timers of one process, 0 until ``run`` is started.

    Attributes
    ----------
    mean_s : float
        Exponentially weighted mean of the delays.
    due_at : float or None
        When the next timer should fire.
    is_idle : callable
        Returns whether the instance has no jobs; never by default.
    samples : deque of (float, float)
        Time and delay of the samples of the last second that no later one exceeds, so that the
        first is the longest.
    """

    def __init__(self, runtime: runtime_module.Runtime):
        self.runtime = runtime
        self.is_idle: Callable[[], bool] = lambda: False
        self.mean_s = 0.0
        self.due_at: float | None = None
        self.samples: collections.deque[tuple[float, float]] = collections.deque()

    def run(self) -> None:
        """Measure until the task is cancelled."""
        while True:
            interval_s = IDLE_SAMPLE_INTERVAL_S if self.is_idle() else SAMPLE_INTERVAL_S
            self.due_at = self.runtime.now() + interval_s
            self.runtime.sleep(interval_s)
            self.record(self.runtime.now())

    def record(self, now: float) -> None:
        """Record that the timer that was due has fired."""
        delay_s = max(0.0, now - self.due_at)
        self.mean_s += SAMPLE_WEIGHT * (min(delay_s, MAX_SAMPLE_S) - self.mean_s)
        while self.samples and self.samples[-1][1] <= delay_s:
            self.samples.pop()
        self.samples.append((now, delay_s))
        while now - self.samples[0][0] > MAXIMUM_WINDOW_S:
            self.samples.popleft()

    def delay_s(self, now: float) -> float:
        """Return the mean delay, or the delay of a timer that is overdue now if it is longer."""
        return max(self.mean_s, self._overdue_s(now))

    def maximum_s(self, now: float) -> float:
        """Return the longest delay of the last second."""
        for at, delay_s in self.samples:
            if now - at <= MAXIMUM_WINDOW_S:
                return max(self._overdue_s(now), delay_s)
        return self._overdue_s(now)

    def _overdue_s(self, now):
        return max(0.0, now - self.due_at) if self.due_at is not None else 0.0
