"""Determines which services of one owner's pool are under pressure."""

import collections

import attrs

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import events, job, owned_job
from rosedyke.scheduling import pressure

# The utilisation varies from run to run; the end of the pressure is logged after this long without.
PRESSURE_END_S = 1.0


@attrs.frozen
class ServiceUsage:
    """How one service's servers are used while they are under pressure.

    Attributes
    ----------
    is_urgent_first : bool
        Priority 0 comes first in the queue.
    used_by_queue : Counter of str
        Millicores that the running tasks of each queue use.
    """

    is_urgent_first: bool
    used_by_queue: collections.Counter[str]


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
    """

    def __init__(self, owner):
        self.owner = owner
        self.services: dict[str, ServiceUsage] = {}
        self.pressed_at: float | None = None

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
        return ServiceUsage(pressure.is_urgent_first(used_by_urgent, capacity), used_by_queue)

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
