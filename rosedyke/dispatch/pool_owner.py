"""Owner side of dispatch: grants the slots of the pools that this instance owns."""

from collections.abc import Callable

from rosedyke.configuration import ports as configuration_ports
from rosedyke.dispatch import (
    events,
    lease_audit,
    messages,
    metrics,
    owned_pool,
    permits,
    ports,
    report_cache,
    server_pool,
    server_probe,
    settings,
    sharding,
    slot_lease,
    steps,
    takeover,
)
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class PoolOwner:
    """Handles exchanges of holders and grants them slots as these become free.

    Parameters
    ----------
    options : DispatchSettings
        Limits and intervals.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        The other instances.
    membership : Membership
        Determines the owners of pools.
    current : ConfigurationSource
        The current configuration of services and servers.
    gateway : BackendGateway
        Probes the servers.
    speeds_of : callable
        ``speeds_of(service)`` returns the service's ``SpeedTable``.
    pool_reports : ReportCache
        Advertises the reports of its pools.
    shard_map : ShardMap
        The pools of the configuration.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        current: configuration_ports.ConfigurationSource,
        gateway: ports.BackendGateway,
        speeds_of,
        pool_reports: report_cache.ReportCache,
        shard_map: sharding.ShardMap,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.current = current
        self.speeds_of = speeds_of
        self.pool_reports = pool_reports
        self.shard_map = shard_map
        self.prober = server_probe.ServerProber(options, runtime, gateway)
        self.auditor = lease_audit.LeaseAuditor(options, runtime, peers)
        self.owned: dict[str, owned_pool.OwnedPool] = {}
        self.advertised_at = 0.0
        self.reachable: frozenset[str] = frozenset()
        self.on_reachability_change: Callable[[], None] = lambda: None
        self.is_running = False
        peers.handle(messages.Exchange, self.handle_exchange)

    def start(self) -> None:
        """Subscribe to the membership and configuration, and start the scheduling loop."""
        self.is_running = True
        self.membership.subscribe(self._on_view)
        self.current.subscribe(lambda _: self.update_ownership())
        self.update_ownership()
        self.runtime.spawn_service(self._tick)

    def stop(self) -> None:
        """Stop the scheduling loop."""
        self.is_running = False

    def handle_exchange(
        self, sender: peer.Peer, exchange: messages.Exchange
    ) -> messages.ExchangeReply:
        """Apply a holder's updates and return the slots granted to it immediately."""
        metric.count(metrics.EXCHANGES)
        owned = self.owned.get(exchange.pool)
        if owned is None or not self.is_owner(owned.shard) or not self._is_member(sender):
            return messages.ExchangeReply(None)
        if exchange.obeys is not None and exchange.obeys.key() > owned.current_ballot().key():
            self._handle_superseded(owned, exchange.obeys)
            return messages.ExchangeReply(None)
        now = self.runtime.now()
        for request_number in exchange.withdrawn:
            owned.pool.withdraw(sender, request_number)
        for release_message in exchange.releases:
            owned.pool.release(sender, release_message, now)
        granted_before: list[slot_lease.Lease] = []
        refused: list[int] = []
        for slot_request in exchange.requests:
            if owned.pool.would_overflow(slot_request):
                refused.append(slot_request.number)
            else:
                granted_before.extend(owned.pool.add(sender, slot_request, now))
        grants = tuple(grant_message(lease) for lease in granted_before) + self._grant_slots(
            owned, sender
        )
        return messages.ExchangeReply(
            owned.current_ballot(), grants, tuple(refused), self.report_of(owned), now
        )

    def report_of(self, owned: owned_pool.OwnedPool) -> messages.PoolReport:
        """Return a pool's load report."""
        return owned.pool.report(self.runtime.now(), self._exclusion_predicate(owned))

    def _exclusion_predicate(self, owned):
        """Return a predicate for servers excluded from new work for reasons outside the pool."""
        servers = owned.pool.servers

        def is_excluded(name):
            if self.current.is_leaving(name):
                return True
            return not owned.permits.is_allowed(servers[name].declared.data_centre)

        return is_excluded

    def is_owner(self, shard: sharding.Shard) -> bool:
        """Return whether this instance owns the pool in the current view."""
        owner = self.shard_map.owner(shard.key, self.membership)
        return owner is not None and owner.peer == self.peers.own

    def _is_member(self, sender):
        """Return whether the sender is a reachable member and not dead.

        Messages of an instance can arrive after it was declared dead.  Slots granted to it would
        be blocked until the job's deadline.
        """
        sender_entry = self.membership.view.find(sender.name)
        if (
            sender_entry is None
            or sender_entry.peer != sender
            or sender_entry.state is member.State.DEAD
        ):
            return False
        return sender.data_centre in self.reachable

    def update_ownership(self) -> None:
        """Add the pools that this instance owns now, and drop the others.

        Pools of an earlier incarnation are dropped too: while this instance was considered dead,
        another may have granted their slots.
        """
        self.reachable = sharding.reachable_data_centres(self.membership)
        configuration = self.current.configuration
        teams = configuration.teams if configuration else ()
        declared = {
            candidate.key: candidate
            for team in teams
            for service in team.services
            for candidate in self.shard_map.of(service)
            if self.is_owner(candidate)
        }
        for key, owned in list(self.owned.items()):
            if key not in declared or owned.owner != self.peers.own:
                del self.owned[key]
        for shard in declared.values():
            self._update_pool(shard, configuration.service(shard.service).limits)

    def _update_pool(self, pool_shard, limits, ballot=None):
        """Create or update one owned pool from the configuration and the view."""
        now = self.runtime.now()
        own = self.peers.own
        if pool_shard.key not in self.owned:
            new_pool = server_pool.ServerPool(
                pool_shard.key, self.speeds_of(pool_shard.service), self.options
            )
            ballot = ballot or messages.Ballot(1, own.name, own.incarnation)
            pool_permits = permits.Permits(self.options, self.runtime, self.peers, self.membership)
            self.owned[pool_shard.key] = owned_pool.OwnedPool(
                pool_shard, new_pool, own, now, pool_permits, ballot
            )
        owned = self.owned[pool_shard.key]
        owned.shard = pool_shard
        servers = pool_shard.reachable_servers(self.reachable)
        limit = self.shard_map.concurrency_limit(
            pool_shard, sum(server.slots for server in servers)
        )
        owned.pool.set_limits(limits)
        owned.pool.update_servers(servers, limit, now)
        if owned.pool.unrecovered_servers() and owned.active_takeover is None:
            self._start_takeover(owned)

    def _handle_superseded(self, owned, newer):
        """Take a pool over again after another instance took it over unnoticed.

        The views of the instances differed temporarily, and the other one has dropped the pool
        since.  Members reject messages under the old ballot, so a newer one is needed.
        """
        del self.owned[owned.shard.key]
        own = self.peers.own
        self._update_pool(
            owned.shard,
            self.current.configuration.service(owned.shard.service).limits,
            messages.Ballot(newer.term + 1, own.name, own.incarnation),
        )

    def _start_takeover(self, owned):
        owned.active_takeover = takeover.Takeover(
            self.options, self.runtime, self.peers, self.membership, owned.pool, owned.ballot
        )
        self.runtime.spawn(self._recover, owned)

    def _recover(self, owned):
        """Complete the takeover, and start another for servers that were added meanwhile."""
        if not owned.active_takeover.run(lambda: self._is_current(owned)):
            return
        owned.ballot = owned.active_takeover.ballot
        owned.active_takeover = None
        metric.count(metrics.TAKEOVERS)
        step.reach(steps.POOL_TAKEN_OVER, self.peers.own.name)
        event.log(events.POOL_TAKEN_OVER, pool=owned.shard.key, term=owned.ballot.term)
        if owned.pool.unrecovered_servers():  # added meanwhile
            self._start_takeover(owned)
        self._grant_freed_slots(owned)

    def _is_current(self, owned):
        return self.is_running and self.owned.get(owned.shard.key) is owned

    def _on_view(self, old: member.View, new: member.View):
        self.update_ownership()
        self._remove_absent_holders()

    def _remove_absent_holders(self):
        """Remove holders that are dead or unreachable, and orphan their slots."""
        present = {
            candidate.peer
            for candidate in self.membership.view.members
            if candidate.state is not member.State.DEAD and candidate.data_centre in self.reachable
        }
        for owned in self.owned.values():
            for holder in owned.pool.holders() - present:
                orphaned = owned.pool.remove_holder(
                    holder.name, holder.incarnation, self.runtime.now()
                )
                self._log_orphans(owned, orphaned)

    def _grant_slots(
        self, owned: owned_pool.OwnedPool, requester: peer.Peer | None
    ) -> tuple[messages.Grant, ...]:
        """Grant free slots and notify the holders; return the grants of the requester."""
        by_holder: dict[peer.Peer, list[messages.Grant]] = {}
        if self.membership.is_isolated():
            # The peers may consider this instance dead and grant the same slots.
            return ()
        for lease in owned.pool.grant_slots(self.runtime.now(), self._exclusion_predicate(owned)):
            by_holder.setdefault(lease.holder, []).append(grant_message(lease))
        if by_holder:
            step.reach(steps.SLOTS_GRANTED, self.peers.own.name)
        own_grants = tuple(by_holder.pop(requester, ()))
        for holder, grants in by_holder.items():
            self._send_grants(owned, holder, tuple(grants))
        return own_grants

    def _send_grants(self, owned, holder, grants):
        now = self.runtime.now()
        message = messages.Grants(
            owned.shard.key, owned.current_ballot(), grants, self.report_of(owned), now
        )
        # A lost message is detected by the audit of overdue leases.
        self._deliver(holder, message)

    def _deliver(self, holder, message):
        try:
            if holder == self.peers.own:
                self.peers.request(holder, message, self.options.request_timeout_s)
            else:
                self.peers.send(holder, message)
        except peer.PeerError as error:
            event.log(events.GRANTS_NOT_SENT, holder=holder.name, reason=error.code)

    def _grant_freed_slots(self, owned):
        """Probe servers where needed, and grant slots that became free."""
        if self._is_current(owned):
            self.prober.probe_orphans(
                owned.pool, lambda: self._is_current(owned), lambda: self._grant_freed_slots(owned)
            )
            self._grant_slots(owned, None)

    def _tick(self):
        while self.is_running:
            is_busy = any(owned.pool.is_busy for owned in self.owned.values())
            self.runtime.sleep(self.options.tick_s if is_busy else self.options.idle_tick_s)
            now = self.runtime.now()
            if sharding.reachable_data_centres(self.membership) != self.reachable:
                self.update_ownership()
                self._remove_absent_holders()
                self.on_reachability_change()
            for owned in list(self.owned.values()):
                self._renew_permits(owned)
                self._log_orphans(owned, owned.pool.expire_leases(now))
                self._grant_freed_slots(owned)
                if self.auditor.audit(owned, now):
                    self._check_overdue(owned, now)
            self._advertise(now)

    def _renew_permits(self, owned):
        def on_reply(reply):
            if (
                self._is_current(owned)
                and reply.newer is not None
                and owned.active_takeover is None
            ):
                self._handle_superseded(owned, reply.newer)

        data_centres = {server.declared.data_centre for server in owned.pool.servers.values()}
        owned.permits.renew(owned.shard.key, owned.current_ballot(), data_centres, on_reply)

    def _advertise(self, now):
        if now < self.advertised_at + self.options.advertise_s:
            return
        self.advertised_at = now
        self.pool_reports.advertise(
            {key: self.report_of(owned) for key, owned in self.owned.items()}
        )
        metric.gauge(
            metrics.QUEUE_TASKS,
            sum(owned.pool.wait_queue.task_count for owned in self.owned.values()),
        )

    def _check_overdue(self, owned, now):
        """Detect slots whose task neither runs nor was answered, and notify their holders."""

        def on_stalled(leases):
            metric.count(metrics.TASKS_STALLED, len(leases))
            for holder in {lease.holder for lease in leases}:
                keys = tuple(
                    (stalled_lease.request, stalled_lease.index)
                    for stalled_lease in leases
                    if stalled_lease.holder == holder
                )
                self._deliver(holder, messages.Stalled(owned.shard.key, keys))
            self._grant_freed_slots(owned)

        for server in owned.pool.servers.values():
            self.prober.check_overdue(server, now, on_stalled)

    def _log_orphans(self, owned, orphaned):
        if orphaned:
            metric.count(metrics.SLOTS_ORPHANED, len(orphaned))
            event.log(events.SLOTS_ORPHANED, pool=owned.shard.key, slots=len(orphaned))


def grant_message(lease: slot_lease.Lease) -> messages.Grant:
    """Return the message for a lease."""
    return messages.Grant(lease.request, lease.index, lease.server)
