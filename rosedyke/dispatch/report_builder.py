"""How busy a pool is, as its owner tells it to the others.

Working a report out goes over all leases, and an owner sends one with every answer; so one is
repeated for a moment, and the queue's profile for longer.
"""

from rosedyke.dispatch import messages, settings

# Points of the queue's profile that a report carries.
PROFILE_STEPS = 4


class Reporter:
    """Makes the reports of one pool.

    Parameters
    ----------
    options : DispatchSettings
        How long a report is repeated.
    """

    def __init__(self, options: settings.DispatchSettings):
        self.options = options
        self.newest: messages.PoolReport | None = None
        self.made_at = float("-inf")
        self.profile: tuple[tuple[float, float], ...] = ()
        self.profiled_at = float("-inf")

    def report(self, pool, now: float, is_barred) -> messages.PoolReport:
        """Return a report of ``pool``, at most ``report_s`` old."""
        if self.newest is None or now >= self.made_at + self.options.report_s:
            self.made_at = now
            self.newest = self._make(pool, now, is_barred)
        return self.newest

    def _make(self, pool, now, is_barred):
        free = []
        rate = 0.0
        running_s = 0.0
        slots = 0
        for server in pool.usable(now, is_barred):
            slowness = pool.speeds.slowness(server.declared.name)
            slots += server.declared.slots
            rate += server.declared.slots / slowness
            if server.free() > 0:
                free.append((slowness, server.free()))
            running_s += sum(held.remaining_s(now) for held in server.leases.values()) / slowness
        free.sort()
        if pool.limit is not None and slots > pool.limit:
            rate *= pool.limit / slots
            slots = pool.limit
            if len(pool.leases) >= pool.limit:
                free.clear()
        return messages.PoolReport(
            tuple(free),
            pool.waiting.work_s,
            running_s,
            rate,
            slots,
            pool.waiting.tasks,
            room_s(pool, now, rate),
            self._ahead(pool, now),
        )

    def _ahead(self, pool, now):
        if now >= self.profiled_at + self.options.advertise_s:
            self.profiled_at = now
            self.profile = pool.waiting.ahead(now, PROFILE_STEPS)
        return self.profile if pool.waiting else ()


def room_s(pool, now: float, rate: float) -> float:
    """Return how much work can be added before the last in the queue misses its deadline."""
    if not pool.waiting:
        return rate * pool.max_timeout_s
    left_s = pool.waiting.ordered[-1].deadline - now
    return max(0.0, rate * left_s - pool.waiting.work_s)
