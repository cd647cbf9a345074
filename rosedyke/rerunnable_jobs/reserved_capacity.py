"""Applies the reservations for urgent work to the servers of one owner."""

import collections
import math

import attrs

from rosedyke.observe import event, metric
from rosedyke.rerunnable_jobs import (
    events,
    job,
    messages,
    metrics,
    owned_job,
    refusals,
    server_state,
)
from rosedyke.scheduling import reservation

# The utilisation varies from run to run; the end of the pressure is logged after this long without.
PRESSURE_END_S = 1.0


@attrs.define
class ServiceCapacity:
    """The capacity of one service's servers in a pool that is under pressure.

    Attributes
    ----------
    usages : tuple of Usage
        One for each reservation.
    is_urgent_first : bool
        Priority 0 comes first in the queue.  If it uses more than its largest possible reservation,
        it does not, so that other priorities make progress.
    used_by_queue : dict of str to int
        Millicores that the running tasks of each queue use.
    refused : dict of (tuple of int, bool) to int
        The smallest demand in millicores that was held back, by the priorities of the reservations
        that apply and whether the task was urgent.  Capacity only decreases while tasks are placed,
        so larger tasks are held back too.
    """

    usages: tuple[reservation.Usage, ...] = ()
    is_urgent_first: bool = False
    used_by_queue: dict[str, int] = attrs.Factory(dict)
    refused: dict[tuple[tuple[int, ...], bool], int] = attrs.Factory(dict)

    def applying(
        self, owned: owned_job.OwnedJob, task: owned_job.OwnedTask
    ) -> list[reservation.Usage]:
        """Return the usages of the reservations that apply to a task."""
        priority, run_s = owned.work.priority, task.step.estimate_s
        return [
            usage
            for usage in self.usages
            if usage.reserved.priority < priority and usage.reserved.shortest_s < run_s
        ]


