"""Which waiting task a free slot gets, if any.

A free slot of a slow server is used only when the task would finish there before the faster
servers could have finished it after everything that goes before it.  So the last task of a job is
not put on the slowest server for the sole reason that this one was free.
"""

import math
from collections.abc import Callable

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import request_queue, speed

# Requests looked at for one slot; those further back wait for a slot of their own turn.
MAX_REQUESTS_EXAMINED = 16


TaskKind = tuple[str, float, intent.Size]


@attrs.frozen
class TaskChoice:
    """A task for a slot."""

    request: request_queue.QueuedRequest
    group: request_queue.QueuedGroup
    expected_s: float


class SlotForecast:
    """When the slots of a pool come free, as far as is known.

    Parameters
    ----------
    server_sizes : dict of str to Size
        The usable servers with what each has.
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
        """Return the seconds until each slot of a server is free; the caller may add to it."""
        cached_times_s = self.free_times_s.get(name)
        if cached_times_s is None:
            cached_times_s = self.free_times_s[name] = self.remaining_times_s(name)
        return cached_times_s

    def expected_s(self, group: request_queue.QueuedGroup, server: str) -> float:
        """Return the expected run time of a group's task on a server where it fits."""
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
        """Return whether other servers can finish ``wanted`` tasks of a group by then."""
        finished_count = 0
        for run_s, other in self.servers_by_speed[group.kind]:
            if run_s > finish_s:
                return False  # and so are all further ones, which are slower
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
    """Return the task that a free slot of ``server`` should get, None to leave it free.

    Parameters
    ----------
    queue : RequestQueue
        What waits.
    server : str
        The server with the free slot.
    available : Size
        What the tasks that run there leave.
    forecast : Horizon
        When other slots come free.
    """
    ahead_s = 0.0
    for position, request in enumerate(queue, 1):
        if position == MAX_REQUESTS_EXAMINED:
            # Stands for all behind it: with a long queue a slow server has to work too.
            ahead_s = max(ahead_s, queue.work_s - request.work_s())
        for group in request.groups:
            task_count = ahead_s / group.reference_s + len(group.indices)
            ahead_s += len(group.indices) * group.reference_s
            if not group.size.fits(available):
                continue
            finish_s = forecast.expected_s(group, server)
            if finish_s >= forecast.declined_finish_s.get(id(group), math.inf):
                continue  # was left to the same faster servers a moment ago
            if not forecast.finishes_elsewhere(group, server, finish_s, task_count):
                return TaskChoice(request, group, finish_s)
            forecast.declined_finish_s[id(group)] = finish_s
        if position == MAX_REQUESTS_EXAMINED:
            break
    return None
