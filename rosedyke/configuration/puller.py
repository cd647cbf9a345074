"""Spreads generations among instances: announcements, pulls and the answers to them."""

import math

from rosedyke import runtime as runtime_module
from rosedyke.configuration import (
    events,
    holding,
    messages,
    metrics,
    reader,
    settings,
    snapshot,
    steps,
    stored,
)
from rosedyke.membership import member, rendezvous
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step
from rosedyke.wire import codec, peer

TOPIC = "generation"
MAX_ROUNDS = 200  # of one pull: even 88 files of a megabyte take one round each
FIRST_ASKED = 3  # peers that a starting instance asks
NO_FILES = ("",)  # asks for the entries alone
FANOUT = 4  # instances that one tells of news


class PeerPuller:
    """Asks peers that are ahead, and answers those that are behind."""

    def __init__(
        self,
        own_settings: settings.DistributionSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        held: holding.Holding,
        store_reader: reader.StoreReader,
    ):
        self.settings = own_settings
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.held = held
        self.reader = store_reader
        self.wake = runtime.signal()
        # Members that announced something newer, newest last.
        self.announced: dict[str, messages.Announce] = {}
        self.newest_announced = messages.Announce(0, 0)
        peers.handle(messages.Announce, self.on_announce)
        peers.handle(messages.Pull, self.on_pull)
        held.on_advance.append(self.on_advance)

    # What this instance tells others.

    def on_advance(self, source: str) -> None:
        """Advertise the new state and tell those instances that this one has to tell."""
        own = self.position()
        text = f"{own.generation} {own.leaving_version}"
        self.membership.advertise(TOPIC, text.encode())
        # What came from elsewhere is news to the whole data centre, unless it was announced here.
        is_first = source != holding.SOURCE_PEER and _is_ahead(own, self.newest_announced)
        self.newest_announced = _newest(own, self.newest_announced)
        self.runtime.spawn(self.announce, own, is_first)

    def announce(self, own: messages.Announce, is_first: bool) -> None:
        """Tell a few instances of the data centre, which tell a few others each.

        The tree lies over an order that every instance computes alike and that changes with the
        generation, so that none serves all others' pulls.  An announcement that is lost, or a
        dead instance in the tree, costs time only: the advertised number tells the same.
        """
        step.reach(steps.SPREAD_IN_FORCE, self.membership.own.name)
        by_name = {each.name: each for each in self.near()}
        own_name = self.membership.own.name
        order = rendezvous.rank(f"{own.generation} {own.leaving_version}", (*by_name, own_name))
        for name in _told_by(own_name, order, is_first):
            try:
                self.peers.send(by_name[name].peer, own)
            except peer.PeerError:
                continue

    def on_announce(self, sender: peer.Peer, announced: messages.Announce) -> None:
        """Note who is ahead and wake the pulling task."""
        self.newest_announced = _newest(announced, self.newest_announced)
        if _is_ahead(announced, self.position()):
            self.announced[sender.name] = announced
            self.wake.set()

    def on_pull(self, sender: peer.Peer, pull: messages.Pull) -> messages.Delta:
        """Return what the asker hasn't, as much as fits in one reply."""
        held = self.held.snapshot if self.held.is_published else snapshot.Snapshot()
        leaving = self.held.leaving
        list_of_leaving = ()
        if leaving.version > pull.leaving_version:
            list_of_leaving = tuple(sorted(leaving.servers))
        if held.generation <= pull.generation:
            return messages.Delta(
                held.generation, leaving_version=leaving.version, leaving=list_of_leaving
            )
        entries = tuple(entry for entry in held.head.entries if entry.generation > pull.generation)
        names = pull.wanted or tuple(entry.team for entry in entries)
        files = [held.files[name] for name in names if name in held.files]
        return messages.Delta(
            held.generation,
            held.head.change_id,
            held.head.digest(),
            entries,
            messages.pack(files),
            leaving.version,
            list_of_leaving,
        )

    # What this instance asks of others.

    def position(self) -> messages.Announce:
        """Return what this instance has."""
        return messages.Announce(self.held.generation, self.held.leaving.version)

    def near(self) -> tuple[member.Member, ...]:
        """Return the other members of the own data centre."""
        own = self.membership.own
        others = reader.others(self.membership.view, own)
        return tuple(each for each in others if each.data_centre == own.data_centre)

    def far(self) -> tuple[member.Member, ...]:
        """Return the members of other data centres."""
        own = self.membership.own
        others = reader.others(self.membership.view, own)
        return tuple(each for each in others if each.data_centre != own.data_centre)

    def ask_first(self) -> None:
        """Ask some peers before a starting instance lets anyone see what it holds.

        The store may be down, or answer with an old revision; peers that run have the newest.
        """
        deadline = self.runtime.now() + self.settings.join_wait_s
        while not self.near() and self.runtime.now() < deadline:
            self.runtime.sleep(self.settings.join_wait_s / 20)
        asked = self.sample(self.near(), FIRST_ASKED - 1)
        asked += self.sample(self.far(), FIRST_ASKED - len(asked))
        for each in asked:
            self.pull(each)

    def run(self) -> None:
        """Pull whenever a peer is seen to be ahead."""
        far_check_at = self.runtime.now()
        while True:
            self.wake = self.runtime.signal()
            ahead = self.find_ahead()
            if ahead is not None:
                self.announced.pop(ahead.name, None)
                if self.pull(ahead):
                    continue
            elif self.runtime.now() >= far_check_at and self.reader.is_watcher():
                # A data centre that is cut off from the store, but not from other data centres,
                # gets the newest from there.
                far_check_at = self.runtime.now() + self.settings.far_check_s
                for each in self.sample(self.far(), 1):
                    self.pull(each)
            self.wake.wait(self.settings.peer_check_s * (0.5 + self.runtime.random()))

    def find_ahead(self) -> member.Member | None:
        """Return a member that is ahead of this instance by what it announced or advertises."""
        own = self.position()
        for name, announced in reversed(list(self.announced.items())):
            found = self.membership.view.find(name)
            if found is not None and _is_ahead(announced, own):
                return found
            del self.announced[name]
        near = self.near()
        for each in self.sample(near, len(near)):
            advertised = _parse(self.membership.advertised(each.name, TOPIC))
            if _is_ahead(advertised, own):
                return each
        return None

    def pull(self, target: member.Member) -> bool:
        """Get what is newer from a member; return whether this instance moved forward."""
        metric.count(metrics.PULLS)
        step.reach(steps.SPREAD_PULLING, self.membership.own.name)
        try:
            return self._pull(target)
        except (peer.PeerError, codec.CodecError, snapshot.SnapshotError) as error:
            event.log(events.PULL_FAILED, peer=target.name, code=error.code, detail=error)
            return False

    def _pull(self, target: member.Member) -> bool:
        before = self.position()
        received: dict[str, stored.TeamIntent] = {}
        base, wanted = before.generation, ()
        for _ in range(MAX_ROUNDS):
            ask = messages.Pull(base, self.held.leaving.version, wanted)
            delta = self.peers.request(target.peer, ask, self.settings.pull_timeout_s)
            if not isinstance(delta, messages.Delta):
                raise peer.PeerRefused(f"{target.name} answered with {type(delta).__name__}")
            self._take_leaving(delta)
            if delta.generation <= self.held.generation:
                break
            before_round = len(received)
            received |= {each.team: each for each in messages.unpack(delta.content)}
            head = self._head(delta, base)
            if head is None:
                # A team's file was removed, or the two come from different histories: start
                # over with all entries; files in hand are still recognised by their digests.
                base, wanted = 0, NO_FILES
                continue
            wanted = tuple(
                name
                for name in snapshot.missing(self.held.snapshot, head)
                if not _is_received(head, name, received)
            )
            if not wanted:
                self._take(target, head, received)
                break
            # A peer that can't give what its own entries name would be asked for ever.
            if ask.wanted not in ((), NO_FILES) and len(received) == before_round:
                raise snapshot.SnapshotError(f"no file of {', '.join(wanted[:5])}")
        return _is_ahead(self.position(), before)

    def _head(self, delta: messages.Delta, base: int) -> stored.Head | None:
        """Return the sender's whole head, or None if it doesn't follow from the one in hand."""
        entries = {}
        if base:
            entries = {entry.team: entry for entry in self.held.snapshot.head.entries}
        entries |= {entry.team: entry for entry in delta.entries}
        in_order = tuple(entries[team] for team in sorted(entries))
        head = stored.Head(delta.generation, delta.change_id, in_order)
        if head.digest() == delta.set_digest:
            return head
        if not base:
            raise snapshot.SnapshotError("the entries don't match their digest")
        return None

    def _take(self, target, head, received) -> None:
        is_near = target.data_centre == self.membership.own.data_centre
        source = holding.SOURCE_PEER if is_near else holding.SOURCE_FAR_PEER
        if self.held.take(head, received, source):
            metric.count(metrics.FROM_PEER)

    def _take_leaving(self, delta: messages.Delta) -> None:
        if delta.leaving_version > self.held.leaving.version:
            new = holding.Leaving(delta.leaving_version, frozenset(delta.leaving))
            self.held.take_leaving(new, is_from_peer=True)

    def sample(self, members: tuple[member.Member, ...], count: int) -> list[member.Member]:
        """Return that many members in a random order, so that load spreads over them."""
        left = list(members)
        chosen = []
        while left and len(chosen) < count:
            chosen.append(left.pop(math.floor(self.runtime.random() * len(left))))
        return chosen


