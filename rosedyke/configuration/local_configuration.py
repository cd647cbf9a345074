"""The configuration state of this instance, whose generation never decreases."""

from collections.abc import Callable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.configuration import events, intent, metrics, snapshot, storage
from rosedyke.observe import event, metric

# Origin of an update, which determines the instances to announce it to.
SOURCE_STORE = "store"
SOURCE_PEER = "peer"
SOURCE_REMOTE_PEER = "far_peer"


@attrs.frozen
class LeavingServers:
    """The platform's list of leaving backend servers.

    Attributes
    ----------
    version : int
        Store revision that the list was read at.
    servers : frozenset of str
        Names of backend servers.
    """

    version: int = 0
    servers: frozenset[str] = frozenset()


class LocalConfiguration:
    """The active generation and the list of leaving servers.

    Updates from the store and from peers are applied only if they are newer.  So a stale read, a
    delayed reply or a peer rejoining after a partition can't revert an accepted configuration.
    """

    def __init__(self, runtime: runtime_module.Runtime):
        self.runtime = runtime
        self.snapshot = snapshot.Snapshot()
        self.leaving = LeavingServers()
        # False while a starting instance collects the newest state from peers and the store.
        self.is_published = False
        self.generation_callbacks: list[Callable[[intent.Configuration], None]] = []
        self.version_callbacks: list[Callable[[str], None]] = []

    @property
    def generation(self) -> int:
        """The newest generation, 0 before the first."""
        return self.snapshot.generation

    def publish(self) -> None:
        """Make the state visible to subscribers and peers, now and after each update."""
        self.is_published = True
        if self.generation:
            self._notify_subscribers("start")

    def update(
        self, head: storage.Head, received: dict[str, storage.TeamIntent], source: str
    ) -> bool:
        """Apply a newer generation and return true; ignore any other.

        Raises
        ------
        SnapshotError
            The files don't match the head; the state is unchanged.
        """
        if not self.is_newer(head):
            return False
        new_snapshot = snapshot.advance(self.snapshot, head, received, self.runtime)
        # Other tasks ran during the decoding and may have applied a newer generation.
        if not self.is_newer(head):
            return False
        self.snapshot = new_snapshot
        if self.is_published:
            self._notify_subscribers(source)
        return True

    def is_newer(self, head: storage.Head) -> bool:
        """Return whether a head is newer; log one of another change with the same generation."""
        current_head = self.snapshot.head
        if head.generation > current_head.generation:
            return True
        if head.generation < current_head.generation:
            metric.count(metrics.IGNORED)
        elif head.change_id != current_head.change_id:
            metric.count(metrics.IGNORED)
            event.log(
                events.STORE_FORKED,
                generation=current_head.generation,
                held=current_head.change_id,
                offered=head.change_id,
            )
        return False

    def update_leaving(self, new_leaving: LeavingServers, is_from_peer: bool) -> None:
        """Replace the list of leaving servers by a newer one."""
        if new_leaving.version <= self.leaving.version:
            return
        is_changed = new_leaving.servers != self.leaving.servers
        # Any write to the store raises the revision of the next read.  If a watcher adopted the
        # version of an unchanged list, each write would be announced to all peers.  A peer's
        # version is adopted, as this instance would otherwise pull from that peer for ever.
        if not is_changed and self.leaving.version and not is_from_peer:
            return
        self.leaving = new_leaving
        if is_changed:
            event.log(
                events.SERVERS_LEAVING, count=len(new_leaving.servers), version=new_leaving.version
            )
        if self.is_published:
            self._notify_version_change(SOURCE_PEER if is_from_peer else SOURCE_STORE)

    def _notify_subscribers(self, source: str) -> None:
        metric.gauge(metrics.GENERATION, self.generation)
        event.log(events.IN_FORCE, generation=self.generation, source=source)
        for callback in self.generation_callbacks:
            try:
                callback(self.snapshot.configuration)
            except Exception as error:
                # A failing subscriber must not end the task that applies later generations.
                event.log(events.SUBSCRIBER_FAILED, generation=self.generation, error=repr(error))
        self._notify_version_change(source)

    def _notify_version_change(self, source: str) -> None:
        for callback in self.version_callbacks:
            callback(source)
