"""The tasks that wait in one pool, job with the least work left first.

A pool's servers belong to one service and so to one team: teams never compete within a queue,
and their quotas bound the pool as a whole.

The order is by expected work left, with aging: a waiting job gains on newer ones as time passes.
Because every job gains at the same pace, the order of two jobs changes only when one of them gets
a slot, so a sorted list is enough.
"""

import bisect
import typing
from collections.abc import Iterator

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, speed
from rosedyke.wire import peer


class Key(typing.NamedTuple):
    """What names a request: who asks, and its number there."""

    holder: str
    incarnation: int
    request: int


@attrs.define(eq=False)
class WaitingGroup:
    """Waiting tasks of one request that are alike.

    Attributes
    ----------
    reference_s : float
        Expected run time of one on a server of average speed.
    indices : list of int
        Positions in the job, the next one last.
    """

    task: str
    run_time_s: float
    size: intent.Size
    reference_s: float
    indices: list[int]

    @property
    def kind(self) -> tuple[str, float, intent.Size]:
        """What makes tasks alike, whatever their job."""
        return (self.task, self.run_time_s, self.size)


@attrs.define(eq=False)
class Waiting:
    """One holder's request for slots.

    Attributes
    ----------
    groups : list of WaitingGroup
        Longest expected run time first.
    deadline : float
        Monotonic seconds at which the job ends.
    rank : float
        Place in the queue's order.
    """

    holder: peer.Peer
    request: int
    groups: list[WaitingGroup]
    arrived_at: float
    deadline: float
    rank: float = 0.0

    @property
    def key(self) -> Key:
        """What names the request."""
        return Key(self.holder.name, self.holder.incarnation, self.request)

    def tasks_left(self) -> int:
        """Return how many tasks wait."""
        return sum(len(group.indices) for group in self.groups)

    def work_s(self) -> float:
        """Return the expected run time of all waiting tasks on a server of average speed."""
        return sum(len(group.indices) * group.reference_s for group in self.groups)


def waiting(
    holder: peer.Peer, asked: messages.SlotRequest, speeds: speed.SpeedTable, now: float
) -> Waiting:
    """Return a request as it waits in a queue."""
    groups = [
        WaitingGroup(
            group.task,
            group.run_time_s,
            group.size,
            speeds.reference_s(group.task, group.run_time_s),
            list(reversed(group.indices)),
        )
        for group in asked.groups
        if group.indices
    ]
    groups.sort(key=lambda group: -group.reference_s)
    return Waiting(holder, asked.number, groups, now, now + asked.deadline_left_s)


class RequestQueue:
    """Waiting requests in the order in which they get slots.

    Parameters
    ----------
    slots : int
        Slots of the pool, which turn work into time.
    aging : float
        Seconds of work that one second of waiting outweighs.
    """

    def __init__(self, slots: int, aging: float):
        self.slots = max(1, slots)
        self.aging = aging
        self.by_key: dict[Key, Waiting] = {}
        self.ordered: list[Waiting] = []
        self.tasks = 0
        self.work_s = 0.0

    def __len__(self) -> int:
        return len(self.ordered)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(self.ordered)

    def add(self, item: Waiting) -> None:
        """Take in a request; one that waits already is left as it is."""
        if item.key in self.by_key or not item.groups:
            return
        self.by_key[item.key] = item
        self.tasks += item.tasks_left()
        self.work_s += item.work_s()
        self._insert(item)

    def remove(self, key: Key) -> Waiting | None:
        """Forget a request and return it."""
        item = self.by_key.pop(key, None)
        if item is not None:
            self.tasks -= item.tasks_left()
            self.work_s -= item.work_s()
            self._take_out(item)
        return item

    def take(self, item: Waiting, group: WaitingGroup) -> int:
        """Remove one task of a group and return its index."""
        index = group.indices.pop()
        self.tasks -= 1
        self.work_s -= group.reference_s
        self._take_out(item)
        if not group.indices:
            item.groups.remove(group)
        if item.groups:
            self._insert(item)
        else:
            del self.by_key[item.key]
            if not self.ordered:
                self.work_s = 0.0  # no error of rounding may add up
        return index

    def ahead(self, now: float, steps: int) -> tuple[tuple[float, float], ...]:
        """Return for some sizes of a new job how much waiting work would go before it.

        Each pair is reference seconds of a job and of the work that waits in front of it.
        """
        if not self.ordered:
            return ()
        pairs = []
        ahead_s = 0.0
        step = -(-len(self.ordered) // steps)
        for number, item in enumerate(self.ordered, 1):
            ahead_s += item.work_s()
            if number % step == 0 or number == len(self.ordered):
                size_s = (item.rank - self.aging * now) * self.slots
                pairs.append((size_s, ahead_s))
        return tuple(pairs)

    def expire(self, now: float) -> None:
        """Forget requests whose job has ended."""
        for item in [item for item in self.ordered if item.deadline <= now]:
            self.remove(item.key)

    def _insert(self, item):
        item.rank = item.work_s() / self.slots + self.aging * item.arrived_at
        bisect.insort(self.ordered, item, key=lambda other: other.rank)

    def _take_out(self, item):
        at = bisect.bisect_left(self.ordered, item.rank, key=lambda other: other.rank)
        while self.ordered[at] is not item:
            at += 1
        del self.ordered[at]