def _told_by(own_name: str, order: list[str], is_first: bool) -> list[str]:
    """Return the names below one's own in a tree of ``FANOUT``; the first one tells its top."""
    top = order[:FANOUT] if is_first else []
    start = FANOUT * (order.index(own_name) + 1)
    told = dict.fromkeys((*top, *order[start : start + FANOUT]))
    return [name for name in told if name != own_name]


def _is_received(head: stored.Head, name: str, received: dict[str, stored.TeamIntent]) -> bool:
    entry = next(entry for entry in head.entries if entry.team == name)
    return name in received and received[name].digest == entry.digest


def _is_ahead(one: messages.Announce, other: messages.Announce) -> bool:
    return one.generation > other.generation or one.leaving_version > other.leaving_version


def _newest(one: messages.Announce, other: messages.Announce) -> messages.Announce:
    return messages.Announce(
        max(one.generation, other.generation), max(one.leaving_version, other.leaving_version)
    )


def _parse(advertised: bytes | None) -> messages.Announce:
    """Return the position in an advertised value; nothing is ahead of nobody if it is foreign."""
    parts = (advertised or b"").split()
    if len(parts) != 2 or not all(part.isdigit() and len(part) < 20 for part in parts):
        return messages.Announce(0, 0)
    return messages.Announce(int(parts[0]), int(parts[1]))
