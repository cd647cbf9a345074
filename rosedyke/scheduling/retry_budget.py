"""A budget for resubmissions inside the fleet.

Load: an overload in which refused, withdrawn and failed tasks are submitted again and again, so
that the resubmissions themselves fill links and servers.
"""

import collections

import attrs

WINDOW_S = 10.0
# Resubmissions for each accepted job.
SHARE = 0.1
# Resubmissions a second that are allowed in any case, so that a small instance can repair failures.
BASE_PER_S = 10.0
# Jobs and resubmissions are counted in intervals of this length.
INTERVAL_S = 0.5


@attrs.define
class Interval:
    """The counts of one interval that began at ``began_at``."""

    began_at: float
    accepted: int = 0
    spent: int = 0


@attrs.define
class RetryBudget:
    """Counts accepted jobs and resubmissions of the last ten seconds.

    Attributes
    ----------
    intervals : deque of Interval
        From the oldest to the latest.
    accepted, spent : int
        Sums over all intervals.
    """

    intervals: collections.deque[Interval] = attrs.Factory(collections.deque)
    accepted: int = 0
    spent: int = 0

    def record_accepted(self, now: float) -> None:
        """Count a job that this instance has accepted."""
        self._current(now).accepted += 1
        self.accepted += 1

    def try_spend(self, now: float) -> bool:
        """Count one resubmission; return false, and count nothing, if the budget is spent."""
        current = self._current(now)
        if self.spent + 1 > SHARE * self.accepted + BASE_PER_S * WINDOW_S:
            return False
        current.spent += 1
        self.spent += 1
        return True

    def _current(self, now):
        while self.intervals and now - self.intervals[0].began_at >= WINDOW_S:
            expired = self.intervals.popleft()
            self.accepted -= expired.accepted
            self.spent -= expired.spent
        if not self.intervals or now - self.intervals[-1].began_at >= INTERVAL_S:
            self.intervals.append(Interval(now))
        return self.intervals[-1]
