"""Exchanges generations with peers: announcements, pull requests and replies."""

import math

from rosedyke import runtime as runtime_module
from rosedyke.configuration import (
    events,
    local_configuration,
    messages,
    metrics,
    settings,
    snapshot,
    steps,
    storage,
    store_reader,
)
from rosedyke.membership import member, rendezvous
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step
from rosedyke.wire import codec, peer

TOPIC = "generation"
MAX_PULL_REQUESTS = 200  # requests per pull; a file of the maximum size takes one
START_PULL_PEERS = 3  # peers that a starting instance pulls from
NO_FILES = ("",)  # value of ``wanted`` that requests the entries without files
FANOUT = 4  # children of an instance in the announcement tree


class PeerPuller:
    """Pulls from peers with a newer version and serves the pulls of others."""

    def __init__(
        self,
        distribution_settings: settings.DistributionSettings,
        runtime: runtime_module.Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        config: local_configuration.LocalConfiguration,
        configuration_reader: store_reader.StoreReader,
    ):
        self.settings = distribution_settings
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.local_config = config
        self.reader = configuration_reader
        self.wake_signal = runtime.signal()
        # Members that announced a newer version, by name; the newest is last.
        self.announced: dict[str, messages.Announce] = {}
        self.newest_announced = messages.Announce(0, 0)
        peers.handle(messages.Announce, self.on_announce)
        peers.handle(messages.Pull, self.on_pull)
        config.version_callbacks.append(self.on_version_change)

    def on_version_change(self, source: str) -> None:
        """Advertise the new local version and announce it in the data centre."""
        version = self.local_version()
        text = f"{version.generation} {version.leaving_version}"
        self.membership.advertise(TOPIC, text.encode())
        # An update from outside the data centre starts the tree, unless it was announced before.
        is_initiator = source != local_configuration.SOURCE_PEER and _is_newer(
            version, self.newest_announced
        )
        self.newest_announced = _max_version(version, self.newest_announced)
        self.runtime.spawn(self.announce, version, is_initiator)

    def announce(self, version: messages.Announce, is_initiator: bool) -> None:
        """Announce a version to this instance's children in the data centre's announcement tree.

        All instances compute the same tree from a rendezvous ranking that changes with the
        version, so that pulls don't concentrate on one instance.  A lost announcement or a dead
        instance in the tree only adds delay, as instances also compare advertised versions.
        """
        step.reach(steps.GENERATION_ACTIVE, self.membership.own.name)
        by_name = {candidate.name: candidate for candidate in self.local_members()}
        own_name = self.membership.own.name
        order = rendezvous.rank(
            f"{version.generation} {version.leaving_version}", (*by_name, own_name)
        )
        for name in _announcement_targets(own_name, order, is_initiator):
            try:
                self.peers.send(by_name[name].peer, version)
            except peer.PeerError:
                continue

    def on_announce(self, sender: peer.Peer, announced: messages.Announce) -> None:
        """Record a newer version of a peer and wake the pulling task."""
        self.newest_announced = _max_version(announced, self.newest_announced)
        if _is_newer(announced, self.local_version()):
            self.announced[sender.name] = announced
            self.wake_signal.set()

    def on_pull(self, sender: peer.Peer, pull: messages.Pull) -> messages.Delta:
        """Return what is newer than the requester's version, as far as it fits in one reply."""
        published = (
            self.local_config.snapshot if self.local_config.is_published else snapshot.Snapshot()
        )
        leaving = self.local_config.leaving
        newer_leaving = ()
        if leaving.version > pull.leaving_version:
            newer_leaving = tuple(sorted(leaving.servers))
        if published.generation <= pull.generation:
            return messages.Delta(
                published.generation, leaving_version=leaving.version, leaving=newer_leaving
            )
        entries = tuple(
            entry for entry in published.head.entries if entry.generation > pull.generation
        )
        names = pull.wanted or tuple(entry.team for entry in entries)
        files = [published.files[name] for name in names if name in published.files]
        return messages.Delta(
            published.generation,
            published.head.change_id,
            published.head.digest(),
            entries,
            messages.pack(files),
            leaving.version,
            newer_leaving,
        )

    def local_version(self) -> messages.Announce:
        """Return the version that this instance has."""
        return messages.Announce(self.local_config.generation, self.local_config.leaving.version)

    def local_members(self) -> tuple[member.Member, ...]:
        """Return the other live members of this data centre."""
        own = self.membership.own
        candidates = store_reader.other_live_members(self.membership.view, own)
        return tuple(
            candidate for candidate in candidates if candidate.data_centre == own.data_centre
        )

    def remote_members(self) -> tuple[member.Member, ...]:
        """Return the live members of other data centres."""
        own = self.membership.own
        candidates = store_reader.other_live_members(self.membership.view, own)
        return tuple(
            candidate for candidate in candidates if candidate.data_centre != own.data_centre
        )

    def pull_at_start(self) -> None:
        """Pull from a few peers before a starting instance publishes its state.

        The store may be down or return a stale read; running peers have the newest generation.
        """
        deadline = self.runtime.now() + self.settings.join_wait_s
        while not self.local_members() and self.runtime.now() < deadline:
            self.runtime.sleep(self.settings.join_wait_s / 20)
        targets = self.sample(self.local_members(), START_PULL_PEERS - 1)
        targets += self.sample(self.remote_members(), START_PULL_PEERS - len(targets))
        for target in targets:
            self.pull(target)

    def run(self) -> None:
        """Pull whenever a peer has a newer version; never returns."""
        remote_check_at = self.runtime.now()
        while True:
            self.wake_signal = self.runtime.signal()
            newer_member = self.find_newer_member()
            if newer_member is not None:
                self.announced.pop(newer_member.name, None)
                if self.pull(newer_member):
                    continue
            elif self.runtime.now() >= remote_check_at and self.reader.is_watcher():
                # A data centre that is partitioned from the store gets new generations from
                # other data centres.
                remote_check_at = self.runtime.now() + self.settings.far_check_s
                for target in self.sample(self.remote_members(), 1):
                    self.pull(target)
            self.wake_signal.wait(self.settings.peer_check_s * (0.5 + self.runtime.random()))

    def find_newer_member(self) -> member.Member | None:
        """Return a member that announced or advertises a newer version, None without one."""
        version = self.local_version()
        for name, announced in reversed(list(self.announced.items())):
            found = self.membership.view.find(name)
            if found is not None and _is_newer(announced, version):
                return found
            del self.announced[name]
        local_members = self.local_members()
        for candidate in self.sample(local_members, len(local_members)):
            advertised = _parse_version(self.membership.advertised(candidate.name, TOPIC))
            if _is_newer(advertised, version):
                return candidate
        return None

    def pull(self, target: member.Member) -> bool:
        """Pull from a member; return whether the local version increased."""
        metric.count(metrics.PULLS)
        step.reach(steps.PULL_STARTING, self.membership.own.name)
        try:
            return self._pull(target)
        except (peer.PeerError, codec.CodecError, snapshot.SnapshotError) as error:
            event.log(events.PULL_FAILED, peer=target.name, code=error.code, detail=error)
            return False

    def _pull(self, target: member.Member) -> bool:
        version_before = self.local_version()
        received: dict[str, storage.TeamIntent] = {}
        base, wanted = version_before.generation, ()
        for _ in range(MAX_PULL_REQUESTS):
            pull_message = messages.Pull(base, self.local_config.leaving.version, wanted)
            delta = self.peers.request(target.peer, pull_message, self.settings.pull_timeout_s)
            if not isinstance(delta, messages.Delta):
                raise peer.PeerRefused(f"{target.name} answered with {type(delta).__name__}")
            self._update_leaving(delta)
            if delta.generation <= self.local_config.generation:
                break
            received_before = len(received)
            received |= {
                team_intent.team: team_intent for team_intent in messages.unpack(delta.content)
            }
            head = self._head(delta, base)
            if head is None:
                # A team was removed, or the histories differ after a restore of the store: request
                # all entries.  Files that are present locally are still matched by digest.
                base, wanted = 0, NO_FILES
                continue
            wanted = tuple(
                name
                for name in snapshot.changed_teams(self.local_config.snapshot, head)
                if not _is_file_received(head, name, received)
            )
            if not wanted:
                self._update_generation(target, head, received)
                break
            # Stop if the peer doesn't return the files that its entries name.
            if pull_message.wanted not in ((), NO_FILES) and len(received) == received_before:
                raise snapshot.SnapshotError(f"no files received for {', '.join(wanted[:5])}")
        return _is_newer(self.local_version(), version_before)

    def _head(self, delta: messages.Delta, base: int) -> storage.Head | None:
        """Return the sender's complete head; None if it can't be derived from the local one."""
        entries = {}
        if base:
            entries = {entry.team: entry for entry in self.local_config.snapshot.head.entries}
        entries |= {entry.team: entry for entry in delta.entries}
        in_order = tuple(entries[team] for team in sorted(entries))
        head = storage.Head(delta.generation, delta.change_id, in_order)
        if head.digest() == delta.set_digest:
            return head
        if not base:
            raise snapshot.SnapshotError("the entries don't match their digest")
        return None

    def _update_generation(self, target, head, received) -> None:
        is_local = target.data_centre == self.membership.own.data_centre
        source = (
            local_configuration.SOURCE_PEER if is_local else local_configuration.SOURCE_REMOTE_PEER
        )
        if self.local_config.update(head, received, source):
            metric.count(metrics.FROM_PEER)

    def _update_leaving(self, delta: messages.Delta) -> None:
        if delta.leaving_version > self.local_config.leaving.version:
            new_leaving = local_configuration.LeavingServers(
                delta.leaving_version, frozenset(delta.leaving)
            )
            self.local_config.update_leaving(new_leaving, is_from_peer=True)

    def sample(self, members: tuple[member.Member, ...], count: int) -> list[member.Member]:
        """Return up to ``count`` random members, in random order."""
        remaining = list(members)
        chosen = []
        while remaining and len(chosen) < count:
            chosen.append(remaining.pop(math.floor(self.runtime.random() * len(remaining))))
        return chosen


