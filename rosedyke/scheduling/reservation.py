"""Keeps capacity free for urgent work in a pool that is full of long runs.

Load: urgent narrow tasks arrive at pools whose servers are occupied by long runs while the demand
exceeds the capacity.  The order of the queue decides only what starts next, so a 60 ms task would
wait for the end of a 0.9 s run.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

# Time constants of the measured arrivals, in seconds.  The larger of the two rates counts, so that
# the reservation follows a burst at once and does not disappear between two jobs.
SLOW_S = 2.0
FAST_S = 0.3
# Nothing is reserved for a priority without arrivals for this long, in seconds.
FORGET_S = 3.0
# Utilisation, with the waiting work, above which a pool is under pressure.  Below it there is
# enough free capacity for urgent tasks without a reservation.
PRESSURE_UTILISATION = 0.7
# Largest share of a pool that is reserved, so that other priorities always make progress.
MAX_SHARE = 0.5


@attrs.frozen
class Work:
    """What is measured of the arrivals; sums over jobs.

    Attributes
    ----------
    jobs, tasks : float
        Their number.
    run_s : float
        Expected run times of all tasks on a server of speed 1, in seconds.
    millicores : float
        Demand of all tasks.
    slack_s : float
        Time by which each job may start late and still meet its objective at speed 1.
    """

    jobs: float = 0.0
    tasks: float = 0.0
    run_s: float = 0.0
    millicores: float = 0.0
    slack_s: float = 0.0

    def decayed(self, elapsed_s: float, constant_s: float, added: "Work") -> "Work":
        """Return the sums after an exponential decay, with more work added."""
        share = math.exp(-elapsed_s / constant_s)
        return Work(
            self.jobs * share + added.jobs,
            self.tasks * share + added.tasks,
            self.run_s * share + added.run_s,
            self.millicores * share + added.millicores,
            self.slack_s * share + added.slack_s,
        )


@attrs.frozen
class Arrivals:
    """The measured arrivals of one priority.

    Attributes
    ----------
    updated_at : float
        Time of the last arrival, in seconds.
    fast, slow : Work
        Sums that decay with ``FAST_S`` and ``SLOW_S``.
    """

    updated_at: float = 0.0
    fast: Work = Work()
    slow: Work = Work()

    def after(self, now: float, work: Work) -> "Arrivals":
        """Return the arrivals with those of more work."""
        elapsed_s = now - self.updated_at
        return Arrivals(
            now,
            self.fast.decayed(elapsed_s, FAST_S, work),
            self.slow.decayed(elapsed_s, SLOW_S, work),
        )

    def concurrency(self, now: float) -> float:
        """Return the mean number of tasks that run at speed 1, by Little's law."""
        elapsed_s = now - self.updated_at
        if elapsed_s > FORGET_S:
            return 0.0
        return max(
            self.fast.run_s * math.exp(-elapsed_s / FAST_S) / FAST_S,
            self.slow.run_s * math.exp(-elapsed_s / SLOW_S) / SLOW_S,
        )


@attrs.frozen
class Reservation:
    """Capacity that is reserved for all priorities up to one, in slots of their tasks.

    Attributes
    ----------
    priority : int
        The last of the priorities; the reservation applies to tasks of the following ones.
    slot_millicores : int
        Size of a slot.
    mean_slots : int
        Slots that the measured arrivals use on average.
    slots : int
        The same with one standard deviation.
    shortest_s : float
        The reservation applies to tasks with longer run times, in seconds at speed 1.  If the whole
        pool ran shorter tasks, enough slots for a job of these priorities would become free within
        its slack, so a slot that is kept idle would gain nothing.
    """

    priority: int
    slot_millicores: int
    mean_slots: int
    slots: int
    shortest_s: float = 0.0


