"""Admission control: detects waiting jobs that can no longer finish in time.

During overload, work that would finish too late takes capacity from work that would not, and its
caller would learn of the failure only at its timeout.
"""

from rosedyke.rerunnable_jobs import owned_job, settings

# Time for the queue to drain before a refused caller retries.
RETRY_AFTER_S = 1.0
# Estimates are off by up to 40%.  Jobs that have started are given this much more time; others are
# refused early, while callers can still send them elsewhere.
ESTIMATE_ERROR = 1.4


def useful_until(owned: owned_job.OwnedJob, timing: settings.RerunSettings) -> float:
    """Return the time after which the caller no longer needs an answer."""
    useful_s = timing.late_factor * owned.work.objective_s
    if owned.has_started:
        useful_s *= ESTIMATE_ERROR
    return owned.arrived_at + min(owned.work.timeout_s, useful_s)


def is_infeasible(
    owned: owned_job.OwnedJob, now: float, fastest: float, timing: settings.RerunSettings
) -> bool:
    """Return whether a waiting task would finish too late even if it started now.

    Parameters
    ----------
    fastest : float
        Speed of the fastest server.
    """
    longest_s = max((task.step.estimate_s for task in owned.waiting_tasks()), default=None)
    if longest_s is None:
        return False
    return now + longest_s / max(fastest, 0.1) > useful_until(owned, timing)