class ReservedCapacity:
    """Measures the arrivals at one owner and reserves capacity for urgent work.

    Jobs of different services do not compete, so each service has its own reservations.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the pool.

    Attributes
    ----------
    arrivals : dict of str to dict
        Measured arrivals by service and priority.
    pressed : dict of str to ServiceCapacity
        The services under pressure as of the last call of ``update``.
    fastest : float
        Speed of the fastest server at that time.
    pressed_at : float or None
        When the pool was last under pressure, None after the end was logged.
    """

    def __init__(self, owner):
        self.owner = owner
        self.arrivals: dict[str, dict[int, reservation.Arrivals]] = {}
        self.pressed: dict[str, ServiceCapacity] = {}
        self.fastest = 1.0
        self.pressed_at: float | None = None

    def record_arrival(self, owned: owned_job.OwnedJob, now: float) -> None:
        """Measure the arrival of a job.

        Jobs that come from an earlier owner after a takeover arrive at once, which says nothing
        about the rate of arrivals.
        """
        if not self.owner.timing.schedules_by_kind or owned.may_have_run:
            return
        steps = [task.step for task in owned.tasks.values()]
        longest_s = max((step.estimate_s for step in steps), default=0.0)
        work = reservation.Work(
            1,
            len(steps),
            sum(step.estimate_s for step in steps),
            sum(step.demand.millicores for step in steps),
            max(0.0, owned.work.objective_s - longest_s),
        )
        measured = self.arrivals.setdefault(owned.work.service, {})
        previous = measured.get(owned.work.priority, reservation.Arrivals())
        measured[owned.work.priority] = previous.after(now, work)

    def update(
        self,
        waiting: list[owned_job.OwnedJob],
        allocated: dict[str, job.Demand],
        now: float,
    ) -> None:
        """Determine which services are under pressure, and their reservations.

        Parameters
        ----------
        waiting : list of OwnedJob
            The jobs with waiting tasks.
        allocated : dict of str to Demand
            Allocated resources of each server that accepts tasks, by id.
        """
        if not self.owner.timing.schedules_by_kind:
            return
        self.pressed = {}
        self.fastest = self.owner.fastest_speed()
        for service, measured in self.arrivals.items():
            states = [
                state
                for server_id, state in self.owner.server_states.items()
                if server_id in allocated and state.server.service == service
            ]
            capacity = self._capacity_under_pressure(states, measured, waiting, allocated, now)
            if capacity is not None:
                self.pressed[service] = capacity
        self._log_pressure(now)

    def _log_pressure(self, now):
        if self.pressed:
            if self.pressed_at is None:
                event.log(
                    events.POOL_UNDER_PRESSURE,
                    pool=self.owner.name,
                    services=sorted(self.pressed),
                    reserved_millicores=self.reserved_millicores(),
                )
            self.pressed_at = now
        elif self.pressed_at is not None and now - self.pressed_at > PRESSURE_END_S:
            self.pressed_at = None
            event.log(events.POOL_PRESSURE_ENDED, pool=self.owner.name)

    def _capacity_under_pressure(self, states, measured, waiting, allocated, now):
        capacities = [state.server.capacity.millicores for state in states]
        used = [allocated[state.server.id].millicores for state in states]
        demand = sum(
            task.step.demand.millicores
            for owned in waiting
            if states and owned.work.service == states[0].server.service
            for task in owned.tasks.values()
            if task.state is owned_job.TaskState.WAITING
        )
        if not reservation.is_under_pressure(sum(used), demand, sum(capacities)):
            return None
        speed = sum(self.owner.speeds.speed_of(state.server.id) for state in states) / len(states)
        reserved = reservation.reservations(measured, capacities, speed, now)
        free = [capacity - each for capacity, each in zip(capacities, used, strict=True)]
        by_priority: collections.Counter[int] = collections.Counter()
        by_queue: collections.Counter[str] = collections.Counter()
        for state in states:
            for run in state.runs.values():
                if run.owned is not None and run.demand is not None:
                    by_priority[run.owned.work.priority] += run.demand.millicores
                    by_queue[run.owned.work.queue] += run.demand.millicores
        return ServiceCapacity(
            tuple(reservation.usage(level, free, by_priority) for level in reserved),
            by_priority[0] <= reservation.MAX_SHARE * sum(capacities),
            by_queue,
        )

    def reserved_millicores(self) -> int:
        """Return the capacity that is reserved now, whether in use or free."""
        return sum(
            max(
                (usage.reserved.slots * usage.reserved.slot_millicores for usage in each.usages),
                default=0,
            )
            for each in self.pressed.values()
        )

    def is_urgent_first(self, service: str) -> bool:
        """Return whether priority 0 comes first among the waiting jobs of a service."""
        return service in self.pressed and self.pressed[service].is_urgent_first

    def spare_capacity(self, service: str, free_millicores: int, priority: int) -> int:
        """Return how much of a server's free capacity may be offered to tasks of a priority.

        The lengths of the tasks are unknown, so every reservation for priorities above applies.
        """
        capacity = self.pressed.get(service)
        if capacity is None:
            return free_millicores
        spare = [
            usage.spare(free_millicores)
            for usage in capacity.usages
            if usage.reserved.priority < priority
        ]
        return min(spare, default=free_millicores)

    def record_offer(
        self, service: str, millicores: int, free_millicores: int, priority: int
    ) -> None:
        """Account for the capacity of a server that was offered to tasks of a priority."""
        capacity = self.pressed.get(service)
        if capacity is not None:
            capacity.usages = tuple(
                usage.after(priority, millicores, free_millicores) for usage in capacity.usages
            )

    def last_offered_priority(self, request: messages.CapacityRequest) -> int | None:
        """Return the last priority whose tasks may use an offer, None if there is no limit."""
        return request.priority if request.service in self.pressed else None

    def holds_back(self, owned: owned_job.OwnedJob, task: owned_job.OwnedTask, now: float) -> bool:
        """Return whether an equal or smaller task of the priority was just held back."""
        capacity = self.pressed.get(owned.work.service)
        if capacity is None or not capacity.refused:
            return False
        millicores = task.step.demand.millicores
        levels = _priorities(capacity.applying(owned, task))
        if millicores < capacity.refused.get((levels, False), math.inf):
            return False
        is_refused = millicores >= capacity.refused.get((levels, True), math.inf)
        return is_refused or not self._is_urgent(owned, task, now)

    def allows(
        self,
        owned: owned_job.OwnedJob,
        task: owned_job.OwnedTask,
        state: server_state.ServerState,
        allocated: job.Demand,
        now: float,
    ) -> bool:
        """Return whether a task placed on a server leaves enough for more urgent work."""
        capacity = self.pressed.get(owned.work.service)
        if capacity is None:
            return True
        free = state.server.capacity.millicores - allocated.millicores
        millicores, usages = task.step.demand.millicores, capacity.applying(owned, task)
        for is_urgent in (False, True):
            if all(usage.allows(millicores, free, is_urgent) for usage in usages):
                return True
            key = (_priorities(usages), is_urgent)
            capacity.refused[key] = min(capacity.refused.get(key, millicores), millicores)
            if not self._is_urgent(owned, task, now):
                break
        if not task.is_held_back:
            task.is_held_back = True
            metric.count(metrics.HELD_BACK[min(owned.work.priority, metrics.LAST_PRIORITY)])
        return False

    def _is_urgent(self, owned, task, now):
        """Return whether a task that waits for one more run of its length would be useless."""
        run_s = task.step.estimate_s / max(self.fastest, 0.1)
        return now + 2 * run_s > refusals.useful_until(owned, self.owner.timing)

    def record_placement(
        self,
        owned: owned_job.OwnedJob,
        task: owned_job.OwnedTask,
        state: server_state.ServerState,
        allocated: job.Demand,
    ) -> None:
        """Account for a task that is placed on a server with these allocated resources."""
        capacity = self.pressed.get(owned.work.service)
        if capacity is not None:
            free = state.server.capacity.millicores - allocated.millicores
            capacity.usages = tuple(
                usage.after(owned.work.priority, task.step.demand.millicores, free)
                for usage in capacity.usages
            )


def _priorities(usages):
    return tuple(usage.reserved.priority for usage in usages)
