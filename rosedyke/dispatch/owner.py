"""The owner's side: grants slots of the pools that this instance owns."""

from rosedyke.configuration import intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.dispatch import backlog, events, lease, message, metrics, pool, settings, shard
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric
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
    current : Current
        Services and servers.
    speeds : callable
        ``speeds(service)`` returns the service's ``SpeedTable``.
    board : Board
        Carries reports of the own pools to the others.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        current: configuration_ports.Current,
        speeds,
        board: backlog.Board,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.current = current
        self.speeds = speeds
        self.pools: dict[str, pool.Pool] = {}
        self.ballots: dict[str, message.Ballot] = {}
        self.board = board
        self.shards = shard.Catalogue(current, options.shard_servers)
        self.advertised_at = 0.0
        self.is_running = False
        peers.handle(message.Exchange, self.on_exchange)

    def start(self) -> None:
        """Begin to look after expired leases and waiting tasks."""
        self.is_running = True
        self.runtime.spawn(self._tick)

    def stop(self) -> None:
        """End the task that ``start`` began."""
        self.is_running = False

    def on_exchange(self, sender: peer.Peer, told: message.Exchange) -> message.ExchangeReply:
        """Take in what a holder says and return what it gets at once."""
        metric.count(metrics.EXCHANGES)
        owned = self._owned(told.pool)
        if owned is None:
            return message.ExchangeReply(None)
        now = self.runtime.now()
        for request in told.withdrawn:
            owned.withdraw(sender, request)
        for released in told.releases:
            owned.release(sender, released, now)
        for asked in told.requests:
            owned.add(sender, asked, now)
        own_grants = self._assign(owned, sender)
        return message.ExchangeReply(self.ballots[owned.key], own_grants, self.report_of(owned))

    def report_of(self, owned: pool.Pool) -> message.PoolReport:
        """Return how busy a pool is now."""
        return owned.report(self.runtime.now(), self.current.is_leaving)

    def _owned(self, key):
        """Return the pool if this instance owns it in the present view."""
        found = self.shards.find(key)
        if found is None:
            return None
        owner = shard.owner_of(key, found.data_centre, self.membership.view)
        if owner is None or owner.peer != self.peers.own:
            return None
        if key not in self.pools:
            speeds = self.speeds(found.service)
            self.pools[key] = pool.Pool(key, found.servers, speeds, self.options)
            own = self.peers.own
            self.ballots[key] = message.Ballot(1, own.name, own.incarnation)
        return self.pools[key]

    def _assign(self, owned: pool.Pool, asker: peer.Peer | None) -> tuple[message.Grant, ...]:
        """Grant what can be granted; send it to the holders, but return the asker's."""
        now = self.runtime.now()
        by_holder: dict[peer.Peer, list[message.Grant]] = {}
        for held in owned.assign(now, self.current.is_leaving):
            grant = message.Grant(held.request, held.index, held.server)
            by_holder.setdefault(held.holder, []).append(grant)
        own_grants = tuple(by_holder.pop(asker, ()))
        for holder, grants in by_holder.items():
            self._send(owned, holder, tuple(grants))
        return own_grants

    def _send(self, owned, holder, grants):
        told = message.Grants(owned.key, self.ballots[owned.key], grants, self.report_of(owned))
        try:
            self.peers.send(holder, told)
        except peer.PeerError:
            # Not sent, so the slots are free again; the holder's tasks wait as before.
            for grant in grants:
                unused = message.Release(grant.request, grant.index, lease.Outcome.UNUSED.value)
                owned.release(holder, unused, self.runtime.now())

    def _tick(self):
        while self.is_running:
            self.runtime.sleep(self.options.tick_s)
            now = self.runtime.now()
            for owned in list(self.pools.values()):
                for held in owned.expire(now):
                    event.log(events.LEASE_EXPIRED, server=held.server, holder=held.holder.name)
                self._assign(owned, None)
            if now >= self.advertised_at + self.options.advertise_s:
                self.advertised_at = now
                reports = {key: self.report_of(owned) for key, owned in self.pools.items()}
                self.board.advertise(reports)


def fits_somewhere(service: intent.Service, size: intent.Size) -> bool:
    """Return whether any server of a service has room for a task."""
    return any(size.fits(server.size) for server in service.servers)
