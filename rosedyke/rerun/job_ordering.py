"""In which order waiting jobs get room.

The load that this answers: bursts of a third over capacity for some seconds, of jobs whose tasks
take between 60 ms and 0.9 s.  First come, first served would let short jobs miss their objective
behind long ones that have time to spare.
"""

from rosedyke.rerun import owned_job


def latest_start(owned: owned_job.OwnedJob, fastest: float) -> float:
    """Return when the job has to start on a server of this speed to meet its objective."""
    longest_s = max((step.estimate_s for step in owned.work.steps), default=0.0)
    return owned.due_at - longest_s / fastest


def order_jobs(
    jobs: list[owned_job.OwnedJob], now: float, fastest: float
) -> list[owned_job.OwnedJob]:
    """Return waiting jobs, the next one first.

    Jobs that can still meet their objective go first, by the latest moment at which they have to
    start; this is optimal while all can make it.  What is late anyway comes after, more important
    queues first, since there the order decides only who gets an answer at all.  A job that has
    begun goes before its equals: its work is wasted if it doesn't end.

    Parameters
    ----------
    fastest_speed : float
        Speed of the fastest server.  A job is late only once that one can't make it any more.
    """

    def key(owned):
        start = latest_start(owned, fastest)
        is_late = start < now
        rank = owned.work.priority if is_late else 0
        return (is_late, rank, not owned.has_started, start)

    return sorted(jobs, key=key)
