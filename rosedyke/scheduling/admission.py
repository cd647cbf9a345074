"""Admission control: detects waiting jobs that cannot be served in useful time.

Load: more jobs than a pool can serve.  Work that would finish too late takes capacity from work
that would not, and its caller would learn of the failure only at its timeout.  A false refusal
costs a caller more than a late one, so a job that may still be served is not refused.
"""

from collections.abc import Iterable, Sequence

import attrs

from rosedyke.scheduling import prediction

# Estimates are off by up to 40%.  Jobs that have started are given this much more time; others are
# refused early, while callers can still send them elsewhere.
ESTIMATE_ERROR = 1.4
MIN_SPEED = 0.1


@attrs.frozen
class Refusal:
    """A job to refuse.

    Attributes
    ----------
    completed_at : float
        Its predicted completion.
    work_ahead_core_s : float
        Work that the queue's order places before it, on servers of speed 1.
    """

    job: prediction.WaitingJob
    completed_at: float
    work_ahead_core_s: float


@attrs.frozen
class OtherPool:
    """A pool to which a job could be submitted after its refusal by another one.

    Attributes
    ----------
    free_slots : int
        Number of the job's tasks that fit there now, by its last report.
    wait_s : float
        Expected wait of a task that does not fit now.
    """

    pool: str
    free_slots: int
    wait_s: float


def useful_until(
    arrived_at: float, objective_s: float, timeout_s: float, late_factor: float, has_started: bool
) -> float:
    """Return the time after which the caller no longer needs an answer.

    Parameters
    ----------
    late_factor : float
        An answer is useful up to this many times the objective.
    """
    useful_s = late_factor * objective_s
    if has_started:
        useful_s *= ESTIMATE_ERROR
    return arrived_at + min(timeout_s, useful_s)


def is_infeasible(longest_s: float, now: float, fastest: float, until: float) -> bool:
    """Return whether a waiting task would finish too late even if it started now.

    Parameters
    ----------
    longest_s : float
        Estimated run time of the longest waiting task.
    fastest : float
        Speed of the fastest server.
    until : float
        Until when the answer is useful.
    """
    return now + longest_s / max(fastest, MIN_SPEED) > until


def jobs_to_refuse(
    ordered: Iterable[prediction.WaitingJob],
    capacity: list[prediction.Piece],
    fastest: float,
    now: float,
) -> list[Refusal]:
    """Return the jobs that have not started and are predicted to be complete too late.

    A job that will be late at its turn falls behind those that will not, as the queue's order
    requires at that time.  A refused job takes no capacity from those after it.

    Parameters
    ----------
    ordered : iterable of WaitingJob
        In the queue's order.  Jobs that can no longer meet their objective come last, by priority.
    capacity : list of Piece
        The free and the used capacity of the pool, as a heap.
    fastest : float
        Speed of the fastest server.
    """
    refusals: list[Refusal] = []
    late = []
    work_ahead_core_s = 0.0
    fastest = max(fastest, MIN_SPEED)

    def visit(job):
        nonlocal capacity, work_ahead_core_s
        result = prediction.predict(job.tasks, capacity, fastest)
        completed_at = result.completed_at
        if completed_at is not None and completed_at > job.useful_until and not job.has_started:
            refusals.append(Refusal(job, completed_at, work_ahead_core_s))
            return
        capacity = result.capacity
        work_ahead_core_s += prediction.work_core_s(job.tasks)

    has_fallen_behind = False
    for job in ordered:
        if job.latest_start < now:
            late.append(job)
        elif capacity and job.latest_start < capacity[0][0]:
            late.append(job)
            has_fallen_behind = True
        else:
            visit(job)
    if has_fallen_behind:
        late.sort(key=lambda job: (job.priority, not job.has_started, job.latest_start))
    for job in late:
        visit(job)
    return refusals


def choose_other_pool(
    pools: Sequence[OtherPool], count: int, run_s: float, remaining_s: float
) -> str:
    """Return the pool that can still serve a refused job in useful time, empty if there is none.

    Pools with free capacity come first, then those with the shortest wait.

    Parameters
    ----------
    count : int
        Number of tasks.
    run_s : float
        Run time of the longest task on the fastest known server.
    remaining_s : float
        For how much longer the answer is useful.
    """
    waits = {
        pool.pool: 0.0 if pool.free_slots >= count else pool.wait_s
        for pool in pools
        if pool.free_slots >= count or pool.wait_s + run_s <= remaining_s
    }
    if run_s > remaining_s or not waits:
        return ""
    return min(waits, key=waits.__getitem__)
