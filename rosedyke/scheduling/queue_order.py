"""Orders waiting jobs by latest start time, and by priority while the pool is under pressure.

Load: short jobs wait behind long ones that have slack, and more jobs wait than can meet their
objective.  In first-come, first-served order the short ones would miss theirs.  Several queues of
one priority compete, and the one with the most jobs would get nearly all of the capacity.
Operators want some of these queues to get more than others, or at most a certain share.
"""

import collections
import heapq
from collections.abc import Hashable, Iterable, Mapping

import attrs

from rosedyke.scheduling import shares


@attrs.frozen
class QueuedJob:
    """What the order of a waiting job depends on.

    Attributes
    ----------
    key : hashable
        Identifies the job to the caller of this module.
    queue : str
        The queue that it was submitted to.
    priority : int
        0 is the highest.
    latest_start : float
        The latest start, in seconds, at which the fastest server meets its objective.
    has_started : bool
        Some of its tasks run or are done.
    millicores : int
        Demand of its waiting tasks.
    """

    key: Hashable
    queue: str
    priority: int
    latest_start: float
    has_started: bool
    millicores: int = 0


def order_jobs(
    jobs: Iterable[QueuedJob],
    now: float,
    is_under_pressure: bool = False,
    used_by_queue: Mapping[str, int] | None = None,
    is_link_limit: bool = False,
    queue_shares: Mapping[str, shares.QueueShare] | None = None,
    capacity: int = 0,
) -> list[QueuedJob]:
    """Return waiting jobs in scheduling order.

    Jobs that can still meet their objective come first, by latest start.  Late jobs follow by the
    priority of their queue, since their order only decides which of them get an answer at all.
    Started jobs come before equal ones, so that their work is not wasted.

    Parameters
    ----------
    is_under_pressure : bool
        Priority 0 comes first among the jobs that can still meet their objective.
    used_by_queue : mapping of str to int or None
        Millicores that the running tasks of each queue use.  Queues of one priority then share the
        capacity: within a group, each place of the priority goes to the queue that uses least.
        Limits of queues apply to all of their jobs.
    is_link_limit : bool
        Start commands wait for the owner's link.  Started jobs then come first even if they are
        late: jobs become late in this wait, and start commands of jobs that never end would take
        the link from others.
    queue_shares : mapping of str to QueueShare or None
        Weights and limits, for queues that do not have the defaults.  Usage is divided by the
        weight.
    capacity : int
        Millicores of the pool, needed for limits only.
    """
    queue_shares = queue_shares or {}

    def group(queued):
        is_late = queued.latest_start < now
        rank = queued.priority if is_late else 0
        if is_under_pressure and not is_late:
            rank = min(queued.priority, 1)
        if is_link_limit and queued.has_started:
            return (False, -1, False)
        return (is_late, rank, not queued.has_started)

    def key(queued):
        return (*group(queued), queued.latest_start)

    ordered = sorted(jobs, key=key)
    if used_by_queue is None:
        return ordered
    ordered = _shared(ordered, group, used_by_queue, queue_shares)
    if not shares.has_limits(queue_shares):
        return ordered
    return _limited(ordered, used_by_queue, queue_shares, capacity)


def _shared(ordered, group, used_by_queue, queue_shares):
    """Return the jobs so that queues of one priority take turns within a group, by their usage.

    The places of each priority stay the same, and so does the order within each queue.
    """
    queues: dict[tuple, dict[str, list[QueuedJob]]] = {}
    for queued in reversed(ordered):
        by_queue = queues.setdefault((group(queued), queued.priority), {})
        by_queue.setdefault(queued.queue, []).append(queued)
    # Capacity that the jobs placed earlier in the order will use counts as well.
    used = dict(used_by_queue)
    heaps = {}
    result = []
    for place in ordered:
        turn = (group(place), place.priority)
        by_queue = queues[turn]
        if len(by_queue) == 1:
            queued = by_queue[place.queue].pop()
        else:
            if turn not in heaps:
                heaps[turn] = [
                    (used.get(queue, 0) / shares.share_of(queue_shares, queue).weight, queue)
                    for queue in sorted(by_queue)
                ]
                heapq.heapify(heaps[turn])
            queue = heaps[turn][0][1]
            queued = by_queue[queue].pop()
            if by_queue[queue]:
                weight = shares.share_of(queue_shares, queue).weight
                usage = heaps[turn][0][0] + queued.millicores / weight
                heapq.heapreplace(heaps[turn], (usage, queue))
            else:
                heapq.heappop(heaps[turn])
        used[queued.queue] = used.get(queued.queue, 0) + queued.millicores
        result.append(queued)
    return result


def _limited(ordered, used_by_queue, queue_shares, capacity):
    """Return the jobs so that queues with a limit get no more than that of the places.

    Up to the pool's capacity, a queue uses at most its share of that; of the places behind it, it
    gets at most the same share.  Jobs that must wait for this keep their order, and come last if
    no other queue has jobs left.
    """
    used = dict(used_by_queue)
    total = sum(used.values())
    deferred: dict[str, collections.deque[QueuedJob]] = {}
    result = []

    def is_deferred(queue):
        # Any part of a job that fits below the limit keeps the job's place.
        share, in_use = shares.share_of(queue_shares, queue), used.get(queue, 0)
        return shares.is_over_limit(share, in_use, 1, max(capacity, total))

    def append(queued):
        nonlocal total
        used[queued.queue] = used.get(queued.queue, 0) + queued.millicores
        total += queued.millicores
        result.append(queued)

    for queued in ordered:
        if queued.queue in deferred or is_deferred(queued.queue):
            deferred.setdefault(queued.queue, collections.deque()).append(queued)
            continue
        append(queued)
        for queue, jobs in list(deferred.items()):
            while jobs and not is_deferred(queue):
                append(jobs.popleft())
            if not jobs:
                del deferred[queue]
    positions = {id(queued): position for position, queued in enumerate(ordered)}
    rest = [queued for jobs in deferred.values() for queued in jobs]
    return result + sorted(rest, key=lambda queued: positions[id(queued)])
