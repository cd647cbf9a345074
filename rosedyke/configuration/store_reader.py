"""Reads the store at the watchers of a data centre, on watch events and at a polling interval."""

import contextlib

from rosedyke import runtime as runtime_module
from rosedyke.configuration import (
    events,
    local_configuration,
    metrics,
    ports,
    settings,
    snapshot,
    steps,
    storage,
)
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import event, metric, step

WATCHER_KEY = "configuration"
FILES_PER_READ = 16  # limits a response to 16 MB with files of the maximum size
INITIAL_BACKOFF_S = 0.2


class StoreReader:
    """Reads the store while this instance is a watcher of its data centre."""

    def __init__(
        self,
        distribution_settings: settings.DistributionSettings,
        runtime: runtime_module.Runtime,
        membership: membership_ports.Membership,
        store: ports.Store,
        config: local_configuration.LocalConfiguration,
    ):
        self.settings = distribution_settings
        self.keys = distribution_settings.keys
        self.runtime = runtime
        self.membership = membership
        self.store = store
        self.local_config = config
        self.started_at = runtime.now()
        self.revision = 0  # of the newest read
        self.servers: dict[str, str] = {}  # states of the backend servers that aren't live
        self.last_full_read_at = 0.0
        self.wake_signal = runtime.signal()
        self.failures = 0

    def is_watcher(self) -> bool:
        """Return whether this instance is one of those that read the store for its data centre."""
        own = self.membership.own
        ranked = self.membership.view.ranked(WATCHER_KEY, own.data_centre)
        if not ranked:  # no member is live yet, so the whole data centre is starting
            return True
        return own.name in {watcher.name for watcher in ranked[: self.settings.watchers]}

    def lacks_configuration(self) -> bool:
        """Return whether this instance has waited too long for its first configuration."""
        elapsed_s = self.runtime.now() - self.started_at
        return not self.local_config.generation and elapsed_s > self.settings.alone_s

    def run(self) -> None:
        """Read the store at each watch event and polling interval; never returns."""
        while True:
            self.wake_signal = self.runtime.signal()
            delay_s = self.settings.poll_s
            if self.is_watcher():
                delay_s = self.try_to_refresh()
            elif self.lacks_configuration():
                # All watchers may be partitioned from the store while this instance isn't.  The
                # interval is longer, as this applies to every instance until the first change.
                self.try_to_refresh()
                delay_s = self.settings.alone_poll_s
            self.wake_signal.wait(delay_s * (0.8 + 0.4 * self.runtime.random()))

    def try_to_refresh(self) -> float:
        """Read once and return the longest time to wait before the next read."""
        try:
            self.refresh()
        except (ports.StoreError, snapshot.SnapshotError) as error:
            self.failures += 1
            metric.count(metrics.STORE_FAILURES)
            failure_event = events.STORE_FAILED
            if isinstance(error, snapshot.FileUnreadable):
                failure_event = events.FILE_UNREADABLE
            event.log(failure_event, code=error.code, detail=error, failures=self.failures)
            backoff_s = INITIAL_BACKOFF_S * 2 ** min(self.failures, 10)
            return min(self.settings.retry_limit_s, backoff_s)
        self.failures = 0
        return self.settings.poll_s

    def refresh(self) -> None:
        """Read the head, changed files and the list of backend servers."""
        servers = self.keys.servers
        now = self.runtime.now()
        is_full = not self.revision or now - self.last_full_read_at >= self.settings.full_read_s
        if not is_full:
            servers = ports.KeyRange(servers.first, servers.end, min_revision=self.revision + 1)
        result = self.store.read(ports.KeyRange(self.keys.head), servers)
        is_stale = result.revision < self.revision
        if is_stale:
            metric.count(metrics.IGNORED)
            event.log(events.STORE_BEHIND, revision=result.revision, known=self.revision)
        else:
            self._update_servers(result, is_full)
        # Even if the revision is older: after a restore from a backup the store's revisions start
        # lower, but a generation above the local one has been accepted in any case.
        for entry in result.entries:
            if entry.key == self.keys.head:
                self._update_head(storage.decode(entry.value, storage.Head))
        if is_stale:
            return
        # Set last, so that a read that failed half-way is repeated from the same revision.
        self.revision = result.revision
        if is_full:
            self.last_full_read_at = now

    def _update_head(self, head: storage.Head) -> None:
        if head.generation < self.local_config.generation:
            event.log(
                events.STORE_BEHIND, generation=head.generation, held=self.local_config.generation
            )
        if not self.local_config.is_newer(head):
            return
        teams = snapshot.changed_teams(self.local_config.snapshot, head)
        received = {}
        for start in range(0, len(teams), FILES_PER_READ):
            key_ranges = [
                ports.KeyRange(self.keys.team(team_name))
                for team_name in teams[start : start + FILES_PER_READ]
            ]
            for entry in self.store.read(*key_ranges).entries:
                team_intent = storage.decode(entry.value, storage.TeamFile).as_intent()
                received[team_intent.team] = team_intent
        # A change between the two reads causes a digest mismatch; the next read retries.
        step.reach(steps.GENERATION_READ, self.membership.own.name)
        if self.local_config.update(head, received, local_configuration.SOURCE_STORE):
            metric.count(metrics.FROM_STORE)

    def _update_servers(self, result: ports.ReadResult, is_full: bool) -> None:
        prefix = self.keys.servers.first
        states = {} if is_full else dict(self.servers)
        for entry in result.entries:
            if not entry.key.startswith(prefix):
                continue
            name = entry.key.removeprefix(prefix)
            record = storage.decode(entry.value, storage.ServerRecord)
            if record.state == storage.LIVE:
                states.pop(name, None)
            else:
                states[name] = record.state
        self.servers = states
        new_leaving = local_configuration.LeavingServers(result.revision, frozenset(states))
        self.local_config.update_leaving(new_leaving, is_from_peer=False)

    def run_watch(self) -> None:
        """Keep a watch open while this instance is a watcher; never returns."""
        while True:
            if not self.is_watcher() or not self.revision:
                self.runtime.sleep(self.settings.peer_check_s)
                continue
            failed = self.watch_once()
            delay_s = self.settings.retry_limit_s if failed else INITIAL_BACKOFF_S
            self.runtime.sleep(delay_s * (0.5 + self.runtime.random()))

    def watch_once(self) -> bool:
        """Process one watch until it ends, waking the reading task; return whether it failed."""
        stream = self.store.watch(self.keys.watched, self.revision + 1)
        try:
            with contextlib.closing(stream):
                for changes in stream:
                    if any(self._is_relevant(change) for change in changes):
                        self.last_full_read_at -= self.settings.full_read_s * any(
                            change.value is None for change in changes
                        )
                        step.reach(steps.WATCH_CHANGED, self.membership.own.name)
                        self.wake_signal.set()
                    if not self.is_watcher():
                        return False
        except ports.StoreError as error:
            # The connection broke or the revision was compacted: read the current state.
            metric.count(metrics.STORE_FAILURES)
            event.log(events.STORE_FAILED, code=error.code, detail=error, watch=True)
            self.wake_signal.set()
            return True
        return False

    def _is_relevant(self, change: ports.Change) -> bool:
        if change.revision <= self.revision:
            return False
        return change.key == self.keys.head or change.key.startswith(self.keys.servers.first)


def other_live_members(view: member.View, own: member.Member) -> tuple[member.Member, ...]:
    """Return the members that are not dead, without ``own``."""
    return tuple(
        candidate
        for candidate in view.members
        if candidate.name != own.name and candidate.state is not member.State.DEAD
    )
