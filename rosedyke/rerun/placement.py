"""On which backend server a task runs, or whether it waits for a faster one.

The load that this answers: servers whose speeds differ by a factor of three, some of them too slow
for a long task to meet its objective even if it starts at once.  Taking any free server makes the
longest jobs late while most servers are idle.
"""

from collections.abc import Callable, Iterable

from rosedyke.rerun import job, owned_job, server_speed, server_state


def choose_server(
    task: owned_job.OwnedTask,
    service: str,
    servers: Iterable[server_state.ServerState],
    speeds: server_speed.ServerSpeeds,
    allocated: dict[str, job.Demand],
) -> server_state.ServerState | None:
    """Return the server that would finish a task first among those with room, or None.

    Servers on which the task has failed or stood still are the last choice: what fails everything
    would otherwise use up all its attempts.

    Parameters
    ----------
    allocated : dict of str to Demand
        What is taken up on each server that may get tasks, by id.
    """
    best, best_key = None, None
    demand = task.step.demand
    for state in servers:
        server = state.server
        if server.service != service or server.id not in allocated:
            continue
        if not demand.fits(allocated[server.id], server.capacity):
            continue
        # Of equally fast servers the one that is left with the least room, so that large tasks
        # still find some.
        key = (
            server.id in task.failed_on,
            speeds.run_time_s(server.id, task.step.estimate_s),
            server.capacity.millicores - allocated[server.id].millicores,
        )
        if best_key is None or key < best_key:
            best, best_key = state, key
    return best


def should_wait(
    task: owned_job.OwnedTask,
    candidate: server_state.ServerState,
    due_at: float,
    servers: Iterable[server_state.ServerState],
    speeds: server_speed.ServerSpeeds,
    allocated: dict[str, job.Demand],
    end_of: Callable[[server_state.ServerState, server_state.Run], float],
    now: float,
) -> bool:
    """Return whether a task would be late on the server found, but not on one that is busy now.

    Parameters
    ----------
    candidate : ServerRuns
        What ``choose_server`` returned.
    end_of : callable
        Returns when a run is expected to end.
    """
    estimate_s = task.step.estimate_s
    if now + speeds.run_time_s(candidate.server.id, estimate_s) <= due_at:
        return False
    for state in servers:
        if (
            state.server.id not in allocated
            or state is candidate
            or state.server.id in task.failed_on
        ):
            continue
        if speeds.speed_of(state.server.id) <= speeds.speed_of(candidate.server.id):
            continue
        room_available_at = _room_available_at(
            state, task.step.demand, allocated[state.server.id], end_of
        )
        if room_available_at + speeds.run_time_s(state.server.id, estimate_s) <= due_at:
            return True
    return False


def _room_available_at(state, demand, allocated, end_of) -> float:
    """Return when a server is expected to have room, infinity if it never has."""
    remaining = allocated.millicores
    for end_at, freed_millicores in sorted(
        (end_of(state, run), run.demand.millicores)
        for run in state.runs.values()
        if run.demand is not None
    ):
        remaining -= freed_millicores
        if remaining + demand.millicores <= state.server.capacity.millicores:
            return end_at
    return float("inf")
