"""Orders waiting jobs by latest start time, and by priority while the pool is under pressure.

Load: short jobs wait behind long ones that have slack, and more jobs wait than can meet their
objective.  In first-come, first-served order the short ones would miss theirs.
"""

from collections.abc import Hashable, Iterable

import attrs


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
    jobs: Iterable[QueuedJob], now: float, is_under_pressure: bool = False
) -> list[QueuedJob]:
    """Return waiting jobs in scheduling order.

    Jobs that can still meet their objective come first, by latest start.  Late jobs follow by the
    priority of their queue, since their order only decides which of them get an answer at all.
    Started jobs come before equal ones, so that their work is not wasted.

    Parameters
    ----------
    is_under_pressure : bool
        Priority 0 comes first among the jobs that can still meet their objective.
    """

    def key(queued):
        is_late = queued.latest_start < now
        rank = queued.priority if is_late else 0
        if is_under_pressure and not is_late:
            rank = min(queued.priority, 1)
        return (is_late, rank, not queued.has_started, queued.latest_start)

    return sorted(jobs, key=key)
