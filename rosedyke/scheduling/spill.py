"""Decides how much longer a wait a job accepts before it goes to another data centre.

Load: for seconds to minutes, one data centre has more callers, or fewer servers, than the others.
While little local capacity is free, jobs that can afford it leave first, so that the rest is free
for jobs whose objective leaves no time for another data centre.
"""

# Local capacity is scarce if a smaller share of it is free: with the usual 70% in use, most tasks
# still find a free server.
SCARCE_FREE_SHARE = 0.3
# A job with more slack than this many penalties accepts another data centre without any.
FREE_SLACK_FACTOR = 10


def is_scarce(free_millicores: int, capacity_millicores: int) -> bool:
    """Return whether little of the local pools' capacity is free.

    Parameters
    ----------
    free_millicores : int
        By the last reports and the holder's own submissions; may be negative.
    """
    return free_millicores < SCARCE_FREE_SHARE * capacity_millicores


def slack_s(objective_s: float, run_time_s: float, wait_s: float) -> float:
    """Return how much time a job has left within its objective in a pool.

    Parameters
    ----------
    run_time_s : float
        Estimated run time of its longest task on the pool's fastest server.
    wait_s : float
        Expected wait in the pool.
    """
    return objective_s - run_time_s - wait_s


def penalty_s(slack: float, whole_s: float) -> float:
    """Return what is added to the expected wait in another data centre.

    The whole penalty up to a slack of the same length, none from ``FREE_SLACK_FACTOR`` times that,
    and linearly less in between.

    Parameters
    ----------
    slack : float
        The job's slack in the destination, in seconds.
    whole_s : float
        The penalty while local capacity is not scarce.
    """
    share = (FREE_SLACK_FACTOR - slack / whole_s) / (FREE_SLACK_FACTOR - 1)
    return whole_s * min(1.0, max(0.0, share))
