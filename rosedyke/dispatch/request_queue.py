"""Queue of the waiting tasks of one pool, with the shortest remaining job first.

A pool belongs to one service and so to one team: teams never compete within a queue, and quotas
limit the pool as a whole.

Jobs are ordered by expected remaining work, with aging in favour of those that wait longer.  All
jobs age at the same rate, so the order of two jobs changes only when one of them gets a slot; a
sorted list is sufficient.
"""

import bisect
import typing
from collections.abc import Iterator

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages, speed
from rosedyke.wire import peer


class RequestKey(typing.NamedTuple):
    """Identifies a request by its holder and number."""

    holder: str
    incarnation: int
    request: int


@attrs.define(eq=False)
class QueuedGroup:
    """Waiting tasks of one request with the same type, run time and size.

    Attributes
    ----------
    reference_s : float
        Expected run time of one task on a server of average speed.
    indices : list of int
        Indices in the job; the next one to run is last.
    """

    task: str
    run_time_s: float
    size: intent.Size
    reference_s: float
    indices: list[int]

    @property
    def kind(self) -> tuple[str, float, intent.Size]:
        """Type, run time and size of the tasks, which determine their placement."""
        return (self.task, self.run_time_s, self.size)


@attrs.define(eq=False)
class QueuedRequest:
    """One holder's request for slots.

    Attributes
    ----------
    groups : list of QueuedGroup
        Longest expected run time first.
    deadline : float
        Monotonic seconds at which the job ends.
    rank : float
        Sort key in the queue, lowest first.
    """

    holder: peer.Peer
    number: int
    groups: list[QueuedGroup]
    arrived_at: float
    deadline: float
    rank: float = 0.0

    @property
    def key(self) -> RequestKey:
        """The request's identifier."""
        return RequestKey(self.holder.name, self.holder.incarnation, self.number)

    def tasks_left(self) -> int:
        """Return the number of waiting tasks."""
        return sum(len(group.indices) for group in self.groups)

    def work_s(self) -> float:
        """Return the expected run time of all waiting tasks on a server of average speed."""
        return sum(len(group.indices) * group.reference_s for group in self.groups)


def queued_request(
    holder: peer.Peer, slot_request: messages.SlotRequest, speeds: speed.SpeedTable, now: float
) -> QueuedRequest:
    """Return the queue entry for a request."""
    groups = [
        QueuedGroup(
            group.task,
            group.run_time_s,
            group.size,
            speeds.reference_s(group.task, group.run_time_s),
            list(reversed(group.indices)),
        )
        for group in slot_request.groups
        if group.indices
    ]
    groups.sort(key=lambda group: -group.reference_s)
    return QueuedRequest(
        holder, slot_request.number, groups, now, now + slot_request.deadline_left_s
    )


class RequestQueue:
    """Waiting requests in scheduling order.

    Parameters
    ----------
    slots : int
        Slots of the pool, which convert work into time.
    aging : float
        Seconds of remaining work that one second of waiting offsets.
    """

    def __init__(self, slots: int, aging: float):
        self.slots = max(1, slots)
        self.aging = aging
        self.by_key: dict[RequestKey, QueuedRequest] = {}
        self.ordered: list[QueuedRequest] = []
        self.task_count = 0
        self.work_s = 0.0

    def __len__(self) -> int:
        return len(self.ordered)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self.ordered)

    def add(self, request: QueuedRequest) -> None:
        """Add a request; a request that is already queued is unchanged."""
        if request.key in self.by_key or not request.groups:
            return
        self.by_key[request.key] = request
        self.task_count += request.tasks_left()
        self.work_s += request.work_s()
        self._insert(request)

    def remove(self, key: RequestKey) -> QueuedRequest | None:
        """Remove a request and return it."""
        request = self.by_key.pop(key, None)
        if request is not None:
            self.task_count -= request.tasks_left()
            self.work_s -= request.work_s()
            self._remove_from_order(request)
        return request

    def pop_task(self, request: QueuedRequest, group: QueuedGroup) -> int:
        """Remove one task of a group and return its index."""
        index = group.indices.pop()
        self.task_count -= 1
        self.work_s -= group.reference_s
        self._remove_from_order(request)
        if not group.indices:
            request.groups.remove(group)
        if request.groups:
            self._insert(request)
        else:
            del self.by_key[request.key]
            if not self.ordered:
                self.work_s = 0.0  # discards accumulated rounding errors
        return index

    def work_ahead_profile(self, now: float, points: int) -> tuple[tuple[float, float], ...]:
        """Return the queued work that would precede a new job, for some job sizes.

        Each pair holds the reference seconds of the job and of the work in front of it.
        """
        if not self.ordered:
            return ()
        pairs = []
        ahead_s = 0.0
        stride = -(-len(self.ordered) // points)
        for position, request in enumerate(self.ordered, 1):
            ahead_s += request.work_s()
            if position % stride == 0 or position == len(self.ordered):
                size_s = (request.rank - self.aging * now) * self.slots
                pairs.append((size_s, ahead_s))
        return tuple(pairs)

    def expire(self, now: float) -> None:
        """Remove requests whose job's deadline has passed."""
        for request in [request for request in self.ordered if request.deadline <= now]:
            self.remove(request.key)

    def _insert(self, request):
        request.rank = request.work_s() / self.slots + self.aging * request.arrived_at
        bisect.insort(self.ordered, request, key=lambda other: other.rank)

    def _remove_from_order(self, request):
        position = bisect.bisect_left(self.ordered, request.rank, key=lambda other: other.rank)
        while self.ordered[position] is not request:
            position += 1
        del self.ordered[position]
