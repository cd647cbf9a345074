"""The owner's side: grants slots of the pools that this instance owns."""

from collections.abc import Callable

from rosedyke.configuration import ports as configuration_ports
from rosedyke.dispatch import (
    audit,
    backlog,
    events,
    lease,
    message,
    metrics,
    orphans,
    permits,
    pool,
    ports,
    recovery,
    settings,
    shard,
    steps,
)
from rosedyke.dispatch import owned as owned_module
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class PoolOwner:
    """Answers exchanges of holders and sends them slots as these come free.

    Parameters
    ----------
    options : DispatchSettings
        How to queue and place.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The other instances.
    membership : Membership
        Who owns what.
    current : ConfigurationSource
        Services and servers.
    gateway : BackendGateway
        Asks servers with orphaned slots.
    speeds : callable
        ``speeds(service)`` returns the service's ``SpeedTable``.
    board : Board
        Carries reports of the own pools to the others.
    shards : Catalogue
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
        speeds,
        board: backlog.Board,
        shards: shard.Catalogue,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.current = current
        self.speeds = speeds
        self.board = board
        self.shards = shards
        self.prober = orphans.Prober(options, runtime, gateway)
        self.auditor = audit.Auditor(options, runtime, peers)
        self.owned: dict[str, owned_module.Owned] = {}
        self.advertised_at = 0.0
        self.reach: frozenset[str] = frozenset()
        self.on_reach_change: Callable[[], None] = lambda: None
        self.is_running = False
        peers.handle(message.Exchange, self.on_exchange)

    def start(self) -> None:
        """Begin to follow the membership and to look after leases and waiting tasks."""
        self.is_running = True
        self.membership.subscribe(self._on_view)
        self.current.subscribe(lambda _: self.follow())
        self.follow()
        self.runtime.spawn(self._tick)

    def stop(self) -> None:
        """End the task that ``start`` began."""
        self.is_running = False

    def on_exchange(self, sender: peer.Peer, told: message.Exchange) -> message.ExchangeReply:
        """Take in what a holder says and return what it gets at once."""
        metric.count(metrics.EXCHANGES)
        owned = self.owned.get(told.pool)
        if owned is None or not self.is_owner(owned.shard) or not self._is_member(sender):
            return message.ExchangeReply(None)
        if told.obeys is not None and told.obeys.key() > owned.present_ballot().key():
            self._was_superseded(owned, told.obeys)
            return message.ExchangeReply(None)
        now = self.runtime.now()
        for request in told.withdrawn:
            owned.pool.withdraw(sender, request)
        for released in told.releases:
            owned.pool.release(sender, released, now)
        again: list[lease.Lease] = []
        refused: list[int] = []
        for asked in told.requests:
            if owned.pool.is_full(asked):
                refused.append(asked.number)
            else:
                again.extend(owned.pool.add(sender, asked, now))
        grants = tuple(grant_of(held) for held in again) + self._assign(owned, sender)
        return message.ExchangeReply(
            owned.present_ballot(), grants, tuple(refused), self.report_of(owned), now
        )

    def report_of(self, owned: owned_module.Owned) -> message.PoolReport:
        """Return how busy a pool is now."""
        return owned.pool.report(self.runtime.now(), self._barred(owned))

    def _barred(self, owned):
        """Return the test for servers that get no new work for reasons outside the pool."""
        servers = owned.pool.servers

        def is_barred(name):
            if self.current.is_leaving(name):
                return True
            return not owned.permits.allow(servers[name].declared.data_centre)

        return is_barred

    def is_owner(self, target: shard.Shard) -> bool:
        """Return whether the present view makes this instance the pool's owner."""
        owner = self.shards.owner(target.key, self.membership)
        return owner is not None and owner.peer == self.peers.own

    def _is_member(self, sender):
        """Return whether the sender is a member and not dead.

        A message of an instance that was declared dead can still be read after that.  What it
        asks for would be granted to nobody and stay taken until the job's deadline.
        """
        found = self.membership.view.find(sender.name)
        if found is None or found.peer != sender or found.state is member.State.DEAD:
            return False
        return sender.data_centre in self.reach

    def follow(self) -> None:
        """Begin to own the pools that are this instance's now, and drop those that aren't.

        A pool of an earlier incarnation is dropped too: while this instance was taken for dead,
        another may have granted its slots.
        """
        self.reach = shard.reach_of(self.membership)
        configuration = self.current.configuration
        teams = configuration.teams if configuration else ()
        declared = {
            one.key: one
            for team in teams
            for service in team.services
            for one in self.shards.of(service)
            if self.is_owner(one)
        }
        for key, owned in list(self.owned.items()):
            if key not in declared or owned.owner != self.peers.own:
                del self.owned[key]
        for target in declared.values():
            self._declare(target, configuration.service(target.service).limits)

    def _declare(self, target, limits, ballot=None):
        """Bring one own pool in line with the configuration and the view."""
        now = self.runtime.now()
        own = self.peers.own
        if target.key not in self.owned:
            made = pool.Pool(target.key, self.speeds(target.service), self.options)
            ballot = ballot or message.Ballot(1, own.name, own.incarnation)
            granted = permits.Permits(self.options, self.runtime, self.peers, self.membership)
            self.owned[target.key] = owned_module.Owned(target, made, own, now, granted, ballot)
        owned = self.owned[target.key]
        owned.shard = target
        reached = target.in_reach(self.reach)
        limit = self.shards.limit(target, sum(server.slots for server in reached))
        owned.pool.bound(limits)
        owned.pool.declare(reached, limit, now)
        if owned.pool.unready() and owned.takeover is None:
            self._start_recovery(owned)

    def _was_superseded(self, owned, newer):
        """Take a pool over anew that another instance took over while this one did not see it.

        Views differed for a while, and the other has given the pool back since.  Members ignore
        whatever comes under the old ballot, so nothing would be granted any more.
        """
        del self.owned[owned.shard.key]
        own = self.peers.own
        self._declare(
            owned.shard,
            self.current.configuration.service(owned.shard.service).limits,
            message.Ballot(newer.term + 1, own.name, own.incarnation),
        )

    def _start_recovery(self, owned):
        owned.takeover = recovery.Recovery(
            self.options, self.runtime, self.peers, self.membership, owned.pool, owned.ballot
        )
        self.runtime.spawn(self._recover, owned)

    def _recover(self, owned):
        """Take over servers until the slots in use of each are known."""
        if not owned.takeover.run(lambda: self._is_current(owned)):
            return
        owned.ballot = owned.takeover.ballot
        owned.takeover = None
        metric.count(metrics.TAKEOVERS)
        step.reach(steps.POOL_TAKEN_OVER, self.peers.own.name)
        event.log(events.POOL_TAKEN_OVER, pool=owned.shard.key, term=owned.ballot.term)
        if owned.pool.unready():  # declared since
            self._start_recovery(owned)
        self._use_freed(owned)

    def _is_current(self, owned):
        return self.is_running and self.owned.get(owned.shard.key) is owned

    def _on_view(self, old: member.View, new: member.View):
        self.follow()
        self._lose_absent()

    def _lose_absent(self):
        """Forget holders that died or are out of reach; their slots are orphaned."""
        present = {
            one.peer
            for one in self.membership.view.members
            if one.state is not member.State.DEAD and one.data_centre in self.reach
        }
        for owned in self.owned.values():
            for holder in owned.pool.holders() - present:
                ended = owned.pool.lose(holder.name, holder.incarnation, self.runtime.now())
                self._log_orphans(owned, ended)

    def _assign(
        self, owned: owned_module.Owned, asker: peer.Peer | None
    ) -> tuple[message.Grant, ...]:
        """Grant what can be granted; send it to the holders, but return the asker's."""
        by_holder: dict[peer.Peer, list[message.Grant]] = {}
        if self.membership.is_isolated():
            # Its peers may take it for dead and grant the same slots.
            return ()
        for held in owned.pool.assign(self.runtime.now(), self._barred(owned)):
            by_holder.setdefault(held.holder, []).append(grant_of(held))
        if by_holder:
            step.reach(steps.SLOTS_GRANTED, self.peers.own.name)
        own_grants = tuple(by_holder.pop(asker, ()))
        for holder, grants in by_holder.items():
            self._send(owned, holder, tuple(grants))
        return own_grants

    def _send(self, owned, holder, grants):
        now = self.runtime.now()
        told = message.Grants(
            owned.shard.key, owned.present_ballot(), grants, self.report_of(owned), now
        )
        # A message that is lost here or on the way is found by the audit of old leases.
        self._tell(holder, told)

    def _tell(self, holder, told):
        try:
            if holder == self.peers.own:
                self.peers.request(holder, told, self.options.request_timeout_s)
            else:
                self.peers.send(holder, told)
        except peer.PeerError as error:
            event.log(events.GRANTS_NOT_SENT, holder=holder.name, reason=error.code)

    def _use_freed(self, owned):
        """Grant slots that came free without a message from a holder."""
        if self._is_current(owned):
            self.prober.look_after(
                owned.pool, lambda: self._is_current(owned), lambda: self._use_freed(owned)
            )
            self._assign(owned, None)

    def _tick(self):
        while self.is_running:
            is_busy = any(owned.pool.is_busy for owned in self.owned.values())
            self.runtime.sleep(self.options.tick_s if is_busy else self.options.idle_tick_s)
            now = self.runtime.now()
            if shard.reach_of(self.membership) != self.reach:
                self.follow()
                self._lose_absent()
                self.on_reach_change()
            for owned in list(self.owned.values()):
                self._renew_permits(owned)
                self._log_orphans(owned, owned.pool.expire(now))
                self._use_freed(owned)
                if self.auditor.audit(owned, now):
                    self._check_overdue(owned, now)
            self._advertise(now)

    def _renew_permits(self, owned):
        def on_answer(reply):
            if self._is_current(owned) and reply.newer is not None and owned.takeover is None:
                self._was_superseded(owned, reply.newer)

        others = {server.declared.data_centre for server in owned.pool.servers.values()}
        owned.permits.renew(owned.shard.key, owned.present_ballot(), others, on_answer)

    def _advertise(self, now):
        if now < self.advertised_at + self.options.advertise_s:
            return
        self.advertised_at = now
        self.board.advertise({key: self.report_of(owned) for key, owned in self.owned.items()})
        metric.gauge(
            metrics.QUEUE_TASKS, sum(owned.pool.waiting.tasks for owned in self.owned.values())
        )

    def _check_overdue(self, owned, now):
        """Find slots whose task neither runs nor was answered, and tell the holders."""

        def on_stalled(leases):
            metric.count(metrics.TASKS_STALLED, len(leases))
            for holder in {held.holder for held in leases}:
                keys = tuple((one.request, one.index) for one in leases if one.holder == holder)
                self._tell(holder, message.Stalled(owned.shard.key, keys))
            self._use_freed(owned)

        for server in owned.pool.servers.values():
            self.prober.check_overdue(server, now, on_stalled)

    def _log_orphans(self, owned, ended):
        if ended:
            metric.count(metrics.SLOTS_ORPHANED, len(ended))
            event.log(events.SLOTS_ORPHANED, pool=owned.shard.key, slots=len(ended))


def grant_of(held: lease.Lease) -> message.Grant:
    """Return a lease as its holder is told of it."""
    return message.Grant(held.request, held.index, held.server)
