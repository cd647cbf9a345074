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
MAX_REQUESTS_SEEN = 16


Kind = tuple[str, float, intent.Size]


@attrs.frozen
class Choice:
    """A task for a slot."""

    item: request_queue.Waiting
    group: request_queue.WaitingGroup
    expected_s: float


class Horizon:
    """When the slots of a pool come free, as far as is known.

    Parameters
    ----------
    sizes : dict of str to Size
        The usable servers with what each has.
    busy_for : callable
        ``busy_for(name)`` returns the seconds until each busy slot of a server is free; called
        only for servers that matter.
    speeds : SpeedTable
        For expected run times.
    """

    def __init__(
        self,
        sizes: dict[str, intent.Size],
        busy_for: Callable[[str], list[float]],
        speeds: speed.SpeedTable,
    ):
        self.sizes = sizes
        self.busy_for = busy_for
        self.speeds = speeds
        self.free_in: dict[str, list[float]] = {}
        self.by_speed: dict[Kind, list[tuple[float, str]]] = {}
        self.expected: dict[Kind, dict[str, float]] = {}
        self.declined: dict[int, float] = {}

    def slots(self, name: str) -> list[float]:
        """Return the seconds until each slot of a server is free; the caller may add to it."""
        found = self.free_in.get(name)
        if found is None:
            found = self.free_in[name] = self.busy_for(name)
        return found

    def expected_s(self, group: request_queue.WaitingGroup, server: str) -> float:
        """Return the expected run time of a group's task on a server where it fits."""
        key = group.kind
        if key not in self.expected:
            times = {
                name: self.speeds.expected_s(group.task, name, group.run_time_s)
                for name, size in self.sizes.items()
                if group.size.fits(size)
            }
            self.expected[key] = times
            self.by_speed[key] = sorted((each_s, name) for name, each_s in times.items())
        return self.expected[key][server]

    def finishes_elsewhere(
        self, group: request_queue.WaitingGroup, server: str, by_s: float, wanted: float
    ) -> bool:
        """Return whether other servers can finish ``wanted`` tasks of a group by then."""
        finished = 0
        for each_s, other in self.by_speed[group.kind]:
            if each_s > by_s:
                return False  # and so are all further ones, which are slower
            if other == server:
                continue
            for wait_s in self.slots(other):
                if wait_s + each_s <= by_s:
                    finished += int((by_s - wait_s) / each_s)
            if finished >= wanted:
                return True
        return False


def choose(
    waiting: request_queue.RequestQueue, server: str, room: intent.Size, horizon: Horizon
) -> Choice | None:
    """Return the task that a free slot of ``server`` should get, None to leave it free.

    Parameters
    ----------
    waiting : RequestQueue
        What waits.
    server : str
        The server with the free slot.
    room : Size
        What the tasks that run there leave.
    horizon : Horizon
        When other slots come free.
    """
    ahead_s = 0.0
    for seen, item in enumerate(waiting, 1):
        if seen == MAX_REQUESTS_SEEN:
            # Stands for all behind it: with a long queue a slow server has to work too.
            ahead_s = max(ahead_s, waiting.work_s - item.work_s())
        for group in item.groups:
            wanted = ahead_s / group.reference_s + len(group.indices)
            ahead_s += len(group.indices) * group.reference_s
            if not group.size.fits(room):
                continue
            by_s = horizon.expected_s(group, server)
            if by_s >= horizon.declined.get(id(group), math.inf):
                continue  # was left to the same faster servers a moment ago
            if not horizon.finishes_elsewhere(group, server, by_s, wanted):
                return Choice(item, group, by_s)
            horizon.declined[id(group)] = by_s
        if seen == MAX_REQUESTS_SEEN:
            break
    return None
