"""Which waiting tasks go to other pools.

The load that this answers: jobs of up to 32 tasks that take 14 of a server's 32 cores each.  One
pool has room for a dozen such tasks, so single jobs fill it while the pools beside it stand idle.
"""

from rosedyke.rerun import owned_job

# A task that waits less than this is started sooner where it is: it takes two messages of 1 to
# 3 ms to move it, and room that was told of may be gone.
MIN_WAIT_S = 0.01
# How often tasks are moved.  Room is offered to one pool at a time, so a second move is rare; the
# bound keeps tasks from going around for ever between pools that all fill up.
MAX_MOVES = 4

WaitingTask = tuple[owned_job.OwnedJob, owned_job.OwnedTask]


def expected_waits(remaining_s: list[float], count: int) -> list[float]:
    """Return how long each of ``count`` waiting tasks is expected to wait, the first one first.

    Each run that ends makes room for about one task; with nothing running, room comes from
    servers that don't answer now, so the wait is unknown and long.

    Parameters
    ----------
    remaining_s : list of float
        For how much longer each run goes on.
    """
    ordered = sorted(remaining_s)
    if not ordered:
        return [1.0] * count
    return [ordered[min(rank, len(ordered) - 1)] for rank in range(count)]


def movable_tasks(
    waiting: list[WaitingTask], remaining_s: list[float], now: float
) -> list[WaitingTask]:
    """Return the tasks that gain by starting in another pool at once.

    A task that has waited for long counts whatever is expected: it may wait for a faster server or
    for more cores than the next run leaves free.

    Parameters
    ----------
    waiting : list of (OwnedJob, OwnedTask)
        The most urgent first.
    remaining_s : list of float
        For how much longer each run in its own pool goes on.
    """
    return [
        (owned, task)
        for (owned, task), wait_s in zip(
            waiting, expected_waits(remaining_s, len(waiting)), strict=True
        )
        if max(wait_s, now - owned.arrived_at) > MIN_WAIT_S and owned.moves < MAX_MOVES
    ]


def assign_tasks(
    candidates: list[WaitingTask],
    rooms: tuple[tuple[int, float], ...],
    fastest: float,
    now: float,
) -> dict[owned_job.OwnedJob, list[owned_job.OwnedTask]]:
    """Return which tasks go to a pool that offers room.

    A task goes where it ends in time; one that is late anyway goes wherever there is room.

    Parameters
    ----------
    candidates : list of (OwnedJob, OwnedTask)
        The most urgent first.
    rooms : tuple of (int, float)
        Free millicores and speed of each server that is offered.
    fastest : float
        Speed of the fastest server known; a task that it can't end in time is late anyway.
    """
    fastest = max([fastest, *(speed for _, speed in rooms)])
    free_rooms = list(rooms)
    assigned: dict[owned_job.OwnedJob, list[owned_job.OwnedTask]] = {}
    for owned, task in candidates:
        index = _fastest_room(owned, task, free_rooms, fastest, now)
        if index is not None:
            free, speed = free_rooms[index]
            free_rooms[index] = (free - task.step.demand.millicores, speed)
            assigned.setdefault(owned, []).append(task)
    return assigned


def _fastest_room(owned, task, rooms, fastest, now):
    """Return the place of the fastest server with room for a task, or None."""
    is_late = owned.due_at - now < task.step.estimate_s / fastest
    best, best_key = None, None
    for index, (free, speed) in enumerate(rooms):
        if free < task.step.demand.millicores:
            continue
        if not is_late and now + task.step.estimate_s / speed > owned.due_at:
            continue
        key = (speed, -free)
        if best_key is None or key > best_key:
            best, best_key = index, key
    return best
