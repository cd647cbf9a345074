"""Chooses the waiting task for a free slot, if any.

A task is placed on a slow server only if it would finish there before the faster servers could
finish it behind the work queued ahead of it.  Otherwise the last task of a job could be placed on
the slowest server merely because that server is free, and delay the job.
"""

import math
from collections.abc import Callable

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import request_queue, speed

# Bounds the cost of one placement; requests further back are not considered.
MAX_REQUESTS_EXAMINED = 16


TaskKind = tuple[str, float, intent.Size]


@attrs.frozen
class TaskChoice:
    """The task chosen for a slot."""

    request: request_queue.QueuedRequest
    group: request_queue.QueuedGroup
    expected_s: float


class SlotForecast:
    """Expected times at which the slots of a pool become free.

    Parameters
    ----------
    server_sizes : dict of str to Size
        Resources of each usable server.
    remaining_times_s : callable
        ``remaining_times_s(name)`` returns the seconds until each busy slot of a
        server is free; called only for the servers that are considered.
    speeds : SpeedTable
        For expected run times.
    """

    def __init__(
        self,
        server_sizes: dict[str, intent.Size],
        remaining_times_s: Callable[[str], list[float]],
        speeds: speed.SpeedTable,
    ):
        self.server_sizes = server_sizes
        self.remaining_times_s = remaining_times_s
        self.speeds = speeds
        self.free_times_s: dict[str, list[float]] = {}
        self.servers_by_speed: dict[TaskKind, list[tuple[float, str]]] = {}
        self.run_times_s: dict[TaskKind, dict[str, float]] = {}
        self.declined_finish_s: dict[int, float] = {}

    def slot_free_times_s(self, name: str) -> list[float]:
        """Return the seconds until each slot of a server is free; callers may append to it."""
        cached_times_s = self.free_times_s.get(name)
        if cached_times_s is None:
            cached_times_s = self.free_times_s[name] = self.remaining_times_s(name)
        return cached_times_s

    def expected_s(self, group: request_queue.QueuedGroup, server: str) -> float:
        """Return the expected run time of a group's task on a server that it fits."""
        key = group.kind
        if key not in self.run_times_s:
            times_by_server = {
                name: self.speeds.expected_s(group.task, name, group.run_time_s)
                for name, size in self.server_sizes.items()
                if group.size.fits(size)
            }
            self.run_times_s[key] = times_by_server
            self.servers_by_speed[key] = sorted(
                (run_s, name) for name, run_s in times_by_server.items()
            )
        return self.run_times_s[key][server]

    def finishes_elsewhere(
        self, group: request_queue.QueuedGroup, server: str, finish_s: float, task_count: float
    ) -> bool:
        """Return whether other servers can finish ``task_count`` tasks within ``finish_s``."""
        finished_count = 0
        for run_s, other in self.servers_by_speed[group.kind]:
            if run_s > finish_s:
                return False  # the remaining servers are slower still
            if other == server:
                continue
            for wait_s in self.slot_free_times_s(other):
                if wait_s + run_s <= finish_s:
                    finished_count += int((finish_s - wait_s) / run_s)
            if finished_count >= task_count:
                return True
        return False


def choose_task(
    queue: request_queue.RequestQueue, server: str, available: intent.Size, forecast: SlotForecast
) -> TaskChoice | None:
    """Return the task to run on a free slot of ``server``, None to leave the slot free.

    Parameters
    ----------
    queue : RequestQueue
        Waiting requests.
    server : str
        Name of the server with the free slot.
    available : Size
        Resources of the server that are not in use.
    forecast : SlotForecast
        Expected times at which other slots become free.
    """
    ahead_s = 0.0
    for position, request in enumerate(queue, 1):
        if position == MAX_REQUESTS_EXAMINED:
            # Accounts for the rest of the queue, so that a long queue also uses slow servers.
            ahead_s = max(ahead_s, queue.work_s - request.work_s())
        for group in request.groups:
            task_count = ahead_s / group.reference_s + len(group.indices)
            ahead_s += len(group.indices) * group.reference_s
            if not group.size.fits(available):
                continue
            finish_s = forecast.expected_s(group, server)
            if finish_s >= forecast.declined_finish_s.get(id(group), math.inf):
                continue  # already left to faster servers in this round
            if not forecast.finishes_elsewhere(group, server, finish_s, task_count):
                return TaskChoice(request, group, finish_s)
            forecast.declined_finish_s[id(group)] = finish_s
        if position == MAX_REQUESTS_EXAMINED:
            break
    return None
