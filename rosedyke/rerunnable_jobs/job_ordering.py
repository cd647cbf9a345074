"""Orders waiting jobs by latest start time.

In first-come, first-served order, short jobs would miss their objective behind long ones that have
slack.
"""

from rosedyke.rerunnable_jobs import owned_job


def latest_start(owned: owned_job.OwnedJob, fastest: float) -> float:
    """Return the latest start on a server of this speed at which a job meets its objective."""
    longest_s = max((step.estimate_s for step in owned.work.steps), default=0.0)
    return owned.due_at - longest_s / fastest


def order_jobs(
    jobs: list[owned_job.OwnedJob], now: float, fastest: float
) -> list[owned_job.OwnedJob]:
    """Return waiting jobs in scheduling order.

    Jobs that can still meet their objective come first, by latest start.  Late jobs follow by the
    priority of their queue, since their order only decides which of them get an answer at all.
    Started jobs come before equal ones, so that their work is not wasted.

    Parameters
    ----------
    fastest : float
        Speed of the fastest server.  A job is late if even that server cannot meet its objective.
    """

    def key(owned):
        start = latest_start(owned, fastest)
        is_late = start < now
        rank = owned.work.priority if is_late else 0
        return (is_late, rank, not owned.has_started, start)

    return sorted(jobs, key=key)
