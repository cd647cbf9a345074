"""A watcher's tasks: read the store when the watch says so, and now and then in any case."""

import contextlib

from rosedyke import runtime as runtime_module
from rosedyke.configuration import (
    events,
    holding,
    metrics,
    ports,
    settings,
    snapshot,
    steps,
    stored,
)
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step

WATCHER_KEY = "configuration"
FILES_PER_READ = 16  # bounds an answer to 16 MB even when every file is as large as it may be
RETRY_BASE_S = 0.2


class StoreReader:
    """Reads the store while this instance is a watcher of its data centre."""

    def __init__(
        self,
        own_settings: settings.DistributionSettings,
        runtime: runtime_module.Runtime,
        membership: membership_ports.Membership,
        store: ports.Store,
        held: holding.Holding,
    ):
        self.settings = own_settings
        self.keys = own_settings.keys
        self.runtime = runtime
        self.membership = membership
        self.store = store
        self.held = held
        self.started_at = runtime.now()
        self.revision = 0  # of the newest reading
        self.servers: dict[str, str] = {}  # state of each backend server that isn't live
        self.full_read_at = 0.0
        self.wake = runtime.signal()
        self.failures = 0

    def is_watcher(self) -> bool:
        """Return whether this instance is one of its data centre's readers of the store."""
        own = self.membership.own
        ranked = self.membership.view.ranked(WATCHER_KEY, own.data_centre)
        if not ranked:  # the whole data centre is starting
            return True
        return own.name in {each.name for each in ranked[: self.settings.watchers]}

    def is_alone(self) -> bool:
        """Return whether nobody has given this instance a configuration for some time."""
        waited_s = self.runtime.now() - self.started_at
        return not self.held.generation and waited_s > self.settings.alone_s

    def run(self) -> None:
        """Read for ever, whenever woken and at least each poll interval."""
        while True:
            self.wake = self.runtime.signal()
            pause_s = self.settings.poll_s
            if self.is_watcher():
                pause_s = self.try_to_refresh()
            elif self.is_alone():
                # The watchers may be cut off from the store together while this instance isn't.
                # Rarely, for as long as nothing was ever applied all instances are alone.
                self.try_to_refresh()
                pause_s = self.settings.alone_poll_s
            self.wake.wait(pause_s * (0.8 + 0.4 * self.runtime.random()))

    def try_to_refresh(self) -> float:
        """Read once and return how long to wait at most before the next try."""
        try:
            self.refresh()
        except (ports.StoreError, snapshot.SnapshotError) as error:
            self.failures += 1
            metric.count(metrics.STORE_FAILURES)
            kind = events.STORE_FAILED
            if isinstance(error, snapshot.FileUnreadable):
                kind = events.FILE_UNREADABLE
            event.log(kind, code=error.code, detail=error, failures=self.failures)
            growing_s = RETRY_BASE_S * 2 ** min(self.failures, 10)
            return min(self.settings.retry_limit_s, growing_s)
        self.failures = 0
        return self.settings.poll_s

    def refresh(self) -> None:
        """Take what the store has."""
        servers = self.keys.servers
        now = self.runtime.now()
        is_full = not self.revision or now - self.full_read_at >= self.settings.full_read_s
        if not is_full:
            servers = ports.Span(servers.first, servers.end, since=self.revision + 1)
        reading = self.store.read(ports.Span(self.keys.head), servers)
        is_behind = reading.revision < self.revision
        if is_behind:
            metric.count(metrics.IGNORED)
            event.log(events.STORE_BEHIND, revision=reading.revision, known=self.revision)
        else:
            self._take_servers(reading, is_full)
        # Also from behind: after a restore from an old copy the store's revisions start lower,
        # but a generation above the one held was accepted in any case.
        for entry in reading.entries:
            if entry.key == self.keys.head:
                self._take_head(stored.decode(entry.value, stored.Head))
        if is_behind:
            return
        # Only now: a reading that failed half way is repeated from the same revision.
        self.revision = reading.revision
        if is_full:
            self.full_read_at = now

    def _take_head(self, head: stored.Head) -> None:
        if head.generation < self.held.generation:
            event.log(events.STORE_BEHIND, generation=head.generation, held=self.held.generation)
        if not self.held.is_newer(head):
            return
        names = snapshot.missing(self.held.snapshot, head)
        received = {}
        for start in range(0, len(names), FILES_PER_READ):
            spans = [
                ports.Span(self.keys.team(name)) for name in names[start : start + FILES_PER_READ]
            ]
            for entry in self.store.read(*spans).entries:
                each = stored.decode(entry.value, stored.TeamFile).as_intent()
                received[each.team] = each
        # A change between the two reads shows as another digest; the next try reads it anew.
        step.reach(steps.SPREAD_READ, self.membership.own.name)
        if self.held.take(head, received, holding.SOURCE_STORE):
            metric.count(metrics.FROM_STORE)

    def _take_servers(self, reading: ports.Reading, is_full: bool) -> None:
        prefix = self.keys.servers.first
        states = {} if is_full else dict(self.servers)
        for entry in reading.entries:
            if not entry.key.startswith(prefix):
                continue
            name = entry.key.removeprefix(prefix)
            record = stored.decode(entry.value, stored.ServerRecord)
            if record.state == stored.LIVE:
                states.pop(name, None)
            else:
                states[name] = record.state
        self.servers = states
        new = holding.Leaving(reading.revision, frozenset(states))
        self.held.take_leaving(new, is_from_peer=False)

    def run_watch(self) -> None:
        """Keep a watch open while this instance is a watcher, and wake the reading task."""
        while True:
            if not self.is_watcher() or not self.revision:
                self.runtime.sleep(self.settings.peer_check_s)
                continue
            failed = self.watch_once()
            pause_s = self.settings.retry_limit_s if failed else RETRY_BASE_S
            self.runtime.sleep(pause_s * (0.5 + self.runtime.random()))

    def watch_once(self) -> bool:
        """Open one watch and follow it to its end; return whether it failed."""
        stream = self.store.watch(self.keys.watched, self.revision + 1)
        try:
            with contextlib.closing(stream):
                for changes in stream:
                    if any(self._is_news(change) for change in changes):
                        self.full_read_at -= self.settings.full_read_s * any(
                            change.value is None for change in changes
                        )
                        step.reach(steps.WATCH_CHANGED, self.membership.own.name)
                        self.wake.set()
                    if not self.is_watcher():
                        return False
        except ports.StoreError as error:
            # Cut, or what lies between was compacted: a read gives the present state at once.
            metric.count(metrics.STORE_FAILURES)
            event.log(events.STORE_FAILED, code=error.code, detail=error, watch=True)
            self.wake.set()
            return True
        return False

    def _is_news(self, change: ports.Change) -> bool:
        if change.revision <= self.revision:
            return False
        return change.key == self.keys.head or change.key.startswith(self.keys.servers.first)


def others(view: member.View, own: member.Member) -> tuple[member.Member, ...]:
    """Return all other members that are not dead."""
    return tuple(
        each
        for each in view.members
        if each.name != own.name and each.state is not member.State.DEAD
    )
