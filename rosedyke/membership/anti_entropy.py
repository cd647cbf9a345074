"""Anti-entropy: comparison of whole tables at the start, periodically and after a partition."""

from collections.abc import Iterable

from rosedyke.membership import adverts, member, member_table, messages, protocol_state, record
from rosedyke.wire import peer

SYNC_TIMEOUT_S = 0.5
INITIAL_SYNC_WAIT_S = 0.5


def newer_than(
    own: Iterable[record.Record], received: Iterable[record.Record]
) -> tuple[record.Record, ...]:
    """Return the local records that ``received`` lacks or has in an older version."""
    theirs = {r.name: r for r in received}
    return tuple(mine for mine in own if _is_newer(mine, theirs.get(mine.name)))


def _is_newer(mine, other):
    if other is None:
        return not mine.is_dead
    return mine.precedence > other.precedence


class Synchroniser:
    """Compares tables with a random member, a seed or a member that was declared dead."""

    def __init__(self, shared_state: protocol_state.ProtocolState):
        self.protocol = shared_state
        self.options = shared_state.options
        self.seeds: list[str] = list(shared_state.options.seeds)
        self.next_wait_s = INITIAL_SYNC_WAIT_S
        shared_state.rejoin_hooks.append(self._reset)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of instances, for example from the platform's list."""
        for address in addresses:
            if address not in self.seeds:
                self.seeds.append(address)

    def seed_addresses(self) -> list[str]:
        """Return the seeds except the local address."""
        own = self.protocol.own.peer.address
        return [address for address in self.seeds if address != own]

    def run(self) -> None:
        """Sync with a random member each period, at shorter intervals after a start."""
        runtime = self.protocol.runtime
        while self.protocol.is_running:
            # Instances that start together fill their tables gradually, so sync more often.
            self.next_wait_s = min(2 * self.next_wait_s, self.options.sync_period_s)
            runtime.sleep(self.next_wait_s * (0.5 + runtime.random()))
            others = self.protocol.others()
            if others and self.protocol.is_running:
                self.sync_with(self.protocol.choose_random(others).peer)
            self._expire()

    def run_reconnect(self) -> None:
        """Periodically sync with a random seed or dead member that is not in the view."""
        runtime = self.protocol.runtime
        while self.protocol.is_running:
            runtime.sleep(self.options.reconnect_period_s * (0.5 + runtime.random()))
            missing = self._missing_addresses()
            if missing and self.protocol.is_running:
                self.sync_with(peer.at_address(self.protocol.choose_random(missing)))

    def sync_with_all(self, addresses: list[str]) -> bool:
        """Sync with several addresses concurrently; return whether any answered.

        Waits for all of them: the first to answer may be in another data centre and lack recent
        joiners of the local one.
        """
        done = self.protocol.runtime.signal()
        unanswered = set(addresses)
        answered = set()

        def sync_one(address):
            if self.sync_with(peer.at_address(address)):
                answered.add(address)
            unanswered.discard(address)
            if not unanswered:
                done.set()

        for address in addresses:
            self.protocol.runtime.spawn(sync_one, address)
        done.wait(2 * SYNC_TIMEOUT_S)
        return bool(answered)

    def sync_with(self, target: peer.Peer) -> bool:
        """Compare the whole tables with one peer; return whether it answered."""
        own = self.protocol.own
        records = tuple(self.protocol.table.records.values())
        settled = adverts.digest(self.protocol.adverts.settled(self.protocol.runtime.now()))
        sync = messages.Sync(own, member_table.digest(records), settled)
        try:
            reply = self.protocol.request(target, sync, SYNC_TIMEOUT_S)
        except peer.PeerRefused:
            return True
        except peer.PeerError:
            if peer.is_address_only(target):
                self.protocol.peers.disconnect(target)
            return False
        if self.protocol.own.peer != own.peer:
            return True
        rejection = self.protocol.rejection(reply.record.peer)
        if rejection is not None:
            self.protocol.send(reply.record.peer, rejection)
            return True
        self.protocol.put(reply.record)
        # Other members already have the records that a newcomer receives.  If it spread them,
        # many instances starting together would fill all probes with whole tables.
        is_newcomer = self.protocol.own.state is member.State.JOINING
        self.protocol.merge(reply.gossip, should_gossip=not is_newcomer)
        if reply.gossip.records:
            newer = newer_than(self.protocol.table.records.values(), reply.gossip.records)
            if newer:
                self.protocol.send(target, messages.Push(messages.Gossip(newer)))
        return True

    def on_sync(self, sender: peer.Peer, sync: messages.Sync):
        """Reply with the tables that differ."""
        rejection = self.protocol.rejection(sender)
        if rejection is not None:
            return rejection
        self.protocol.put(sync.record)
        records = tuple(self.protocol.table.records.values())
        settled = self.protocol.adverts.settled(self.protocol.runtime.now())
        if member_table.digest(records) == sync.records_digest:
            records = ()
        if adverts.digest(settled) == sync.adverts_digest:
            settled = ()
        return messages.SyncReply(self.protocol.own, messages.Gossip(records, settled))

    def on_push(self, sender: peer.Peer, push: messages.Push) -> None:
        """Merge records that this instance lacked."""
        if self.protocol.rejection(sender) is None:
            self.protocol.merge(push.gossip)

    def _reset(self):
        self.next_wait_s = INITIAL_SYNC_WAIT_S

    def _missing_addresses(self):
        alive = {r.peer.address for r in self.protocol.table.records.values() if not r.is_dead}
        dead = {
            r.peer.address
            for r in self.protocol.table.in_data_centre(self.protocol.data_centre)
            if r.is_dead
        }
        return sorted((dead | set(self.seeds)) - alive)

    def _expire(self):
        now = self.protocol.runtime.now()
        self.protocol.table.remove_dead(now - self.options.tombstone_s)
        self.protocol.adverts.retain(set(self.protocol.table.records))
        self.protocol.publish()
