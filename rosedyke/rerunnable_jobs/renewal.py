"""Periodic renewals between instances: liveness, leases on jobs, and pool reports."""

from rosedyke.observe import metric
from rosedyke.rerunnable_jobs import messages, metrics, ports, queue_shares
from rosedyke.wire import peer

# Timeout of one renewal.
RENEWAL_TIMEOUT_S = 0.3
# Most that it is extended by for the instance's own delay.  The next renewal is sent only after it,
# and must arrive before the owner takes the holder for lost (0.7 s).
MAX_ADDED_TIMEOUT_S = 0.15
# Maximum interval of renewals of candidates in other data centres with an owner.  Does not grow
# with the fleet, so that the loss of a data centre is noticed as soon in a large one.
MAX_REMOTE_INTERVAL_S = 0.5


class Renewal:
    """Sends the renewals of one node and answers those of other instances.

    Attributes
    ----------
    in_flight : set of str
        Instances with an unanswered renewal.
    last_sent : dict of str to float
        When the last renewal was sent to each instance.
    owners_with_jobs : set of str
        Owners that run jobs of this instance.
    loop_ran_at : float
        When the loop last ran.
    resumed_at : float
        When the loop last found that the process had stood still.
    unanswered_since : dict of str to float
        When the first renewal was sent to each instance that has not answered since.
    known_claims : dict of str to int
        Up to which version the claims of each instance are known here.
    clock_offsets : dict of str to float
        The clock of each instance minus the local one.  Too low by the transit time of the reply
        that told it, so a computed age is never too small.
    """

    def __init__(self, node):
        self.node = node
        self.in_flight: set[str] = set()
        self.last_sent: dict[str, float] = {}
        self.owners_with_jobs: set[str] = set()
        self.loop_ran_at = node.runtime.now()
        self.resumed_at = float("-inf")
        self.unanswered_since: dict[str, float] = {}
        self.known_claims: dict[str, int] = {}
        self.clock_offsets: dict[str, float] = {}
        node.fleet.removal_callbacks.append(self.known_claims.clear)

    def run(self):
        """Send due renewals and run periodic checks until the node stops."""
        while self.node.is_running:
            self._check_pause()
            self.node.holder.single_holder.check()
            self.owners_with_jobs = self.node.holder.owner_names()
            for instance in self._due_targets():
                if instance.name not in self.in_flight:
                    self.in_flight.add(instance.name)
                    self.node.runtime.spawn(self.renew, instance)
            own_parts = self.node.holder.parts_at(self.node.this_instance.name)
            for owned_pool in list(self.node.owned_pools.values()):
                now = self.node.runtime.now()
                owned_pool.requests.renew(self.node.this_instance, own_parts, now)
                report = owned_pool.reports.recent_report()
                self.node.fleet.record_report(
                    self.node.this_instance, report, self.node.runtime.now()
                )
            metric.gauge(metrics.POOLS, len(self.node.owned_pools))
            metric.gauge(
                metrics.EVACUATED_RUNS,
                sum(owned.evacuated_runs() for owned in self.node.owned_pools.values()),
            )
            metric.gauge(
                metrics.KEPT_SERVERS,
                sum(
                    owned.task_scheduler.kept_servers() for owned in self.node.owned_pools.values()
                ),
            )
            queue_shares.record_usage(self.node)
            metric.gauge(metrics.HELD_JOBS, len(self.node.holder.jobs))
            self.node.handover.return_remote_pools()
            self.node.handover.balance_pools()
            self.node.holder.end_jobs_of_lost_owners()
            self.node.holder.spilling.check()
            self.node.fleet.expire_instances()
            self.node.runtime.sleep(self.period_s)

    @property
    def period_s(self) -> float:
        """The interval of the loop, and the shortest interval of renewals with one instance."""
        return self.node.fleet.owner_interval_s()

    def _check_pause(self):
        now = self.node.runtime.now()
        if self._is_stalled(now):
            self.resumed_at = now
            self.node.fleet.reset_owner_contacts()
            for owned_pool in list(self.node.owned_pools.values()):
                owned_pool.step_down("the process was paused")
        self.loop_ran_at = now

    def _is_stalled(self, now):
        return now - self.loop_ran_at > self.node.timing.pause_s + self.period_s

    def has_stood_still(self, since: float) -> bool:
        """Return whether the process has stood still since a time.

        What other instances told it before may have changed meanwhile.
        """
        return self.resumed_at >= since or self._is_stalled(self.node.runtime.now())

    def _due_targets(self):
        """Return the instances with which a renewal is due.

        Owners that run jobs of this instance or are watched by it have the shortest interval.
        Owners that it may submit jobs to, and local instances without recent contact, have a longer
        one.  Others get no renewals, which are most of the cost of an idle instance.
        """
        fleet = self.node.fleet
        due = {}
        wanted_pools = self._wanted_pools()
        for pool, state in fleet.owners.items():
            target = state.claim.owner
            if self._is_due(target, self._interval_s(pool, state.claim, wanted_pools)):
                due[target.name] = target
        is_incomplete = len(fleet.owners) < len(self.node.pools.names()) or not fleet.owners
        search_interval_s = self.node.timing.renew_s * (fleet.interval_factor - 1)
        for target in fleet.instances().values():
            if is_incomplete:
                is_due = self._is_due(target, search_interval_s)
            elif target.data_centre == self.node.this_instance.data_centre:
                is_due = self._is_neighbour_due(target)
            else:
                is_due = False
            if is_due:
                due[target.name] = target
        if not due and not fleet.owners:
            due = {seed.name: seed for seed in self.node.seeds}
        due.pop(self.node.this_instance.name, None)
        return list(due.values())

    def _is_neighbour_due(self, target):
        """Return whether a renewal for liveness is due with an instance of this data centre.

        One renewal proves the liveness of both instances.  The instance with the higher name waits
        longer, so that normally only the other one sends renewals.
        """
        interval_s = self.node.fleet.neighbour_interval_s()
        if self.node.this_instance.name > target.name:
            # Let the other instance's loop run once more.
            interval_s += self.period_s
        has_timed_out = self.node.fleet.contact_age_s(target.name) >= interval_s
        return has_timed_out and self._is_due(target, interval_s)

    def _wanted_pools(self):
        """Return the pools whose owners are renewed even without jobs of this instance.

        Includes pools that it may take over, and all pools of services of which it may take none.
        """
        wanted = set(self.node.takeovers.candidate_pools())
        for names in self.node.pools.by_service.values():
            if names.isdisjoint(wanted):
                wanted |= names
        return wanted

    def _interval_s(self, pool, claim, wanted_pools):
        """Return the interval of renewals with a pool's owner, infinity for never."""
        fleet, takeover = self.node.fleet, self.node.takeovers
        if claim.owner.name in self.owners_with_jobs or takeover.is_watcher(pool, claim):
            return fleet.owner_interval_s()
        if pool not in wanted_pools:
            return float("inf")
        is_remote = ports.data_centre_of(pool) != self.node.this_instance.data_centre
        if is_remote and takeover.is_candidate(pool):
            return min(fleet.neighbour_interval_s(), MAX_REMOTE_INTERVAL_S)
        return fleet.neighbour_interval_s()

    def _is_due(self, instance, interval_s):
        sent_at = self.last_sent.get(instance.name)
        if sent_at is None:
            return True
        # Due within half a loop interval: send now rather than one interval later.
        elapsed_s = self.node.runtime.now() - sent_at
        return elapsed_s >= interval_s - self.period_s / 2

    def renew(self, instance, timeout_s=RENEWAL_TIMEOUT_S) -> bool:
        """Renew with one instance and process its reply; return whether it answered."""
        sent_at = self.last_sent[instance.name] = self.node.runtime.now()
        self.unanswered_since.setdefault(instance.name, sent_at)
        message = messages.Renew(
            self.node.this_instance,
            self.node.holder.parts_at(instance.name),
            sent_at + self.clock_offsets.get(instance.name, 0.0),
            self.known_claims.get(instance.name, 0),
            self.node.synchroniser.versions_for(instance.name),
            self.node.fleet.servers_versions(instance.name),
            instance.checksum(),
        )
        added_s = min(MAX_ADDED_TIMEOUT_S, self.node.delay.allowance_s(sent_at))
        try:
            reply = self.node.peers.request(
                peer.at_address(instance.address), message, timeout_s + added_s
            )
        except peer.PeerOutdated as error:
            # The wall clock was behind at the start, so the peer regards this incarnation as an
            # earlier one.
            self.node.peers.new_incarnation(error.newest)
            return False
        except peer.PeerError:
            return False  # unresponsive peers are detected and logged elsewhere
        finally:
            self.in_flight.discard(instance.name)
        self._on_reply(reply, reply.sender or instance, sent_at)
        return True

    def unanswered_s(self, name: str) -> float:
        """Return for how long an instance has not answered, 0 if it answered the last renewal."""
        since = self.unanswered_since.get(name)
        return 0.0 if since is None else self.node.runtime.now() - since

    def _on_reply(self, reply, sender, sent_at):
        self.unanswered_since.pop(sender.name, None)
        self.node.fleet.record_contact(sender)
        self.clock_offsets[sender.name] = reply.clock_s - self.node.runtime.now()
        for claim in reply.claims:
            self.node.fleet.record_claim(claim)
        self.known_claims[sender.name] = reply.claims_version
        self.node.fleet.answered.add(sender.name)
        reported_pools = {pool_report.pool for pool_report in reply.pools}
        for pool, state in list(self.node.fleet.owners.items()):
            if state.claim.owner.name == sender.name and pool not in reported_pools:
                self.node.fleet.remove_owner(pool, sender.name)
        for pool_report in reply.pools:
            self.node.fleet.record_report(sender, pool_report, reply.clock_s)
        self.node.holder.on_unknown_parts(reply.unknown, sent_at)
        self.node.synchroniser.sync_from(sender, reply.documents)

    def on_renew(self, sender, message):
        """Process a renewal and return the reply."""
        self.node.fleet.record_contact(message.sender)
        unknown = set(message.parts)
        for owned_pool in self.node.owned_pools.values():
            unknown &= set(owned_pool.requests.renew(message.sender, message.parts, message.sent_s))
        self.node.synchroniser.sync_from(message.sender, message.documents)
        this_instance = self.node.this_instance
        is_known = message.receiver_checksum == this_instance.checksum()
        return messages.RenewReply(
            None if is_known else this_instance,
            tuple(sorted(unknown)),
            self.node.runtime.now(),
            tuple(
                owned_pool.reports.report_for_renewal(
                    message.sender.name, message.servers_versions.get(pool)
                )
                for pool, owned_pool in self.node.owned_pools.items()
            ),
            self.node.fleet.claims_since(message.claims_version),
            self.node.fleet.claims_version,
            self.node.synchroniser.versions_for(message.sender.name),
        )
