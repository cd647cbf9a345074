"""On which backend server a task runs, or whether it waits for a faster one.

The load that this answers: servers whose speeds differ by a factor of three, some of them too slow
for a long task to meet its objective even if it starts at once.  Taking any free server makes the
longest jobs late while most servers are idle.
"""

from collections.abc import Callable, Iterable

from rosedyke.rerun import job, owned_job, server_speed, server_state


def choose(
    task: owned_job.OwnedTask,
    service: str,
    servers: Iterable[server_state.ServerRuns],
    speeds: server_speed.Speeds,
    used: dict[str, job.Demand],
) -> server_state.ServerRuns | None:
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


def should_wait(
    task: owned_job.OwnedTask,
    found: server_state.ServerRuns,
    due_at: float,
    servers: Iterable[server_state.ServerRuns],
    speeds: server_speed.Speeds,
    used: dict[str, job.Demand],
    end_of: Callable[[server_state.ServerRuns, server_state.Run], float],
    now: float,
) -> bool:
    """Return whether a task would be late on the server found, but not on one that is busy now.

    Parameters
    ----------
    found : ServerRuns
        What ``choose`` returned.
    end_of : callable
        Returns when a run is expected to end.
    """
    estimate_s = task.step.estimate_s
    if now + speeds.run_time_s(found.server.id, estimate_s) <= due_at:
        return False
    for state in servers:
        if state.server.id not in used or state is found or state.server.id in task.failed_on:
            continue
        if speeds.of(state.server.id) <= speeds.of(found.server.id):
            continue
        room_at = _room_at(state, task.step.demand, used[state.server.id], end_of)
        if room_at + speeds.run_time_s(state.server.id, estimate_s) <= due_at:
            return True
    return False


def _room_at(state, demand, used, end_of) -> float:
    """Return when a server is expected to have room, infinity if it never has."""
    left = used.millicores
    for end_at, freed in sorted(
        (end_of(state, run), run.demand.millicores)
        for run in state.runs.values()
        if run.demand is not None
    ):
        left -= freed
        if left + demand.millicores <= state.server.capacity.millicores:
            return end_at
    return float("inf")
