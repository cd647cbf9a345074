"""Comparison of whole tables: at the start, now and then, and after a partition."""

from collections.abc import Iterable

from rosedyke.membership import adverts, core, member, messages, record, table
from rosedyke.wire import peer

SYNC_TIMEOUT_S = 0.5
FIRST_SYNC_S = 0.5


def newer_than(
    own: Iterable[record.Record], received: Iterable[record.Record]
) -> tuple[record.Record, ...]:
    """Return the own records that the sender of ``received`` has not, or older."""
    theirs = {r.name: r for r in received}
    return tuple(mine for mine in own if _is_news(mine, theirs.get(mine.name)))


def _is_news(mine, other):
    if other is None:
        return not mine.is_dead
    return mine.precedence > other.precedence


class Synchroniser:
    """Compares tables with a random member, a seed or a member that was declared dead."""

    def __init__(self, shared: core.Core):
        self.core = shared
        self.options = shared.options
        self.seeds: list[str] = list(shared.options.seeds)
        self.wait_s = FIRST_SYNC_S
        shared.restart_hooks.append(self._restart)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Take further addresses of instances, for example from the platform's list."""
        for address in addresses:
            if address not in self.seeds:
                self.seeds.append(address)

    def seed_addresses(self) -> list[str]:
        """Return the seeds but for the own address."""
        own = self.core.own.peer.address
        return [address for address in self.seeds if address != own]

    def run(self) -> None:
        """Compare with a random member each period, sooner after a start."""
        runtime = self.core.runtime
        while self.core.is_running:
            # A table that was just filled lacks most, as others start at the same time.
            self.wait_s = min(2 * self.wait_s, self.options.sync_period_s)
            runtime.sleep(self.wait_s * (0.5 + runtime.random()))
            others = self.core.others()
            if others and self.core.is_running:
                self.sync_with(self.core.pick(others).peer)
            self._forget()

    def run_reconnect(self) -> None:
        """Try now and then to reach one address that should be a member but isn't."""
        runtime = self.core.runtime
        while self.core.is_running:
            runtime.sleep(self.options.reconnect_period_s * (0.5 + runtime.random()))
            missing = self._missing_addresses()
            if missing and self.core.is_running:
                self.sync_with(peer.at_address(self.core.pick(missing)))

    def sync_with_all(self, addresses: list[str]) -> bool:
        """Compare with several addresses at once; return whether any answered.

        Waits for each of them: the first to answer may be in another data centre and not yet
        know who has just joined the own one.
        """
        ended = self.core.runtime.signal()
        waiting = set(addresses)
        answered = set()

        def ask(address):
            if self.sync_with(peer.at_address(address)):
                answered.add(address)
            waiting.discard(address)
            if not waiting:
                ended.set()

        for address in addresses:
            self.core.runtime.spawn(ask, address)
        ended.wait(2 * SYNC_TIMEOUT_S)
        return bool(answered)

    def sync_with(self, target: peer.Peer) -> bool:
        """Compare the whole tables; return whether the target answered."""
        own = self.core.own
        records = tuple(self.core.table.records.values())
        settled = adverts.digest(self.core.adverts.settled(self.core.runtime.now()))
        sync = messages.Sync(own, table.digest(records), settled)
        try:
            reply = self.core.request(target, sync, SYNC_TIMEOUT_S)
        except peer.PeerRefused:
            return True
        except peer.PeerError:
            if peer.is_anyone(target):
                self.core.peers.forget(target)
            return False
        if self.core.own.peer != own.peer:
            return True
        rejection = self.core.rejection(reply.record.peer)
        if rejection is not None:
            self.core.send(reply.record.peer, rejection)
            return True
        self.core.put(reply.record)
        # What is new to a newcomer is known to those who told it; passed on, a start of many
        # instances would flood the probes with the whole table of each.
        is_newcomer = self.core.own.state is member.State.JOINING
        self.core.merge(reply.gossip, is_spread=not is_newcomer)
        if reply.gossip.records:
            newer = newer_than(self.core.table.records.values(), reply.gossip.records)
            if newer:
                self.core.send(target, messages.Push(messages.Gossip(newer)))
        return True

    def on_sync(self, sender: peer.Peer, sync: messages.Sync):
        """Answer with whatever differs."""
        rejection = self.core.rejection(sender)
        if rejection is not None:
            return rejection
        self.core.put(sync.record)
        records = tuple(self.core.table.records.values())
        settled = self.core.adverts.settled(self.core.runtime.now())
        if table.digest(records) == sync.records_digest:
            records = ()
        if adverts.digest(settled) == sync.adverts_digest:
            settled = ()
        return messages.SyncReply(self.core.own, messages.Gossip(records, settled))

    def on_push(self, sender: peer.Peer, push: messages.Push) -> None:
        """Take in records that this instance turned out not to have."""
        if self.core.rejection(sender) is None:
            self.core.merge(push.gossip)

    def _restart(self):
        self.wait_s = FIRST_SYNC_S

    def _missing_addresses(self):
        alive = {r.peer.address for r in self.core.table.records.values() if not r.is_dead}
        dead = {r.peer.address for r in self.core.table.of(self.core.data_centre) if r.is_dead}
        return sorted((dead | set(self.seeds)) - alive)

    def _forget(self):
        now = self.core.runtime.now()
        self.core.table.forget_dead(now - self.options.tombstone_s)
        self.core.adverts.forget(set(self.core.table.records))
        self.core.publish()
