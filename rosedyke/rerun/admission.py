"""When a waiting job is given up because it can't be answered in time.

The load that this answers: a burst fills the queue beyond what can be served within the time that
callers wait.  Work that would end too late takes room from work that wouldn't, and the caller of
a job that waits in vain learns so only when its time is over.
"""

from rosedyke.rerun import owned_job, settings

# A caller that is refused for a full queue comes back after the queue has had time to empty.
RETRY_AFTER_S = 1.0
# Estimates are off by up to 40%, and objectives are reckoned by them.  A job of which nothing has
# run is refused in time to be sent elsewhere; one that has begun gets the benefit of the doubt.
ESTIMATE_ERROR = 1.4


def useful_until(owned: owned_job.OwnedJob, rerun_settings: settings.RerunSettings) -> float:
    """Return until when an answer is of use to the job's caller."""
    useful_s = rerun_settings.late_factor * owned.work.objective_s
    if owned.has_started:
        useful_s *= ESTIMATE_ERROR
    return owned.arrived_at + min(owned.work.timeout_s, useful_s)


def is_hopeless(
    owned: owned_job.OwnedJob, now: float, fastest: float, rerun_settings: settings.RerunSettings
) -> bool:
    """Return whether a task of a job waits that can't end in time even if it started now.

    Parameters
    ----------
    fastest : float
        Speed of the fastest server that it may run on.
    """
    longest_s = max((task.step.estimate_s for task in owned.waiting_tasks()), default=None)
    if longest_s is None:
        return False
    return now + longest_s / max(fastest, 0.1) > useful_until(owned, rerun_settings)
