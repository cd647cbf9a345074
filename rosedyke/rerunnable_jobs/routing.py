"""Chooses the pools for a job.

Many holders choose at the same time by the same reports.  If all of them took the best pool they
would overload it, so equally good pools are chosen at random, weighted by free capacity.
"""

from collections.abc import Sequence

import attrs

from rosedyke.overload import link
from rosedyke.rerunnable_jobs import job, messages, server_commands
from rosedyke.scheduling import admission, spill

# Added to the expected wait in pools of other data centres, for the round trip and the risk of a
# network partition.
REMOTE_PENALTY_S = 0.02
# Expected waits that differ by less are treated as equal; reports are usually older than this.
WAIT_TOLERANCE_S = 0.005
# Each part costs two more messages and depends on one more owner.
MAX_PARTS = 3
# Assumed wait in a pool without available servers.
NO_SERVER_WAIT_S = 60.0


@attrs.frozen
class PoolView:
    """What a holder knows about a pool.

    Attributes
    ----------
    submitted_millicores : int
        Demand submitted by this holder that the report does not include yet.
    is_local : bool
        Whether the pool is in the holder's data centre.
    """

    pool: str
    report: messages.PoolReport
    submitted_millicores: int
    is_local: bool


def choose_pool(work: job.Job, count: int, views: Sequence[PoolView], random_value: float) -> str:
    """Return the pool for tasks of a job, empty if there is none.

    Parameters
    ----------
    count : int
        Number of tasks.
    random_value : float
        A random number in [0, 1).
    """
    slots = _slots(work, views)
    return _choose_pool(_waits(work, count, views, slots), slots, random_value)


def _choose_pool(waits, slots, random_value):
    if not waits:
        return ""
    best = _best_pools(waits)
    return _weighted_choice({pool: max(1, slots[pool]) for pool in best}, random_value)


def _best_pools(waits):
    """Return the pools whose expected waits count as equal to the shortest one."""
    least_s = min(waits.values())
    return [pool for pool, wait_s in waits.items() if wait_s <= least_s + WAIT_TOLERANCE_S]


def _waits(work, count, views, slots):
    """Return the expected wait in each pool, with the whole penalty of other data centres."""
    largest = _largest_millicores(work)
    return {
        view.pool: _wait_s(view, work, count - slots[view.pool], largest)
        + _link_wait_s(view, work, count)
        for view in views
    }


def _waits_by_slack(work, count, views, waits):
    """Return the expected waits with a penalty of other data centres that depends on the slack."""
    longest_s = max((step.estimate_s for step in work.steps), default=0.0)
    demand, reduced = count * _largest_millicores(work), dict(waits)
    for view in views:
        if view.is_local:
            continue
        # A destination that the job makes scarce would only send as many of its own jobs elsewhere.
        report = view.report
        free = free_millicores(report) - view.submitted_millicores - demand
        is_empty = not report.capacity_millicores
        if is_empty or spill.is_scarce(free, report.capacity_millicores):
            continue
        fastest = max(map(max, report.speeds_by_free.values()), default=100) / 100
        wait_s = waits[view.pool] - REMOTE_PENALTY_S
        slack_s = spill.slack_s(work.objective_s, longest_s / fastest, wait_s)
        reduced[view.pool] = wait_s + spill.penalty_s(slack_s, REMOTE_PENALTY_S)
    return reduced


def _is_scarce(views):
    """Return whether little of some pools' capacity is free."""
    free = capacity = 0
    for view in views:
        free += free_millicores(view.report) - view.submitted_millicores
        capacity += view.report.capacity_millicores
    return spill.is_scarce(free, capacity)


def split(
    work: job.Job, count: int, views: Sequence[PoolView], random_value: float
) -> dict[str, int]:
    """Return how many of a job's waiting tasks each pool gets; empty if there is no pool.

    Tasks that do not fit into the chosen pool go to others, local ones first, or wait in the chosen
    pool.  Where the owner's link is limited, tasks also go to others whose owners can start them
    earlier.  At most half of the other pools' free capacity is used, because other holders see it
    as well.

    Parameters
    ----------
    count : int
        Number of waiting tasks.
    random_value : float
        A random number in [0, 1).
    """
    slots = _slots(work, views)
    first = _choose_pool(_waits(work, count, views, slots), slots, random_value)
    return _split_from(first, work, count, views, slots)


def split_by_slack(
    work: job.Job, count: int, views: Sequence[PoolView], random_value: float
) -> tuple[dict[str, int], bool]:
    """Return the result of ``split``, and whether the job leaves the data centre for its slack.

    While little local capacity is free, jobs with slack accept other data centres.
    """
    slots = _slots(work, views)
    waits = _waits(work, count, views, slots)
    local_pools = {view.pool: view for view in views if view.is_local}
    if not _is_scarce(local_pools.values()):
        first = _choose_pool(waits, slots, random_value)
        return _split_from(first, work, count, views, slots), False
    first = _choose_pool(_waits_by_slack(work, count, views, waits), slots, random_value)
    is_spilled = first not in local_pools and first not in _best_pools(waits)
    return _split_from(first, work, count, views, slots), is_spilled


