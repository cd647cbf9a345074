"""Which waiting tasks go to other pools.

The load that this answers: jobs of up to 32 tasks that take 14 of a server's 32 cores each.  One
pool has room for a dozen such tasks, so single jobs fill it while the pools beside it stand idle.
A job that is bound to one pool was late for this reason in 7 of 100 cases on a quiet day.
"""

from rosedyke.rerun import messages, owned

# A task that waits less than this is started sooner where it is: it takes two messages of 1 to
# 3 ms to move it, and room that was told of may be gone.
WORTH_S = 0.01
# How often tasks are moved; each time the room may be taken by others first.
MAX_MOVES = 2
# A task that even a server of this speed can't end in time is late wherever it runs.
FASTEST = 1.6

Waiting = tuple[owned.OwnedJob, owned.OwnedTask]


def waits(ends: list[float], count: int, now: float) -> list[float]:
    """Return how long each of ``count`` waiting tasks is expected to wait, the first one first.

    Each run that ends makes room for about one task; with nothing running, room comes from
    servers that don't answer now, so the wait is unknown and long.
    """
    ordered = sorted(ends)
    if not ordered:
        return [1.0] * count
    return [max(0.0, ordered[min(rank, len(ordered) - 1)] - now) for rank in range(count)]


def assign(
    candidates: list[Waiting], reports: list[messages.PoolReport], now: float
) -> dict[tuple[owned.OwnedJob, str], list[owned.OwnedTask]]:
    """Return which tasks go to which pool.

    A task goes where it ends in time; one that is late anyway goes wherever there is room.  Tasks
    of a job go to as few pools as possible, since each more is one more owner that may be lost
    with a part of it.  A pool with waiting tasks of its own gets none.

    Parameters
    ----------
    candidates : list of (OwnedJob, OwnedTask)
        The most urgent first.
    reports : list of PoolReport
        What other pools say of their room.
    """
    rooms = {report.pool: list(report.rooms) for report in reports if report.backlog_s == 0}
    found: dict[tuple[owned.OwnedJob, str], list[owned.OwnedTask]] = {}
    for item, task in candidates:
        best = _best_room(item, task, rooms, found, now)
        if best is not None:
            toward, index = best
            free, pace = rooms[toward][index]
            rooms[toward][index] = (free - task.step.demand.millicores, pace)
            found.setdefault((item, toward), []).append(task)
    return found


def _best_room(item, task, rooms, found, now):
    """Return the pool and the server's place in it for a task, or None."""
    is_late = item.due_at - now < task.step.estimate_s / FASTEST
    best, best_key = None, None
    for pool, servers in rooms.items():
        for index, (free, pace) in enumerate(servers):
            if free < task.step.demand.millicores:
                continue
            if not is_late and now + task.step.estimate_s / pace > item.due_at:
                continue
            key = ((item, pool) in found, pace, free)
            if best_key is None or key > best_key:
                best, best_key = (pool, index), key
    return best
