"""Determines which services of one owner's pool are under pressure, and which queues must wait.

A queue must wait while it is at its limit and other queues want the capacity.
"""

import collections
from collections.abc import Iterable, Mapping

import attrs

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import events, job, owned_job
from rosedyke.scheduling import pressure, shares

# The utilisation varies from run to run; the end of the pressure is logged after this long without.
PRESSURE_END_S = 1.0


@attrs.define
class QueueLimits:
    """The limits of queues while the tasks of one service are placed.

    Attributes
    ----------
    queue_shares : mapping of str to QueueShare
        The shares in force.
    capacity : int
        Millicores of the service's servers that accept tasks.
    server_capacities : frozenset of Demand
        The capacities of these servers.
    used_by_queue : Counter of str
        Millicores that the running tasks of each queue use, with those placed in this pass.
    borrowing : set of str
        Queues that may use capacity above their limit, because no other queue wants it.
    waiting : Counter of str
        Number of tasks of each queue that wait at its limit.
    """

    queue_shares: Mapping[str, shares.QueueShare]
    capacity: int
    server_capacities: frozenset[job.Demand]
    used_by_queue: collections.Counter[str]
    borrowing: set[str] = attrs.Factory(set)
    waiting: collections.Counter[str] = attrs.Factory(collections.Counter)

    def is_over(self, queue: str, millicores: int) -> bool:
        """Return whether one more task of a queue would exceed its limit."""
        share = shares.share_of(self.queue_shares, queue)
        return shares.is_over_limit(share, self.used_by_queue[queue], millicores, self.capacity)

    def borrowers(self) -> list[str]:
        """Return the queues that use more than their limit."""
        return [queue for queue in self.used_by_queue if self.is_over(queue, 0)]

    def may_ever_fit(self, demand: job.Demand) -> bool:
        """Return whether a task fits on one of the servers while that runs nothing else."""
        return any(demand.fits(job.Demand(), capacity) for capacity in self.server_capacities)


@attrs.frozen
class ServiceUsage:
    """How one service's servers are used while they are under pressure.

    Attributes
    ----------
    is_urgent_first : bool
        Priority 0 comes first in the queue.
    used_by_queue : Counter of str
        Millicores that the running tasks of each queue use.
    capacity : int
        Millicores of the servers that accept tasks.
    limits : QueueLimits or None
        None if no queue has a limit.
    """

    is_urgent_first: bool
    used_by_queue: collections.Counter[str]
    capacity: int
    limits: QueueLimits | None


