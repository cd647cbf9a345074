"""On which backend server a task runs."""

from collections.abc import Iterable

from rosedyke.rerun import job, owned, server_runs, speed


def choose(
    task: owned.OwnedTask,
    service: str,
    servers: Iterable[server_runs.ServerRuns],
    speeds: speed.Speeds,
    used: dict[str, job.Demand],
) -> server_runs.ServerRuns | None:
    """Return the server that would finish a task first among those with room, or None.

    Servers on which the task has failed or stood still are the last choice: what fails everything
    would otherwise use up all its attempts.

    Parameters
    ----------
    used : dict of str to Demand
        What is taken up on each server that may get tasks, by id.
    """
    best, best_key = None, None
    demand = task.step.demand
    for state in servers:
        server = state.server
        if server.service != service or server.id not in used:
            continue
        if not demand.fits(used[server.id], server.capacity):
            continue
        # Of equally fast servers the one that is left with the least room, so that large tasks
        # still find some.
        key = (
            server.id in task.failed_on,
            speeds.run_time_s(server.id, task.step.estimate_s),
            server.capacity.millicores - used[server.id].millicores,
        )
        if best_key is None or key < best_key:
            best, best_key = state, key
    return best
