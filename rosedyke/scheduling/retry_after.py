"""Derives from the queue when a refused caller should submit its job again.

Load: many refused callers.  With a constant delay they would return together, and too early.
"""

import math

# Bounds of the delay.  Below one second callers cannot express it (HTTP has whole seconds); after
# more than eight the queue says nothing about the load.
MIN_DELAY_S = 1.0
MAX_DELAY_S = 8.0
JITTER = 0.25
# Less urgent queues wait longer for the same queue ahead, so that those with priority 0 are served
# first when the load falls.
DELAY_PER_PRIORITY = 0.5
MAX_PRIORITY = 2


def drain_s(work_ahead_core_s: float, completed_core_s_per_s: float) -> float:
    """Return the time in which the work ahead is done, infinity if nothing is completed."""
    if completed_core_s_per_s <= 0:
        return math.inf
    return work_ahead_core_s / completed_core_s_per_s


def delay_s(queue_drain_s: float, priority: int, random_value: float) -> float:
    """Return the delay after which a refused job should be submitted again, with jitter.

    Parameters
    ----------
    queue_drain_s : float
        Time in which the queue ahead drains.
    priority : int
        Priority of the job's queue; 0 is the highest.
    random_value : float
        A random number in [0, 1).
    """
    weighted_s = queue_drain_s * (1 + DELAY_PER_PRIORITY * min(priority, MAX_PRIORITY))
    # The jitter must not exceed the bounds, or many callers would get exactly the bound.
    shortest_s, longest_s = MIN_DELAY_S / (1 - JITTER), MAX_DELAY_S / (1 + JITTER)
    bounded_s = min(max(weighted_s, shortest_s), longest_s)
    return bounded_s * (1 - JITTER + 2 * JITTER * random_value)