class PoolPressure:
    """The services under pressure; jobs of different services do not compete.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the pool.

    Attributes
    ----------
    services : dict of str to ServiceUsage
        The services under pressure as of the last call of ``update``.
    pressed_at : float or None
        When the pool was last under pressure, None after the end was logged.
    at_limit : list of (OwnedJob, OwnedTask)
        Tasks that wait because their queue is at its limit, while tasks are placed.
    """

    def __init__(self, owner):
        self.owner = owner
        self.services: dict[str, ServiceUsage] = {}
        self.pressed_at: float | None = None
        self.at_limit: list[tuple[owned_job.OwnedJob, owned_job.OwnedTask]] = []

    def update(
        self,
        waiting: list[owned_job.OwnedJob],
        allocated: dict[str, job.Demand],
        now: float,
    ) -> None:
        """Determine which services are under pressure.

        Parameters
        ----------
        waiting : list of OwnedJob
            The jobs with waiting tasks.
        allocated : dict of str to Demand
            Allocated resources of each server that accepts tasks, by id.
        """
        if not self.owner.timing.schedules_by_kind:
            return
        if not waiting:
            if self.pressed_at is not None:
                self.services = {}
                self._log(now)
            return
        waiting_millicores: dict[str, int] = {}
        for owned in waiting:
            service = owned.work.service
            millicores = waiting_millicores.get(service, 0) + owned.waiting_millicores()
            waiting_millicores[service] = millicores
        self.services = {}
        self.at_limit = []
        for service, millicores in waiting_millicores.items():
            usage = self._usage(service, millicores, allocated)
            if usage is not None:
                self.services[service] = usage
        self._log(now)

    def _usage(self, service, waiting_millicores, allocated):
        """Return a service's usage, None if it is not under pressure."""
        states = [
            state
            for server_id, state in self.owner.server_states.items()
            if server_id in allocated and state.server.service == service
        ]
        capacity = sum(state.server.capacity.millicores for state in states)
        used = sum(allocated[state.server.id].millicores for state in states)
        if not pressure.is_under_pressure(used, waiting_millicores, capacity):
            return None
        used_by_urgent = 0
        used_by_queue: collections.Counter[str] = collections.Counter()
        for state in states:
            for run in state.runs.values():
                if run.owned is None or run.demand is None:
                    continue
                used_by_queue[run.owned.work.queue] += run.demand.millicores
                if run.owned.work.priority == 0:
                    used_by_urgent += run.demand.millicores
        queue_shares = self.owner.timing.queue_shares
        limits = None
        if shares.has_limits(queue_shares):
            capacities = frozenset(state.server.capacity for state in states)
            limits = QueueLimits(queue_shares, capacity, capacities, used_by_queue.copy())
        is_urgent_first = pressure.is_urgent_first(used_by_urgent, capacity)
        return ServiceUsage(is_urgent_first, used_by_queue, capacity, limits)

    def _log(self, now):
        if self.services:
            if self.pressed_at is None:
                event.log(
                    events.POOL_UNDER_PRESSURE,
                    pool=self.owner.name,
                    services=sorted(self.services),
                )
            self.pressed_at = now
        elif self.pressed_at is not None and now - self.pressed_at > PRESSURE_END_S:
            self.pressed_at = None
            event.log(events.POOL_PRESSURE_ENDED, pool=self.owner.name)

    def is_urgent_first(self, service: str) -> bool:
        """Return whether priority 0 comes first among the waiting jobs of a service."""
        return service in self.services and self.services[service].is_urgent_first

    def waits_at_limit(self, owned: owned_job.OwnedJob, task: owned_job.OwnedTask) -> bool:
        """Return whether a task must wait now, because its queue is at its limit."""
        limits = self._limits(owned)
        queue = owned.work.queue
        if limits is None or queue in limits.borrowing:
            return False
        if not limits.is_over(queue, task.step.demand.millicores):
            return False
        self.at_limit.append((owned, task))
        return True

    def within_limit(
        self, owned: owned_job.OwnedJob, tasks: list[owned_job.OwnedTask]
    ) -> list[owned_job.OwnedTask]:
        """Return those tasks of a job that may run together without exceeding its queue's limit."""
        limits, queue = self._limits(owned), owned.work.queue
        if limits is None or queue in limits.borrowing:
            return tasks
        share, used = shares.share_of(limits.queue_shares, queue), limits.used_by_queue[queue]
        result = []
        for task in tasks:
            millicores = task.step.demand.millicores
            if not shares.is_over_limit(share, used, millicores, limits.capacity):
                used += millicores
                result.append(task)
        return result

    def on_placed(self, owned: owned_job.OwnedJob, task: owned_job.OwnedTask) -> None:
        """Count a task that was placed."""
        if limits := self._limits(owned):
            limits.used_by_queue[owned.work.queue] += task.step.demand.millicores

    def _limits(self, owned):
        usage = self.services.get(owned.work.service)
        return usage.limits if usage is not None else None

    def lend(self, unplaced: Iterable[tuple[owned_job.OwnedJob, owned_job.OwnedTask]]) -> tuple[
        list[tuple[owned_job.OwnedJob, owned_job.OwnedTask]],
        list[tuple[owned_job.OwnedJob, owned_job.OwnedTask]],
    ]:
        """Return the tasks at limits that may use what is free, and those that go on waiting.

        Parameters
        ----------
        unplaced : iterable of (OwnedJob, OwnedTask)
            The tasks that were tried and fit on no server.  Their queues want the capacity that
            becomes free, so a queue at its limit must not take any of it piece by piece.
        """
        wanted = self._wanted(unplaced)
        lent, waiting = [], []
        for owned, task in self.at_limit:
            queue, limits = owned.work.queue, self._limits(owned)
            if wanted[owned.work.service] - {queue}:
                limits.waiting[queue] += 1
                waiting.append((owned, task))
            else:
                limits.borrowing.add(queue)
                lent.append((owned, task))
        self.at_limit = []
        return lent, waiting

    def _wanted(self, unplaced):
        """Return the queues that want capacity, by service.

        A task that is too large for every server must not leave the pool idle.
        """
        wanted: dict[str, set[str]] = collections.defaultdict(set)
        for owned, task in unplaced:
            limits, queues = self._limits(owned), wanted[owned.work.service]
            if limits is None or owned.work.queue in queues:
                continue
            if limits.may_ever_fit(task.step.demand):
                queues.add(owned.work.queue)
        return wanted
