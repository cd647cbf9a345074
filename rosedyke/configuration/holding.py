"""What an instance holds of the intent, and the rule that it only ever moves forward."""

from collections.abc import Callable

import attrs

from rosedyke import runtime as runtime_module
from rosedyke.configuration import events, intent, metrics, snapshot, stored
from rosedyke.observe import event, metric

# Where news came from, which decides who still has to be told.
SOURCE_STORE = "store"
SOURCE_PEER = "peer"
SOURCE_FAR_PEER = "far_peer"


@attrs.frozen
class Leaving:
    """The platform's list of leaving backend servers.

    Attributes
    ----------
    version : int
        Revision of the store at which the list was read.
    servers : frozenset of str
        Names of backend servers.
    """

    version: int = 0
    servers: frozenset[str] = frozenset()


class Holding:
    """The generation in force and the list of leaving servers.

    Every source, store or peer, hands over what it has here; what isn't newer is ignored.  So a
    store that answers with an old revision, a late reply or a peer from before a partition can't
    take an accepted configuration back.
    """

    def __init__(self, runtime: runtime_module.Runtime):
        self.runtime = runtime
        self.snapshot = snapshot.Snapshot()
        self.leaving = Leaving()
        # A starting instance gathers from peers and store before anyone sees what it holds.
        self.is_published = False
        self.on_generation: list[Callable[[intent.Configuration], None]] = []
        self.on_advance: list[Callable[[str], None]] = []

    @property
    def generation(self) -> int:
        """The generation held, 0 before the first."""
        return self.snapshot.generation

    def publish(self) -> None:
        """Let others see what is held, now and from now on."""
        self.is_published = True
        if self.generation:
            self._tell("start")

    def take(self, head: stored.Head, received: dict[str, stored.TeamIntent], source: str) -> bool:
        """Step forward to a newer generation and return true; ignore one that isn't newer.

        Raises
        ------
        SnapshotError
            The files are not those of the head; nothing is changed.
        """
        if not self.is_newer(head):
            return False
        new = snapshot.advance(self.snapshot, head, received, self.runtime)
        # The decoding let other tasks run: one of them may have brought a newer generation.
        if not self.is_newer(head):
            return False
        self.snapshot = new
        if self.is_published:
            self._tell(source)
        return True

    def is_newer(self, head: stored.Head) -> bool:
        """Return whether a head is a step forward; report one that contradicts what is held."""
        own = self.snapshot.head
        if head.generation > own.generation:
            return True
        if head.generation < own.generation:
            metric.count(metrics.IGNORED)
        elif head.change_id != own.change_id:
            metric.count(metrics.IGNORED)
            event.log(
                events.STORE_FORKED,
                generation=own.generation,
                held=own.change_id,
                offered=head.change_id,
            )
        return False

    def take_leaving(self, new: Leaving, is_from_peer: bool) -> None:
        """Replace the list of leaving servers by a newer one."""
        if new.version <= self.leaving.version:
            return
        is_changed = new.servers != self.leaving.servers
        # Every write to the store raises the version of a reading.  If a watcher took an equal
        # list's version, each of them would be news to all peers.  A peer's version is taken, or
        # this instance would seem to be behind that peer for ever.
        if not is_changed and self.leaving.version and not is_from_peer:
            return
        self.leaving = new
        if is_changed:
            event.log(events.SERVERS_LEAVING, count=len(new.servers), version=new.version)
        if self.is_published:
            self._advanced(SOURCE_PEER if is_from_peer else SOURCE_STORE)

    def _tell(self, source: str) -> None:
        metric.gauge(metrics.GENERATION, self.generation)
        event.log(events.IN_FORCE, generation=self.generation, source=source)
        for callback in self.on_generation:
            try:
                callback(self.snapshot.configuration)
            except Exception as error:
                # The generation is in force whatever a subscriber makes of it.  Were the error to
                # go on, it would end the task that brings the next one.
                event.log(events.SUBSCRIBER_FAILED, generation=self.generation, error=repr(error))
        self._advanced(source)

    def _advanced(self, source: str) -> None:
        for callback in self.on_advance:
            callback(source)
