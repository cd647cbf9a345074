"""Predicts when a waiting job will be complete in its pool.

Load: more work waits than the pool completes while the answers are useful.  The prediction is
optimistic, since a false refusal costs a caller more than a late one: run times are medians, the
capacity of a pool counts as if tasks could be spread over servers, and work that has not arrived
yet is not counted.
"""

import heapq
from collections.abc import Hashable, Sequence

import attrs

# Capacity that becomes free: when, millicores, and the speed of its server.
Piece = tuple[float, int, float]
# A waiting task: its millicores, and its expected run time on a server of speed 1, in seconds.
Task = tuple[int, float]


@attrs.frozen
class WaitingJob:
    """A job, or the part of one that a pool has, of which tasks wait.

    Attributes
    ----------
    key : hashable
        Identifies the job to the caller of these functions.
    priority : int
        0 is the highest.
    has_started : bool
        A start command of the job may have been sent.
    latest_start : float
        When it must start to meet its objective.
    useful_until : float
        After this its caller no longer needs the answer.
    tasks : tuple of Task
        The waiting tasks in their order of placement.
    """

    key: Hashable
    priority: int
    has_started: bool
    latest_start: float
    useful_until: float
    tasks: tuple[Task, ...]


@attrs.frozen
class Prediction:
    """The predicted completion of a job.

    Attributes
    ----------
    completed_at : float or None
        None if the pool has too little capacity in total to run a task at all.
    capacity : list of Piece
        The capacity that is left for the jobs after it, as a heap.
    """

    completed_at: float | None
    capacity: list[Piece]


def predict(tasks: Sequence[Task], capacity: list[Piece], fastest: float) -> Prediction:
    """Predict the completion of a job's tasks on the capacity that earlier jobs leave.

    Parameters
    ----------
    capacity : list of Piece
        A heap, which is not changed.
    fastest : float
        Speed of the fastest server.  The job's own tasks are assumed to run there, because a task
        may wait for a faster server.
    """
    remaining = capacity.copy()
    completed_at = 0.0
    for millicores, run_s in tasks:
        if remaining and remaining[0][1] == millicores:
            # The usual case, that of equal tasks, takes half of the time of the general one.
            start, _, speed = remaining[0]
            heapq.heapreplace(remaining, (start + run_s / speed, millicores, speed))
            completed_at = max(completed_at, start + run_s / fastest)
            continue
        start, speed, missing = 0.0, 0.0, max(1, millicores)
        while missing > 0:
            if not remaining:
                return Prediction(None, capacity)
            start, free, piece_speed = heapq.heappop(remaining)
            speed = max(speed, piece_speed)
            missing -= free
        if missing:
            heapq.heappush(remaining, (start, -missing, piece_speed))
        completed_at = max(completed_at, start + run_s / fastest)
        heapq.heappush(remaining, (start + run_s / speed, max(1, millicores), speed))
    return Prediction(completed_at, remaining)


def work_core_s(tasks: Sequence[Task]) -> float:
    """Return the core-seconds of tasks on servers of speed 1."""
    return sum(millicores * run_s for millicores, run_s in tasks) / 1000