def _split_from(first, work, count, views, slots):
    """Return each pool's share of a job whose first choice is a given pool."""
    if not first:
        return {}
    by_pool = {view.pool: view for view in views}
    if by_pool[first].report.link_bytes_per_s:
        return _split_by_link(work, count, first, by_pool, slots)
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


def _split_by_link(work, count, first, by_pool, slots):
    """Return each pool's share such that the last start command leaves as early as possible.

    Another pool must be earlier by the time of one start command, since a part costs messages.  A
    job is not split if all of its start commands take less time than those that wait already: the
    parts would wait in different queues, and one that starts late makes the others useless.
    """
    view = by_pool[first]
    if _link_wait_s(view, work, count) > 2 * _transmission_s(view, work, count):
        return {first: count}
    rooms = {first: max(0, slots[first])}
    for pool in _other_pools(first, by_pool.values(), slots):
        rooms[pool] = max(0, slots[pool]) // 2
    shares = dict.fromkeys(rooms, 0)
    start_s, sent_after_s = {}, {}
    for pool, room in rooms.items():
        view = by_pool[pool]
        start_s[pool] = _transmission_s(view, work, 1)
        if room:
            added_s = 0.0 if pool == first else start_s[pool]
            added_s += 0.0 if view.is_local else REMOTE_PENALTY_S
            sent_after_s[pool] = added_s + _link_wait_s(view, work, 1)
    for _ in range(count):
        pool = min(sent_after_s, key=sent_after_s.__getitem__, default=first)
        shares[pool] += 1
        if pool in sent_after_s:
            sent_after_s[pool] += start_s[pool]
            if shares[pool] == rooms[pool]:
                del sent_after_s[pool]
    return {pool: taken for pool, taken in shares.items() if taken}


def _other_pools(first, views, slots):
    """Return the other pools that may get a part of a job, best first."""
    others = [view for view in views if view.pool != first]
    others.sort(
        key=lambda view: (
            not view.is_local,
            round(view.report.link_backlog_s / REMOTE_PENALTY_S),
            -slots[view.pool],
        )
    )
    return [view.pool for view in others[: MAX_PARTS - 1]]


def _slots(work, views):
    """Return how many of the job's largest tasks fit into each pool now."""
    largest = _largest_millicores(work)
    return {view.pool: free_slots(view, largest) for view in views}


def _largest_millicores(work):
    return max((step.demand.millicores for step in work.steps), default=0)


def free_millicores(report: messages.PoolReport, smallest: int = 0) -> int:
    """Return the free capacity of the servers that have room for a task of some size."""
    return sum(
        free * len(percents) for free, percents in report.speeds_by_free.items() if free >= smallest
    )


def free_slots(view: PoolView, millicores: int) -> int:
    """Return how many tasks of a size fit into a pool now, counted per server."""
    if not millicores:
        return len(view.report.rooms)
    return view.report.free_slots(millicores) - view.submitted_millicores // millicores


def after_refusal(
    work: job.Job, count: int, views: Sequence[PoolView]
) -> list[admission.OtherPool]:
    """Return pools for tasks of a refused job, with the expected wait of the last task.

    Parameters
    ----------
    count : int
        Number of tasks.
    """
    largest = _largest_millicores(work)
    slots = _slots(work, views)
    return [
        admission.OtherPool(
            view.pool, slots[view.pool], _wait_s(view, work, count - slots[view.pool], largest)
        )
        for view in views
    ]


def fastest_speed(views: Sequence[PoolView]) -> float:
    """Return the speed of the fastest server that accepts tasks, 1 if there is none."""
    return max((speed for view in views for _, speed in view.report.rooms), default=1.0)


def _wait_s(view, work, missing, millicores):
    """Return the expected wait of a job's last task in a pool.

    Includes the whole penalty of other data centres, except for pools without servers.
    """
    if not view.report.capacity_millicores:
        return NO_SERVER_WAIT_S
    wait_s = view.report.backlog_s + (0.0 if view.is_local else REMOTE_PENALTY_S)
    if missing > 0:
        longest_s = max(step.estimate_s for step in work.steps)
        parallel_tasks = max(1, view.report.capacity_millicores // max(1, millicores))
        wait_s += longest_s * missing / parallel_tasks
    return wait_s


def _link_wait_s(view, work, count):
    """Return when the last of a job's start commands has left the link of a pool's owner."""
    submitted = view.submitted_millicores // max(1, _largest_millicores(work))
    return view.report.link_backlog_s + _transmission_s(view, work, count + submitted)


def _transmission_s(view, work, count):
    """Return the time that start commands of a job take on the link of a pool's owner."""
    if not view.report.link_bytes_per_s:
        return 0.0
    start_bytes = server_commands.start_bytes(work) + link.MESSAGE_OVERHEAD_BYTES
    return count * start_bytes / view.report.link_bytes_per_s


def _weighted_choice(weights, random_value):
    """Return a key with a probability in proportion to its weight."""
    remaining = random_value * sum(weights.values())
    for key, weight in weights.items():
        remaining -= weight
        if remaining < 0:
            return key
    return next(reversed(weights))
