"""What the parts of the membership protocol share: the table, the own record and the view."""

from collections.abc import Callable, Iterable
from typing import Any

from rosedyke import runtime as runtime_module
from rosedyke.membership import (
    adverts,
    events,
    gossip,
    member,
    messages,
    metrics,
    record,
    settings,
    table,
)
from rosedyke.observe import event, metric
from rosedyke.wire import peer

# Times as many members as those who hold this instance dead.
CLEAR_MAJORITY = 2

Subscriber = Callable[[member.View, member.View], None]
PauseCallback = Callable[[peer.Peer, peer.Peer], None]
RecordObserver = Callable[[record.Record], None]


class Core:
    """State of the own instance in the membership, changed only between blocking calls."""

    def __init__(
        self,
        options: settings.MembershipSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.table = table.Table()
        self.adverts = adverts.Adverts()
        self.gossip = gossip.GossipQueue(options.record_bytes, options.advert_bytes)
        self.own = record.Record(peers.own, member.State.JOINING)
        self.state_counter = 0
        self.view = member.View()
        self.subscribers: list[Subscriber] = []
        self.on_pause: list[PauseCallback] = []
        self.observers: list[RecordObserver] = []
        self.restart_hooks: list[Callable[[], None]] = []
        self.is_running = False
        self.is_leaving = False
        self.last_stall: float | None = None
        # When the last request was sent that another member of the data centre has answered.
        self.answered_at = runtime.now()
        self.is_isolated: Callable[[], bool] = lambda: False

    @property
    def data_centre(self) -> str:
        """The own data centre."""
        return self.own.peer.data_centre

    def begin(self) -> None:
        """Enter the table as a joining member."""
        self.is_running = True
        self.own = record.Record(self.peers.own, member.State.JOINING)
        self.answered_at = self.runtime.now()
        self._put_own()
        self.publish()

    def others(self) -> list[record.Record]:
        """Return the members of the own data centre that are not dead, but for the own one."""
        return [r for r in self.table.alive(self.data_centre) if r.name != self.own.name]

    def pick(self, candidates: list) -> Any:
        """Return one of a list at random."""
        return candidates[int(self.runtime.random() * len(candidates))]

    # Changes of the table

    def merge(self, received: messages.Gossip, is_spread: bool = True) -> None:
        """Take in what a peer knows."""
        self.put_all(received.records, is_spread)
        now = self.runtime.now()
        for advert in received.adverts:
            if advert.name != self.own.name and self.adverts.put(advert, now):
                self.gossip.add_advert(advert, is_own=False)

    def put(self, new: record.Record) -> None:
        """Take in one record."""
        self.put_all((new,))

    def put_all(self, records: Iterable[record.Record], is_spread: bool = True) -> None:
        """Take in records and publish the view if it changed.

        Parameters
        ----------
        records : iterable of Record
            What was heard.
        is_spread : bool
            Whether to pass on by gossip what is new; not needed for what its author tells
            everyone itself.
        """
        changed = []
        for new in records:
            if new.name == self.own.name:
                self._hear_of_self(new)
            elif self.table.put(new, self.runtime.now()):
                changed.append(new)
        if not changed:
            return
        members = len(self.table.records)
        for new in changed:
            if is_spread:
                self.gossip.add_record(new, members)
            if new.is_dead:
                self.peers.forget(new.peer)
        self.publish()
        for new in changed:
            for observer in self.observers:
                observer(new)

    def change_own(self, state: member.State) -> None:
        """Enter a new state and let everyone know."""
        self.own = self.own.raised(state)
        self.state_counter = self.own.counter
        self._put_own()
        self.publish()

    def advertise(self, topic: str, value: bytes) -> None:
        """Spread the own value of a topic."""
        own = self.own.peer
        new = self.adverts.publish(own.name, own.incarnation, topic, value, self.runtime.now())
        if new is not None:
            self.gossip.add_advert(new, is_own=True)

    def publish(self) -> None:
        """Build the view and tell the subscribers if it differs from the last one."""
        old, new = self.view, self.table.view()
        if old == new:
            return
        self.view = new
        known = {m.name: m for m in old.members}
        for each in new.members:
            if known.get(each.name) != each:
                event.log(
                    events.MEMBER_CHANGED,
                    name=each.name,
                    incarnation=each.peer.incarnation,
                    state=each.state.value,
                )
        metric.gauge(metrics.MEMBERS, sum(m.state is not member.State.DEAD for m in new.members))
        for subscriber in self.subscribers:
            subscriber(old, new)

    def _put_own(self):
        self.table.set(self.own, self.runtime.now())
        self.gossip.add_record(self.own, len(self.table.records))

    def _hear_of_self(self, heard):
        own = self.own
        if heard.peer.incarnation < own.peer.incarnation or own.is_dead:
            return
        if heard.peer.incarnation > own.peer.incarnation:
            if heard.peer.address != own.peer.address:
                event.log(events.NAME_TAKEN, name=own.name, address=heard.peer.address)
            self.rejoin("outdated", after=heard.peer.incarnation)
        elif heard.is_dead:
            self.rejoin("declared_dead")
        elif heard.is_suspected and heard.counter >= own.counter:
            metric.count(metrics.REFUTED)
            self.own = own.raised(above=heard.counter)
            self._put_own()
            self.publish()

    # Lives of the own instance

    def rejoin(
        self, reason: str, records: tuple[record.Record, ...] | None = None, after: int = 0
    ) -> None:
        """Begin a new incarnation, from ``records`` if given, and tell the subscribers."""
        old = self.own.peer
        new = self.peers.new_incarnation(after)
        event.log(events.REJOINING, reason=reason, old=old.incarnation, new=new.incarnation)
        metric.count(metrics.REJOINS)
        self.own = record.Record(new, member.State.JOINING)
        self.answered_at = self.runtime.now()
        self.state_counter = 0
        for callback in self.on_pause:
            callback(old, new)
        if records is not None:
            self.table.clear()
            for each in records:
                self.table.set(each, self.runtime.now())
        self.gossip.clear()
        self._put_own()
        self._renew_adverts()
        for hook in self.restart_hooks:
            hook()
        self.publish()

    def _renew_adverts(self):
        for name, topic in list(self.adverts.newest):
            if name == self.own.name:
                self.advertise(topic, self.adverts.value(name, topic))

    # Peers that are no longer what they think

    def standing(self) -> messages.Standing:
        """Return how large the own part of the data centre is."""
        alive = sorted(r.name for r in self.table.alive(self.data_centre))
        return messages.Standing(len(alive), alive[0] if alive else self.own.name)

    def rejection(self, sender: peer.Peer) -> messages.Rejected | None:
        """Return the answer to a sender whose incarnation is over here, else None.

        Nothing that such a sender says is taken in: after a healed partition it would spread the
        deaths of members that are alive.
        """
        if sender.data_centre != self.data_centre:
            return None
        known = self.table.find(sender.name)
        if known is None or sender.incarnation > known.peer.incarnation:
            return None
        if sender.incarnation == known.peer.incarnation and not known.is_dead:
            return None
        return self._rejected()

    def _rejected(self):
        records = tuple(self.table.records.values())
        return messages.Rejected(self.own, self.standing(), records)

    def _prevails(self, rejected):
        """Return whether the rejecting member has to re-join, not the own instance."""
        own = self.standing()
        if self.rejection(rejected.record.peer) is not None:
            return own.beats(rejected.standing)  # each holds the other dead: a partition
        # Only the other holds this one dead.  Re-joining costs one incarnation, while insisting
        # could go on for ever against a few that believe each other; but a newcomer that heard
        # only the smaller part of a partition must not make the larger one re-join.
        return own.serving >= CLEAR_MAJORITY * rejected.standing.serving

    def on_rejected(self, sender: peer.Peer, rejected: messages.Rejected) -> None:
        """Re-join the larger part of the data centre, or tell the smaller one to do so."""
        if self.own.is_dead:
            return
        about_own = [r for r in rejected.records if r.name == self.own.name]
        newest = max((r.peer.incarnation for r in about_own), default=0)
        if newest < self.own.peer.incarnation and about_own:
            return  # of an earlier life
        is_outdated = newest > self.own.peer.incarnation
        # Who withheld deaths counts as members whom it doesn't hear.
        may_win = not is_outdated and not self.is_isolated()
        if may_win and self._prevails(rejected):
            self.send(sender, self._rejected())
            return
        self.rejoin("rejected", rejected.records, after=newest)

    # Messages

    def request(self, target: peer.Peer, message: Any, timeout_s: float) -> Any:
        """Send a request; a rejection is acted on and raised as ``peer.PeerRefused``."""
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
        if not peer.is_anyone(target) and self.rejection(target) is not None:
            raise peer.PeerGone(f"{target.name}: declared dead before it answered")
        if target.data_centre == self.data_centre and target.name != own.name:
            self.answered_at = max(self.answered_at, sent_at)
        return reply

    def send(self, target: peer.Peer, message: Any) -> None:
        """Send a message that may be lost."""
        try:
            self.peers.send(target, message)
        except peer.PeerError:
            return  # The comparison of tables mends what was lost.