def reservations(
    arrivals: Mapping[int, Arrivals], capacities: Iterable[int], speed: float, now: float
) -> tuple[Reservation, ...]:
    """Return the reservations of a pool, the most urgent one first.

    There is none for the last priority that has arrived, so none if all jobs have the same.

    Parameters
    ----------
    arrivals : mapping of int to Arrivals
        By priority.
    capacities : iterable of int
        Millicores of each server that accepts tasks.
    speed : float
        Mean speed of the servers.
    """
    recent = sorted(
        priority
        for priority, measured in arrivals.items()
        if now - measured.updated_at <= FORGET_S and measured.slow.tasks
    )
    result, tasks, millicores, size, shortest_s = [], 0.0, 0.0, 1, math.inf
    for priority in recent[:-1]:
        work, running = arrivals[priority].slow, arrivals[priority].concurrency(now) / speed
        tasks += running
        millicores += running * work.millicores / work.tasks
        size = max(size, round(work.millicores / work.tasks))
        pool_slots = sum(capacity // size for capacity in capacities)
        shortest_s = min(shortest_s, work.slack_s / work.tasks * pool_slots * speed)
        mean = millicores / size
        # Poisson: the standard deviation of the number of running tasks is its square root.
        deviating = mean * (1 + 1 / math.sqrt(tasks)) if tasks else 0.0
        limit = int(pool_slots * MAX_SHARE)
        result.append(
            Reservation(
                priority,
                size,
                min(limit, math.ceil(mean)),
                min(limit, math.ceil(deviating)),
                shortest_s,
            )
        )
    return tuple(result)


def is_under_pressure(used: int, waiting: int, capacity: int) -> bool:
    """Return whether a pool's utilisation, with the waiting work, is high; all in millicores."""
    return used + waiting > PRESSURE_UTILISATION * capacity


@attrs.frozen
class Usage:
    """The slots of one reservation that are free or used by its priorities.

    Attributes
    ----------
    free_slots : int
        Whole slots that are free.
    used_millicores : int
        Capacity that the priorities of the reservation use.
    later_millicores : int
        Capacity that the following priorities use.
    """

    reserved: Reservation
    free_slots: int
    used_millicores: int
    later_millicores: int = 0

    def allows(self, millicores: int, free_millicores: int, is_urgent: bool) -> bool:
        """Return whether a task of a later priority leaves enough for the reservation.

        Parameters
        ----------
        millicores : int
            Demand of the task.
        free_millicores : int
            Free capacity of the server that it would be placed on.
        is_urgent : bool
            The task would soon be useless, so only the mean is reserved.
        """
        if not self.later_millicores:
            # One task of the following priorities may always run.  Otherwise one that needs more
            # than half of a small pool would never start.
            return True
        size = self.reserved.slot_millicores
        lost_slots = free_millicores // size - (free_millicores - millicores) // size
        needed = self.reserved.mean_slots if is_urgent else self.reserved.slots
        return self.free_slots - lost_slots + self.used_millicores // size >= needed

    def spare(self, free_millicores: int) -> int:
        """Return how much of a server's free capacity is not needed for the reservation."""
        size = self.reserved.slot_millicores
        slots = self.free_slots + self.used_millicores // size - self.reserved.slots
        return free_millicores if free_millicores // size <= slots else max(0, slots) * size

    def after(self, priority: int, millicores: int, free_millicores: int) -> "Usage":
        """Return the usage after a task was placed on a server."""
        size = self.reserved.slot_millicores
        lost_slots = free_millicores // size - (free_millicores - millicores) // size
        is_reserved_for = priority <= self.reserved.priority
        return Usage(
            self.reserved,
            self.free_slots - lost_slots,
            self.used_millicores + (millicores if is_reserved_for else 0),
            self.later_millicores + (0 if is_reserved_for else millicores),
        )


def usage(reserved: Reservation, free: Iterable[int], used_by_priority: Mapping[int, int]) -> Usage:
    """Return the usage of one reservation.

    Parameters
    ----------
    free : iterable of int
        Free millicores of each server that accepts tasks.
    used_by_priority : mapping of int to int
        Millicores in use by the running tasks of each priority.
    """
    used = sum(
        millicores
        for priority, millicores in used_by_priority.items()
        if priority <= reserved.priority
    )
    return Usage(
        reserved,
        sum(millicores // reserved.slot_millicores for millicores in free),
        used,
        sum(used_by_priority.values()) - used,
    )
