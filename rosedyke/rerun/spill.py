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
    candidates: list[Waiting], reports: list[messages.PoolReport]
) -> dict[tuple[owned.OwnedJob, str], list[owned.OwnedTask]]:
    """Return which tasks go to which pool.

    Tasks of a job go to as few pools as possible, since each more is one more owner that may be
    lost with a part of it; a pool with waiting tasks of its own gets none.

    Parameters
    ----------
    candidates : list of (OwnedJob, OwnedTask)
        The most urgent first.
    reports : list of PoolReport
        What other pools say of their room.
    """
    rooms = {
        report.pool: sorted(report.rooms, reverse=True)
        for report in reports
        if report.backlog_s == 0
    }
    found: dict[tuple[owned.OwnedJob, str], list[owned.OwnedTask]] = {}
    for item, task in candidates:
        toward = _pool_with_room(item, task, rooms, found)
        if toward:
            _take(rooms[toward], task.step.demand.millicores)
            found.setdefault((item, toward), []).append(task)
    return found


def _pool_with_room(item, task, rooms, found):
    needed = task.step.demand.millicores
    fitting = [pool for pool, free in rooms.items() if free and free[0] >= needed]
    if not fitting:
        return ""
    return max(fitting, key=lambda pool: ((item, pool) in found, sum(rooms[pool])))


def _take(free, needed):
    free[0] -= needed
    free.sort(reverse=True)
