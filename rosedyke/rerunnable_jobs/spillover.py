"""Selects the waiting tasks of a full pool to move to other pools.

A wide job can fill its pool while other pools are idle.
"""

from rosedyke.rerunnable_jobs import owned_job

# Tasks that are expected to wait less than this stay: moving one takes two messages, and the
# offered capacity may be gone by then.
MIN_WAIT_S = 0.01
# Keeps tasks from being moved endlessly between pools that all fill up.  Each server is offered to
# one pool at a time, so a second move is rare.
MAX_MOVES = 4

WaitingTask = tuple[owned_job.OwnedJob, owned_job.OwnedTask]


def expected_waits(remaining_s: list[float], count: int) -> list[float]:
    """Return the expected wait of each of ``count`` tasks in their order.

    Each run that ends is assumed to free capacity for one task.  If nothing runs, the servers are
    unresponsive, and a long wait is assumed.

    Parameters
    ----------
    remaining_s : list of float
        Expected remaining time of each run.
    """
    ordered = sorted(remaining_s)
    if not ordered:
        return [1.0] * count
    return [ordered[min(rank, len(ordered) - 1)] for rank in range(count)]


def movable_tasks(
    waiting: list[WaitingTask], remaining_s: list[float], now: float
) -> list[WaitingTask]:
    """Return the tasks that would start sooner in a pool with free capacity.

    Includes tasks that have already waited for long, whatever their expected wait: they may need a
    faster server or more cores than the next run frees.

    Parameters
    ----------
    waiting : list of (OwnedJob, OwnedTask)
        Waiting tasks, most urgent first.
    remaining_s : list of float
        Expected remaining time of each run in their pool.
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
    offered_servers: tuple[tuple[int, float], ...],
    fastest: float,
    now: float,
) -> dict[owned_job.OwnedJob, list[owned_job.OwnedTask]]:
    """Return the tasks to move to a pool that offers free capacity.

    A task moves to a server that finishes it in time; a late task moves to any server.

    Parameters
    ----------
    candidates : list of (OwnedJob, OwnedTask)
        Movable tasks, most urgent first.
    offered_servers : tuple of (int, float)
        Free millicores and speed of each offered server.
    fastest : float
        Speed of the fastest known server; a task that it cannot finish in time is late.
    """
    fastest = max([fastest, *(speed for _, speed in offered_servers)])
    remaining = list(offered_servers)
    assigned: dict[owned_job.OwnedJob, list[owned_job.OwnedTask]] = {}
    for owned, task in candidates:
        index = _fastest_server(owned, task, remaining, fastest, now)
        if index is not None:
            free, speed = remaining[index]
            remaining[index] = (free - task.step.demand.millicores, speed)
            assigned.setdefault(owned, []).append(task)
    return assigned


def _fastest_server(owned, task, offered_servers, fastest, now):
    """Return the index of the fastest server on which a task fits, or None."""
    is_late = owned.due_at - now < task.step.estimate_s / fastest
    best, best_key = None, None
    for index, (free, speed) in enumerate(offered_servers):
        if free < task.step.demand.millicores:
            continue
        if not is_late and now + task.step.estimate_s / speed > owned.due_at:
            continue
        key = (speed, -free)
        if best_key is None or key > best_key:
            best, best_key = index, key
    return best