def _announcement_targets(own_name: str, order: list[str], is_initiator: bool) -> list[str]:
    """Return the children in a tree of ``FANOUT``; the initiator also announces to the roots."""
    roots = order[:FANOUT] if is_initiator else []
    start = FANOUT * (order.index(own_name) + 1)
    targets = dict.fromkeys((*roots, *order[start : start + FANOUT]))
    return [name for name in targets if name != own_name]


def _is_file_received(
    head: storage.Head, name: str, received: dict[str, storage.TeamIntent]
) -> bool:
    entry = next(entry for entry in head.entries if entry.team == name)
    return name in received and received[name].digest == entry.digest


def _is_newer(first: messages.Announce, second: messages.Announce) -> bool:
    return first.generation > second.generation or first.leaving_version > second.leaving_version


def _max_version(first: messages.Announce, second: messages.Announce) -> messages.Announce:
    return messages.Announce(
        max(first.generation, second.generation), max(first.leaving_version, second.leaving_version)
    )


def _parse_version(advertised: bytes | None) -> messages.Announce:
    """Return the version in an advertised value, (0, 0) if it is malformed."""
    parts = (advertised or b"").split()
    if len(parts) != 2 or not all(part.isdigit() and len(part) < 20 for part in parts):
        return messages.Announce(0, 0)
    return messages.Announce(int(parts[0]), int(parts[1]))
