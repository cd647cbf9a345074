"""To which pool a holder hands a job.

The load that this answers: many holders that choose at the same time by the same reports, some
tenths of a second old.  If each took the one pool that looks best, they would fill it together
and leave the others idle; so pools that promise the same get jobs in proportion to their room.
"""

from collections.abc import Sequence

import attrs

from rosedyke.rerun import job, messages

# Another data centre's pool has to promise at least this much less waiting: the way there and
# back, and a cut between the data centres would cost the job.
REMOTE_PENALTY_S = 0.02
# Waits that differ by less are the same: a report is older than that.
WAIT_TOLERANCE_S = 0.005
# Each further part of a job costs two more messages, and one more owner that may be lost.
MAX_PARTS = 3
# Of a pool none of whose servers answers.
NO_SERVER_WAIT_S = 60.0


@attrs.frozen
class PoolView:
    """What a holder knows of a pool.

    Attributes
    ----------
    submitted_millicores : int
        What this holder has handed to it since its report.
    is_local : bool
        It is in the holder's own data centre.
    """

    pool: str
    report: messages.PoolReport
    submitted_millicores: int
    is_local: bool


def choose_pool(work: job.Job, count: int, views: Sequence[PoolView], random_value: float) -> str:
    """Return the pool for some tasks of a job, empty if there is none.

    Parameters
    ----------
    count : int
        How many tasks.
    random_value : float
        A random number in [0, 1).
    """
    return _choose_pool(work, count, views, _slots(work, views), random_value)


def _choose_pool(work, count, views, slots, random_value):
    if not views:
        return ""
    largest = _largest_millicores(work)
    waits = {view.pool: _wait_s(view, work, count - slots[view.pool], largest) for view in views}
    least_s = min(waits.values())
    best = [pool for pool, wait_s in waits.items() if wait_s <= least_s + WAIT_TOLERANCE_S]
    return _weighted_choice({pool: max(1, slots[pool]) for pool in best}, random_value)


def split(
    work: job.Job, count: int, views: Sequence[PoolView], random_value: float
) -> dict[str, int]:
    """Return how many of a job's waiting tasks each pool gets; empty if there is no pool.

    What has no room in the chosen pool goes to others that have, the near ones first, and stays
    with the chosen one if there is none.  Of the others' room it takes half at most, since other
    holders see it as well.

    Parameters
    ----------
    count : int
        How many tasks wait.
    random_value : float
        A random number in [0, 1).
    """
    slots = _slots(work, views)
    first = _choose_pool(work, count, views, slots, random_value)
    if not first:
        return {}
    if slots[first] >= count:
        return {first: count}
    shares = {first: max(0, slots[first])}
    remaining = count - shares[first]
    for pool in _other_pools(first, views, slots):
        taken = min(remaining, max(0, slots[pool]) // 2)
        if taken:
            shares[pool] = taken
            remaining -= taken
    shares[first] += remaining
    return {pool: taken for pool, taken in shares.items() if taken}


def _other_pools(first, views, slots):
    """Return the pools that may get a part of a job beside the first one, the best first."""
    others = [view for view in views if view.pool != first]
    others.sort(key=lambda view: (not view.is_local, -slots[view.pool]))
    return [view.pool for view in others[: MAX_PARTS - 1]]


def _slots(work, views):
    """Return how many of the job's largest tasks have room in each pool now."""
    largest = _largest_millicores(work)
    return {view.pool: free_slots(view, largest) for view in views}


def _largest_millicores(work):
    return max((step.demand.millicores for step in work.steps), default=0)


def free_slots(view: PoolView, millicores: int) -> int:
    """Return how many tasks of a size have room in a pool now.

    What is left over on each server after the last whole task is no room.
    """
    if not millicores:
        return len(view.report.rooms)
    slots = sum(free // millicores for free, _ in view.report.rooms)
    return slots - view.submitted_millicores // millicores


def _wait_s(view, work, missing, millicores):
    """Return roughly how long the last task of a job would wait in a pool."""
    if not view.report.capacity_millicores:
        return NO_SERVER_WAIT_S
    wait_s = view.report.backlog_s + (0.0 if view.is_local else REMOTE_PENALTY_S)
    if missing > 0:
        longest_s = max(step.estimate_s for step in work.steps)
        parallel_tasks = max(1, view.report.capacity_millicores // max(1, millicores))
        wait_s += longest_s * missing / parallel_tasks
    return wait_s


def _weighted_choice(weights, random_value):
    """Return a key with a probability in proportion to its weight."""
    remaining = random_value * sum(weights.values())
    for key, weight in weights.items():
        remaining -= weight
        if remaining < 0:
            return key
    return next(reversed(weights))
