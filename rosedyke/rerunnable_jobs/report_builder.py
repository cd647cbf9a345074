"""Builds the reports of a pool's owner for holders, and its resignation for a successor."""

import collections

from rosedyke.rerunnable_jobs import messages, routing

# How long a report is reused; all holders renew at about the same time.
REPORT_CACHE_S = 0.02


class ReportBuilder:
    """Builds the reports of one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the pool.
    """

    def __init__(self, owner):
        self.owner = owner
        self.last_report: messages.PoolReport | None = None
        self.reported_at = owner.owned_since

    def resignation(self) -> messages.Resign:
        """Return the message that hands the pool to a successor."""
        return messages.Resign(self.owner.name, self.owner.token, self._speeds())

    def report(self) -> messages.PoolReport:
        """Return a new report, by which holders choose pools."""
        now, delay = self.owner.runtime.now(), self.owner.delay
        servers = self.owner.available_servers(now)
        speed_millicores = sum(
            state.server.capacity.millicores * self.owner.speeds.speed_of(state.server.id)
            for state in servers
        )
        backlog_core_s = sum(owned.waiting_core_s() for owned in self.owner.jobs.values())
        waiting = collections.Counter(
            owned.work.queue for owned in self.owner.jobs.values() if not owned.has_started
        )
        return messages.PoolReport(
            self.owner.name,
            self.owner.token,
            (
                backlog_core_s / (speed_millicores / 1000)
                if speed_millicores
                else routing.NO_SERVER_WAIT_S
            ),
            tuple(
                (state.free_millicores(), self.owner.speeds.speed_of(state.server.id))
                for state in servers
            ),
            sum(state.server.capacity.millicores for state in servers),
            dict(waiting),
            self._speeds(),
            round(delay.work_wait_s(now), 4),
            delay.outgoing.bytes_per_s,
        )

    def recent_report(self) -> messages.PoolReport:
        """Return the cached report, or a new one if it has expired."""
        now = self.owner.runtime.now()
        if self.last_report is None or now - self.reported_at > REPORT_CACHE_S:
            self.last_report, self.reported_at = self.report(), now
        return self.last_report

    def _speeds(self):
        return {
            server_id: round(self.owner.speeds.speed_of(server_id), 3)
            for server_id in self.owner.server_states
        }
