"""Builds the reports of a pool's owner for holders, and its resignation for a successor."""

import collections

import attrs
import msgspec

from rosedyke.rerunnable_jobs import learned_state, messages, routing

# How long a report is reused; all holders renew at about the same time.
REPORT_CACHE_S = 0.02
# A holder gets a report with an outcome only if it was sent none for this long.  Shorter than the
# interval of renewals, so that the reports of a busy pool are as recent as without the limit.
REPORT_INTERVAL_S = 0.05
# A speed counts as changed if it differs by this share from the one last reported.
SPEED_CHANGE = 0.1
# Changed speeds get a new version at most this often.  Each of a pool's servers crosses
# ``SPEED_CHANGE`` every few seconds under load, and a successor uses speeds as a hint only.
SPEEDS_INTERVAL_S = 2.0


class ReportBuilder:
    """Builds the reports of one owner.

    Parameters
    ----------
    owner : PoolOwner
        The owner of the pool.

    Attributes
    ----------
    sent_at : dict of str to float
        When a report was sent to each holder, within the last ``REPORT_INTERVAL_S``.
    servers : dict of str to float
        The servers and speeds of the last report.
    servers_version : int
        Increases whenever a server is added to ``servers`` or removed.
    earlier_owners : tuple of KnownOwner
        The earlier owners of the last report.
    speeds_version : int
        Increases whenever one of the speeds changes, or what is known of earlier owners.
    speeds_changed_at : float
        When it last increased because of a speed.
    """

    def __init__(self, owner):
        self.owner = owner
        self.last_report: messages.PoolReport | None = None
        self.last_without_servers: messages.PoolReport | None = None
        self.reported_at = owner.owned_since
        self.sent_at: dict[str, float] = {}
        self.servers: dict[str, float] = {}
        self.earlier_owners: tuple[messages.KnownOwner, ...] = ()
        self.servers_version = self.speeds_version = 0
        self.speeds_changed_at = float("-inf")
        self.learned = learned_state.LearnedStateBuilder(owner)

    def resignation(
        self, sent_s: float, balance: messages.BalanceMove | None = None
    ) -> messages.Resign:
        """Return the message that hands the pool to a successor.

        Parameters
        ----------
        sent_s : float
            The current time by the successor's clock.
        """
        servers = self.update_servers()
        return messages.Resign(
            self.owner.name,
            self.owner.token,
            sent_s,
            servers,
            balance,
            self.servers_version,
            self.earlier_owners,
            self.learned.current(),
        )

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
            messages.group_rooms(
                (state.free_millicores(), self.owner.speeds.speed_of(state.server.id))
                for state in servers
            ),
            sum(state.server.capacity.millicores for state in servers),
            dict(waiting),
            self.update_servers(),
            self.servers_version,
            round(delay.work_wait_s(now), 4),
            delay.outgoing.bytes_per_s,
            self.speeds_version,
            self.learned.reported(),
            self.earlier_owners or msgspec.UNSET,
        )

    def recent_report(self) -> messages.PoolReport:
        """Return the cached report, or a new one if it has expired."""
        now = self.owner.runtime.now()
        if self.last_report is None or now - self.reported_at > REPORT_CACHE_S:
            self.last_report, self.reported_at = self.report(), now
            self.last_without_servers = self.last_report.without_servers()
            cutoff = now - REPORT_INTERVAL_S
            self.sent_at = {name: sent for name, sent in self.sent_at.items() if sent > cutoff}
        return self.last_report

    def report_for_outcome(self, holder: str) -> messages.PoolReport | None:
        """Return the cached report without ``servers``, None if the holder has a recent one."""
        now = self.owner.runtime.now()
        if now - self.sent_at.get(holder, float("-inf")) < REPORT_INTERVAL_S:
            return None
        self.sent_at[holder] = now
        self.recent_report()
        return self.last_without_servers

    def report_for_renewal(
        self, holder: str, known_version: tuple[int, ...] | None
    ) -> messages.PoolReport:
        """Return the cached report for a holder, without what the holder knows already.

        Parameters
        ----------
        holder : str
            Name of the holder's instance.
        known_version : tuple of int or None
            Token and versions of the servers, speeds and learned state that the holder knows, as in
            ``Renew.servers_versions``; None if it knows none.
        """
        report = self.recent_report()
        self.sent_at[holder] = self.owner.runtime.now()
        known = known_version or ()
        versions = (report.token, report.servers_version, report.speeds_version)
        knows_servers = report.servers is None or known[:3] == versions
        knows_learned = report.learned is msgspec.UNSET or (
            known[:1] == (report.token,) and known[3:] == (report.learned.version,)
        )
        if knows_servers and knows_learned:
            return self.last_without_servers
        if knows_servers:
            return attrs.evolve(report, servers=None, earlier_owners=msgspec.UNSET)
        return attrs.evolve(report, learned=msgspec.UNSET) if knows_learned else report

    def update_servers(self) -> dict[str, float]:
        """Return the servers with their speeds after updating them and their versions."""
        now, speeds = self.owner.runtime.now(), self._speeds()
        # Later no job's holder has renewed with an earlier owner lately, unless it is cut off.
        are_leases_over = now - self.owner.owned_since > self.owner.timing.holder_lease_end_s
        earlier_owners = () if are_leases_over else self.owner.predecessors.known()
        if speeds.keys() != self.servers.keys() or not self.servers_version:
            self.servers, self.servers_version = speeds, self.servers_version + 1
        elif earlier_owners != self.earlier_owners:
            self.servers, self.speeds_version = speeds, self.speeds_version + 1
        elif now - self.speeds_changed_at >= SPEEDS_INTERVAL_S and any(
            abs(speed - self.servers[server_id]) >= SPEED_CHANGE * self.servers[server_id]
            for server_id, speed in speeds.items()
        ):
            self.servers, self.speeds_version = speeds, self.speeds_version + 1
            self.speeds_changed_at = now
        self.earlier_owners = earlier_owners
        return self.servers

    def _speeds(self):
        """Return the speed of each server that may have runs."""
        return {
            server_id: round(self.owner.speeds.speed_of(server_id), 3)
            for server_id in sorted(self.owner.server_states)
        }
