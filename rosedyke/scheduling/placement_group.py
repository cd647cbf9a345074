"""Lets the tasks of a job start in few groups.

Load: wide jobs arrive at a nearly full pool.  A job counts only when its last task has ended, so
tasks that start long before the others of their job occupy capacity early without a benefit.
"""

import attrs

# Longest wait for more capacity, as a share of the job's objective.
MAX_HOLD_SHARE = 0.1
# A job is held if less than this share of its waiting tasks fits.
MIN_FITTING_SHARE = 0.5


@attrs.frozen
class Hold:
    """A job that waits for one more task end; it is held only once.

    Attributes
    ----------
    until : float
        When it starts anyway, in seconds.
    ended_runs : int
        Number of runs in the pool that had ended when the hold began.
    """

    until: float
    ended_runs: int

    def is_active(self, now: float, ended_runs: int) -> bool:
        """Return whether no run has ended since and the time is not over."""
        return now < self.until and ended_runs == self.ended_runs


def new_hold(
    waiting: int, fitting: int, objective_s: float, ended_runs: int, now: float
) -> Hold | None:
    """Return the hold of a job that has not begun, None if it starts now.

    Parameters
    ----------
    waiting, fitting : int
        Number of its waiting tasks, and of those that fit now.  If none fits, nothing is held.
    ended_runs : int
        Number of runs in the pool that have ended.
    """
    if not 0 < fitting < MIN_FITTING_SHARE * waiting:
        return None
    return Hold(now + MAX_HOLD_SHARE * objective_s, ended_runs)
