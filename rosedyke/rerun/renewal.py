"""The renewals between instances: who is alive, which jobs are wanted, what owners report."""

from rosedyke.observe import metric
from rosedyke.rerun import messages, metrics
from rosedyke.wire import peer

# A renewal without answer is given up; the next ones are on their way by then.
RENEWAL_TIMEOUT_S = 0.3


class Renewal:
    """Renews with the others for one node, and answers their renewals.

    Attributes
    ----------
    in_flight : set of str
        Instances whose answer is awaited.
    last_sent : dict of str to float
        When each instance was asked last.
    owners_with_jobs : set of str
        Owners that have jobs of this instance.
    loop_ran_at : float
        When the loop ran last.
    """

    def __init__(self, node):
        self.node = node
        self.in_flight: set[str] = set()
        self.last_sent: dict[str, float] = {}
        self.owners_with_jobs: set[str] = set()
        self.loop_ran_at = node.runtime.now()

    def run(self):
        """Renew with all owners and neighbours for as long as the node runs."""
        while self.node.is_running:
            self._check_pause()
            self.owners_with_jobs = self.node.holder.owners()
            for instance in self._due_targets():
                if instance.name not in self.in_flight:
                    self.in_flight.add(instance.name)
                    self.node.runtime.spawn(self.renew, instance)
            own_parts = self.node.holder.parts_at(self.node.own.name)
            for owned in list(self.node.owned.values()):
                owned.holder_requests.renew(self.node.own, own_parts)
                report = owned.report_builder.recent_report()
                self.node.fleet.record_report(self.node.own, report, self.node.runtime.now())
            metric.gauge(metrics.POOLS, len(self.node.owned))
            metric.gauge(metrics.HELD, len(self.node.holder.jobs))
            self.node.handover.return_remote_pools()
            self.node.holder.check_owners()
            self.node.fleet.expire_instances()
            self.node.runtime.sleep(self.period_s)

    @property
    def period_s(self) -> float:
        """How often it is looked who is to be renewed; no owner is asked more often."""
        return self.node.fleet.owner_interval_s()

    def _check_pause(self):
        now = self.node.runtime.now()
        if now - self.loop_ran_at > self.node.settings.pause_s + self.period_s:
            self.node.fleet.reset_owner_contacts()
            for owned in list(self.node.owned.values()):
                owned.step_down("the process stood still")
        self.loop_ran_at = now

    def _due_targets(self):
        """Return who is to be renewed now.

        Owners that have jobs of this instance, and those that it watches, are renewed most often:
        the first for the jobs, the others to notice soon when they fall silent.  Other owners
        that it may hand jobs to, and neighbours that haven't been heard for a while, are asked
        less often, and the rest not at all: those messages are most of what an instance costs
        while nothing runs.
        """
        fleet = self.node.fleet
        due = {}
        wanted_pools = self._wanted_pools()
        for pool, state in fleet.owners.items():
            target = state.claim.owner
            if self._is_due(target, self._interval_s(pool, state.claim, wanted_pools)):
                due[target.name] = target
        is_incomplete = len(fleet.owners) < len(self.node.pools.names()) or not fleet.owners
        search_interval_s = self.node.settings.renew_s * (fleet.interval_factor - 1)
        for target in fleet.instances().values():
            if is_incomplete:
                is_due = self._is_due(target, search_interval_s)
            elif target.data_centre == self.node.own.data_centre:
                is_due = self._is_neighbour_due(target)
            else:
                is_due = False
            if is_due:
                due[target.name] = target
        if not due and not fleet.owners:
            due = {seed.name: seed for seed in self.node.seeds}
        due.pop(self.node.own.name, None)
        return list(due.values())

    def _is_neighbour_due(self, target):
        """Return whether to ask an instance of the own data centre of which nothing is wanted.

        Who is asked hears the other one as well, so one of two is enough.  The second in the order
        of names waits for the first, or both would ask at the same moment.
        """
        interval_s = self.node.fleet.neighbour_interval_s()
        if self.node.own.name > target.name:
            # Time for one more look of the neighbour.
            interval_s += self.period_s
        has_timed_out = self.node.fleet.contact_age_s(target.name) >= interval_s
        return has_timed_out and self._is_due(target, interval_s)

    def _wanted_pools(self):
        """Return the pools whose owners are asked though they have no job of this instance.

        Those that it may take, and all pools of a service of which it may take none.
        """
        is_candidate = self.node.takeover.is_candidate
        wanted = {pool for pool in self.node.pools.names() if is_candidate(pool)}
        for names in self.node.pools.by_service.values():
            if names.isdisjoint(wanted):
                wanted |= names
        return wanted

    def _interval_s(self, pool, claim, wanted_pools):
        """Return how often the owner of a pool is asked, infinity for never."""
        fleet, succession = self.node.fleet, self.node.takeover
        if claim.owner.name in self.owners_with_jobs or succession.is_watcher(pool, claim):
            return fleet.owner_interval_s()
        return fleet.neighbour_interval_s() if pool in wanted_pools else float("inf")

    def _is_due(self, instance, interval_s):
        sent_at = self.last_sent.get(instance.name)
        if sent_at is None:
            return True
        # What is due in less than half a period is asked now rather than a whole one later.
        elapsed_s = self.node.runtime.now() - sent_at
        return elapsed_s >= interval_s - self.period_s / 2

    def renew(self, instance):
        """Renew with one instance and take its report in."""
        sent_at = self.last_sent[instance.name] = self.node.runtime.now()
        message = messages.Renew(
            self.node.own,
            self.node.holder.parts_at(instance.name),
            self.node.fleet.tokens(),
            self.node.documents.revisions(),
        )
        try:
            report = self.node.peers.request(
                peer.at_address(instance.address), message, RENEWAL_TIMEOUT_S
            )
        except peer.PeerOutdated as error:
            # The wall clock was behind at the start, so peers take this life for an earlier one.
            self.node.peers.new_incarnation(error.newest)
            return
        except peer.PeerError:
            return  # how long the peer has been silent is judged, and logged, where it matters
        finally:
            self.in_flight.discard(instance.name)
        self._on_report(report, sent_at)

    def _on_report(self, report, sent_at):
        self.node.fleet.record_contact(report.sender)
        for claim in report.claims:
            self.node.fleet.record_claim(claim)
        reported_pools = {pool_report.pool for pool_report in report.pools}
        for pool, state in list(self.node.fleet.owners.items()):
            if state.claim.owner.name == report.sender.name and pool not in reported_pools:
                self.node.fleet.remove_owner(pool, report.sender.name)
        for pool_report in report.pools:
            self.node.fleet.record_report(report.sender, pool_report, report.clock_s)
        self.node.holder.on_unknown_parts(report.unknown, sent_at)
        self.node.document_sync.sync_from(report.sender, report.revisions)

    def on_renew(self, sender, message):
        """Take a renewal in and report."""
        self.node.fleet.record_contact(message.sender)
        unknown = set(message.parts)
        for owned in self.node.owned.values():
            unknown &= set(owned.holder_requests.renew(message.sender, message.parts))
        self.node.document_sync.sync_from(message.sender, message.revisions)
        return messages.RenewReply(
            self.node.own,
            tuple(sorted(unknown)),
            self.node.runtime.now(),
            tuple(owned.report_builder.recent_report() for owned in self.node.owned.values()),
            self.node.fleet.claims_newer_than(message.tokens),
            self.node.documents.revisions(),
        )
