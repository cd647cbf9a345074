"""State shared by the parts of the membership protocol: table, local record, view, messaging."""

from collections.abc import Callable, Iterable
from typing import Any

from rosedyke import runtime as runtime_module
from rosedyke.membership import (
    adverts,
    events,
    gossip_queue,
    member,
    member_table,
    messages,
    metrics,
    record,
    settings,
)
from rosedyke.observe import event, metric
from rosedyke.wire import peer

# An instance that a peer considers dead keeps its incarnation if its partition is this many times
# as large as the peer's.
CLEAR_MAJORITY_FACTOR = 2

Subscriber = Callable[[member.View, member.View], None]
RejoinCallback = Callable[[peer.Peer, peer.Peer], None]
RecordObserver = Callable[[record.Record], None]


class ProtocolState:
    """State of this instance in the membership, changed only between blocking calls."""

    def __init__(
        self,
        options: settings.MembershipSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.table = member_table.MemberTable()
        self.adverts = adverts.Adverts()
        self.gossip = gossip_queue.GossipQueue(options.record_bytes, options.advert_bytes)
        self.own = record.Record(peers.own, member.State.JOINING)
        self.state_counter = 0
        self.view = member.View()
        self.subscribers: list[Subscriber] = []
        self.on_rejoin: list[RejoinCallback] = []
        self.record_observers: list[RecordObserver] = []
        self.rejoin_hooks: list[Callable[[], None]] = []
        self.is_running = False
        self.is_leaving = False
        self.last_stall_at: float | None = None
        # Send time of the latest request that another member of the data centre has answered.
        self.last_answered_at = runtime.now()
        self.is_isolated: Callable[[], bool] = lambda: False

    @property
    def data_centre(self) -> str:
        """The local data centre."""
        return self.own.peer.data_centre

    def begin(self) -> None:
        """Add this instance to the table as a joining member."""
        self.is_running = True
        self.own = record.Record(self.peers.own, member.State.JOINING)
        self.last_answered_at = self.runtime.now()
        self._put_own()
        self.publish()

    def others(self) -> list[record.Record]:
        """Return the other members of the local data centre that are not dead."""
        return [r for r in self.table.alive(self.data_centre) if r.name != self.own.name]

    def choose_random(self, candidates: list) -> Any:
        """Return a random element of a list."""
        return candidates[int(self.runtime.random() * len(candidates))]

    # Changes of the table

    def merge(self, received: messages.Gossip, should_gossip: bool = True) -> None:
        """Merge the updates received from a peer."""
        self.put_all(received.records, should_gossip)
        now = self.runtime.now()
        for advert in received.adverts:
            if advert.name != self.own.name and self.adverts.put(advert, now):
                self.gossip.add_advert(advert, is_own=False)

    def put(self, new_record: record.Record) -> None:
        """Merge one record."""
        self.put_all((new_record,))

    def put_all(self, records: Iterable[record.Record], should_gossip: bool = True) -> None:
        """Merge records and publish the view if it changed.

        Parameters
        ----------
        records : iterable of Record
            The received records.
        should_gossip : bool
            Whether to pass new records on by gossip; not needed if their author sends them to
            all members itself.
        """
        changed = []
        for new_record in records:
            if new_record.name == self.own.name:
                self._handle_own_record(new_record)
            elif self.table.put(new_record, self.runtime.now()):
                changed.append(new_record)
        if not changed:
            return
        members = len(self.table.records)
        for new_record in changed:
            if should_gossip:
                self.gossip.add_record(new_record, members)
            if new_record.is_dead:
                self.peers.disconnect(new_record.peer)
        self.publish()
        for new_record in changed:
            for observer in self.record_observers:
                observer(new_record)

    def change_own(self, state: member.State) -> None:
        """Enter a new state and spread it."""
        self.own = self.own.with_next_counter(state)
        self.state_counter = self.own.counter
        self._put_own()
        self.publish()

    def advertise(self, topic: str, value: bytes) -> None:
        """Spread a value of this instance."""
        own = self.own.peer
        new_advert = self.adverts.publish(
            own.name, own.incarnation, topic, value, self.runtime.now()
        )
        if new_advert is not None:
            self.gossip.add_advert(new_advert, is_own=True)

    def publish(self) -> None:
        """Rebuild the view and notify the subscribers if it changed."""
        old, new = self.view, self.table.view()
        if old == new:
            return
        self.view = new
        previous = {m.name: m for m in old.members}
        for current in new.members:
            if previous.get(current.name) != current:
                event.log(
                    events.MEMBER_CHANGED,
                    name=current.name,
                    incarnation=current.peer.incarnation,
                    state=current.state.value,
                )
        metric.gauge(metrics.MEMBERS, sum(m.state is not member.State.DEAD for m in new.members))
        for subscriber in self.subscribers:
            subscriber(old, new)

    def _put_own(self):
        self.table.replace(self.own, self.runtime.now())
        self.gossip.add_record(self.own, len(self.table.records))

    def _handle_own_record(self, received_record):
        own = self.own
        if received_record.peer.incarnation < own.peer.incarnation or own.is_dead:
            return
        if received_record.peer.incarnation > own.peer.incarnation:
            if received_record.peer.address != own.peer.address:
                event.log(events.NAME_TAKEN, name=own.name, address=received_record.peer.address)
            self.rejoin("outdated", after=received_record.peer.incarnation)
        elif received_record.is_dead:
            self.rejoin("declared_dead")
        elif received_record.is_suspected and received_record.counter >= own.counter:
            metric.count(metrics.REFUTED)
            self.own = own.with_next_counter(above=received_record.counter)
            self._put_own()
            self.publish()

    # Incarnations of this instance

    def rejoin(
        self, reason: str, records: tuple[record.Record, ...] | None = None, after: int = 0
    ) -> None:
        """Start a new incarnation, with the table ``records`` if given, and notify subscribers."""
        old_peer = self.own.peer
        new_peer = self.peers.new_incarnation(after)
        event.log(
            events.REJOINING, reason=reason, old=old_peer.incarnation, new=new_peer.incarnation
        )
        metric.count(metrics.REJOINS)
        self.own = record.Record(new_peer, member.State.JOINING)
        self.last_answered_at = self.runtime.now()
        self.state_counter = 0
        for callback in self.on_rejoin:
            callback(old_peer, new_peer)
        if records is not None:
            self.table.clear()
            for received in records:
                self.table.replace(received, self.runtime.now())
        self.gossip.clear()
        self._put_own()
        self._renew_adverts()
        for hook in self.rejoin_hooks:
            hook()
        self.publish()

    def _renew_adverts(self):
        for name, topic in list(self.adverts.newest):
            if name == self.own.name:
                self.advertise(topic, self.adverts.value(name, topic))

    # Rejection of dead incarnations

    def partition_rank(self) -> messages.PartitionRank:
        """Return the rank of the local partition of the data centre."""
        alive = sorted(r.name for r in self.table.alive(self.data_centre))
        return messages.PartitionRank(len(alive), alive[0] if alive else self.own.name)

    def rejection(self, sender: peer.Peer) -> messages.Rejected | None:
        """Return the reply to a sender whose incarnation is dead in the local table, else None.

        Updates from such a sender must be ignored: after a partition heals it would spread the
        deaths of members that are alive.
        """
        if sender.data_centre != self.data_centre:
            return None
        stored = self.table.find(sender.name)
        if stored is None or sender.incarnation > stored.peer.incarnation:
            return None
        if sender.incarnation == stored.peer.incarnation and not stored.is_dead:
            return None
        return self._rejected()

    def _rejected(self):
        records = tuple(self.table.records.values())
        return messages.Rejected(self.own, self.partition_rank(), records)

    def _must_sender_rejoin(self, rejected):
        """Return whether the rejecting member has to re-join instead of this instance."""
        own = self.partition_rank()
        if self.rejection(rejected.record.peer) is not None:
            return own.outranks(rejected.standing)  # healed: each considers the other dead
        # Only the sender considers this instance dead.  Re-joining costs one incarnation, while
        # refusing could repeat for ever if several members consider it dead.  But a newcomer that
        # knows only the smaller partition must not make the larger one re-join.
        return own.serving >= CLEAR_MAJORITY_FACTOR * rejected.standing.serving

    def on_rejected(self, sender: peer.Peer, rejected: messages.Rejected) -> None:
        """Re-join the larger partition, or reject a sender whose partition is smaller."""
        if self.own.is_dead:
            return
        own_records = [r for r in rejected.records if r.name == self.own.name]
        newest = max((r.peer.incarnation for r in own_records), default=0)
        if newest < self.own.peer.incarnation and own_records:
            return  # the rejection concerns an earlier incarnation
        is_outdated = newest > self.own.peer.incarnation
        # The rank of an isolated instance includes members that don't respond to it.
        may_win = not is_outdated and not self.is_isolated()
        if may_win and self._must_sender_rejoin(rejected):
            self.send(sender, self._rejected())
            return
        self.rejoin("rejected", rejected.records, after=newest)

    # Messages

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a request; a rejection is handled and raised as ``peer.PeerRefused``."""
        own = self.own.peer
        sent_at = self.runtime.now()
        try:
            reply = self.peers.request(target, message, timeout_s)
        except peer.PeerOutdated as error:
            if self.own.peer == own:
                self.rejoin("outdated", after=error.newest)
            raise
        if isinstance(reply, messages.Rejected):
            if self.own.peer == own:
                self.on_rejected(target, reply)
            raise peer.PeerRefused(f"{target.name}: the own incarnation is over")
        if not peer.is_address_only(target) and self.rejection(target) is not None:
            raise peer.PeerGone(f"{target.name}: declared dead before it answered")
        if target.data_centre == self.data_centre and target.name != own.name:
            self.last_answered_at = max(self.last_answered_at, sent_at)
        return reply

    def send(self, target: peer.Peer, message: Any) -> None:
        """Send a message without delivery guarantee."""
        try:
            self.peers.send(target, message)
        except peer.PeerError:
            return  # The comparison of tables repairs the loss.
