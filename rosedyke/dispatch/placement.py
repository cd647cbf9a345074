"""Which waiting task a free slot gets, if any.

A free slot of a slow server is used only when the task would finish there before the faster
servers could have finished it after everything that goes before it.  So the last task of a job is
not put on the slowest server for the sole reason that this one was free.
"""

import math
from collections.abc import Iterable

import attrs

from rosedyke.dispatch import queue, speed

# Requests looked at for one slot; those further back wait for a slot of their own turn.
MAX_REQUESTS_SEEN = 16


@attrs.frozen
class Choice:
    """A task for a slot."""

    item: queue.Waiting
    group: queue.WaitingGroup
    expected_s: float


class Horizon:
    """When the slots of a pool come free, as far as is known.

    Parameters
    ----------
    free_in : dict of str to list of float
        For each usable server the seconds until each of its slots is free.
    speeds : SpeedTable
        For expected run times.
    """

    def __init__(self, free_in: dict[str, list[float]], speeds: speed.SpeedTable):
        self.free_in = free_in
        self.speeds = speeds
        self.expected: dict[tuple[str, float, str], float] = {}

    def expected_s(self, group: queue.WaitingGroup, server: str) -> float:
        """Return the expected run time of a group's task on a server."""
        key = (group.task, group.run_time_s, server)
        found = self.expected.get(key)
        if found is None:
            found = self.speeds.expected_s(group.task, server, group.run_time_s)
            self.expected[key] = found
        return found

    def finishes_elsewhere(
        self, group: queue.WaitingGroup, server: str, by_s: float, wanted: float
    ) -> bool:
        """Return whether other servers can finish ``wanted`` tasks of a group by then."""
        finished = 0
        for other, free_in in self.free_in.items():
            if other == server:
                continue
            each_s = self.expected_s(group, other)
            for wait_s in free_in:
                if wait_s + each_s <= by_s:
                    finished += math.floor((by_s - wait_s) / each_s)
                    if finished >= wanted:
                        return True
        return False


def choose(waiting: Iterable[queue.Waiting], server: str, room, horizon: Horizon) -> Choice | None:
    """Return the task that a free slot of ``server`` should get, None to leave it free.

    Parameters
    ----------
    waiting : iterable of Waiting
        In the queue's order.
    server : str
        The server with the free slot.
    room : Size
        What one task may need there.
    horizon : Horizon
        When other slots come free.
    """
    ahead_s = 0.0
    for seen, item in enumerate(waiting):
        if seen >= MAX_REQUESTS_SEEN:
            break
        for group in item.groups:
            wanted = ahead_s / group.reference_s + len(group.indices)
            ahead_s += len(group.indices) * group.reference_s
            if not group.size.fits(room):
                continue
            by_s = horizon.expected_s(group, server)
            if not horizon.finishes_elsewhere(group, server, by_s, wanted):
                return Choice(item, group, by_s)
    return None
