"""Chooses the backend server for a task, or lets the task wait for a faster one.

Server speeds differ by a factor of three, so a long task may miss its objective on a slow server
even if it starts there at once.
"""

from collections.abc import Callable, Iterable

from rosedyke.rerunnable_jobs import job, owned_job, server_speed, server_state


def choose_server(
    task: owned_job.OwnedTask,
    service: str,
    servers: Iterable[server_state.ServerState],
    speeds: server_speed.ServerSpeeds,
    allocated: dict[str, job.Demand],
) -> server_state.ServerState | None:
    """Return the server with free capacity that would finish a task first, or None.

    Servers on which the task has failed or stalled come last, so that one faulty server does not
    use up all attempts.

    Parameters
    ----------
    allocated : dict of str to Demand
        Allocated resources of each server that accepts tasks, by id.
    """
    best, best_key = None, None
    demand, estimate_s, failed_on = task.step.demand, task.step.estimate_s, task.failed_on
    # A job of some tasks compares hundreds of servers, so most are passed over without a call.
    known_speeds = speeds.by_server
    for state in servers:
        server = state.server
        used = allocated.get(server.id)
        if used is None or server.service != service:
            continue
        free_millicores = server.capacity.millicores - used.millicores
        if demand.millicores > free_millicores or not demand.fits(used, server.capacity):
            continue
        speed = known_speeds.get(server.id)
        if speed is None:
            speed = speeds.speed_of(server.id)
        # Best fit among equally fast servers, to keep capacity for large tasks.
        key = (
            server.id in failed_on,
            estimate_s / speed,
            free_millicores,
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
    expected_run_end: Callable[[server_state.ServerState, server_state.Run], float],
    now: float,
) -> bool:
    """Return whether a task would be late on the candidate but not on a server that is busy now.

    Parameters
    ----------
    candidate : ServerState
        The result of ``choose_server``.
    expected_run_end : callable
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
        available_at = _capacity_available_at(
            state, task.step.demand, allocated[state.server.id], expected_run_end
        )
        if available_at + speeds.run_time_s(state.server.id, estimate_s) <= due_at:
            return True
    return False


def _capacity_available_at(state, demand, allocated, expected_run_end) -> float:
    """Return when a server is expected to have enough free capacity, infinity if never."""
    remaining = allocated.millicores
    for end_at, freed_millicores in sorted(
        (expected_run_end(state, run), run.demand.millicores)
        for run in state.runs.values()
        if run.demand is not None
    ):
        remaining -= freed_millicores
        if remaining + demand.millicores <= state.server.capacity.millicores:
            return end_at
    return float("inf")
