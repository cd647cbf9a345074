"""Builds the load reports of a pool.

Building a report iterates over all leases and an owner sends one with every reply, so reports are
cached briefly and the queue's profile for longer.
"""

from rosedyke.dispatch import messages, settings

# Points of the queue profile in a report.
PROFILE_POINTS = 4


class ReportBuilder:
    """Builds and caches the reports of one pool.

    Parameters
    ----------
    options : DispatchSettings
        For how long a report is cached.
    """

    def __init__(self, options: settings.DispatchSettings):
        self.options = options
        self.last_report: messages.PoolReport | None = None
        self.built_at = float("-inf")
        self.profile: tuple[tuple[float, float], ...] = ()
        self.profiled_at = float("-inf")

    def report(self, pool, now: float, is_excluded) -> messages.PoolReport:
        """Return a report of ``pool``, at most ``report_s`` old."""
        if self.last_report is None or now >= self.built_at + self.options.report_s:
            self.built_at = now
            self.last_report = self._build(pool, now, is_excluded)
        return self.last_report

    def _build(self, pool, now, is_excluded):
        free = []
        rate = 0.0
        running_s = 0.0
        slots = 0
        for server in pool.usable_servers(now, is_excluded):
            slowness = pool.speeds.slowness(server.declared.name)
            slots += server.declared.slots
            rate += server.declared.slots / slowness
            if server.free_slots() > 0:
                free.append((slowness, server.free_slots()))
            running_s += sum(lease.remaining_s(now) for lease in server.leases.values()) / slowness
        free.sort()
        if pool.concurrency_limit is not None and slots > pool.concurrency_limit:
            rate *= pool.concurrency_limit / slots
            slots = pool.concurrency_limit
            if len(pool.leases) >= pool.concurrency_limit:
                free.clear()
        return messages.PoolReport(
            tuple(free),
            pool.wait_queue.work_s,
            running_s,
            rate,
            slots,
            pool.wait_queue.task_count,
            room_s(pool, now, rate),
            self._work_ahead(pool, now),
        )

    def _work_ahead(self, pool, now):
        if now >= self.profiled_at + self.options.advertise_s:
            self.profiled_at = now
            self.profile = pool.wait_queue.work_ahead_profile(now, PROFILE_POINTS)
        return self.profile if pool.wait_queue else ()


def room_s(pool, now: float, rate: float) -> float:
    """Return the work that can be added before the last queued job misses its deadline."""
    if not pool.wait_queue:
        return rate * pool.max_timeout_s
    remaining_s = pool.wait_queue.ordered[-1].deadline - now
    return max(0.0, rate * remaining_s - pool.wait_queue.work_s)
