"""A pool of backend servers of one service, managed by the pool's owner.

Invariants of the aggregate:

- a server never has more leases and orphaned slots than slots, except for stalled leases;
- a lease ends when its holder releases it.  If the holder cannot, the slot is orphaned, and free
  again only once the server's own count shows that no task without a lease runs there;
- each task of a request is granted at most once.
"""

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    events,
    messages,
    placement,
    report_builder,
    request_queue,
    server_state,
    settings,
    slot_lease,
    speed,
)
from rosedyke.observe import event
from rosedyke.wire import peer

# Factor on the queue limit above which claimed jobs are refused.
QUEUE_LIMIT_FACTOR = 2


class ServerPool:
    """Servers, leases and waiting requests of one pool.

    Parameters
    ----------
    key : str
        The pool's name.
    speeds : SpeedTable
        The service's learned run times.
    options : DispatchSettings
        Limits and intervals.
    """

    def __init__(self, key: str, speeds: speed.SpeedTable, options: settings.DispatchSettings):
        self.key = key
        self.speeds = speeds
        self.options = options
        self.servers: dict[str, server_state.ServerState] = {}
        self.leases: dict[slot_lease.LeaseKey, slot_lease.Lease] = {}
        self.released_early: set[slot_lease.LeaseKey] = set()
        self.newest_request_number: dict[tuple[str, int], int] = {}
        self.concurrency_limit: int | None = None
        self.max_timeout_s = intent.Limits().max_timeout_s
        self.queue_limit = intent.Limits().queue
        self.wait_queue = request_queue.RequestQueue(1, options.aging)
        self.builder = report_builder.ReportBuilder(options)

    def set_limits(self, limits: intent.Limits) -> None:
        """Apply the service's limits from a new configuration."""
        self.max_timeout_s = limits.max_timeout_s
        self.queue_limit = limits.queue

    @property
    def is_busy(self) -> bool:
        """Whether the pool has leases or waiting tasks."""
        return bool(self.leases) or bool(self.wait_queue.task_count)

    def would_overflow(self, slot_request: messages.SlotRequest) -> bool:
        """Return whether a request would overfill the queue.

        Admission control normally refuses jobs before they are claimed.  This limit bounds memory
        when many instances admit jobs on the basis of the same outdated report.
        """
        tasks = sum(len(group.indices) for group in slot_request.groups)
        return self.wait_queue.task_count + tasks > QUEUE_LIMIT_FACTOR * self.queue_limit

    def update_servers(
        self, servers: tuple[intent.BackendServer, ...], concurrency_limit: int | None, now: float
    ) -> None:
        """Apply the servers and the concurrency limit of a new configuration.

        A server that is new here, or was temporarily unreachable, may run tasks granted by another
        owner: each slot without a lease is orphaned until the server has been probed.
        """
        self.concurrency_limit = concurrency_limit
        names = {server.name for server in servers}
        for declared in servers:
            server = self.servers.setdefault(
                declared.name, server_state.ServerState(declared, is_removed=True)
            )
            server.declared = declared
            if server.is_removed:
                server.is_removed = False
                server.is_recovered = False
                server.orphans = max(0, declared.slots - len(server.leases))
                server.orphaned_at = now - self.options.settle_s
        for name, server in list(self.servers.items()):
            server.is_removed = name not in names
            if server.is_removed and not server.leases:
                del self.servers[name]
        self.wait_queue.slots = max(1, sum(server.slots for server in servers))

    def add(
        self, holder: peer.Peer, slot_request: messages.SlotRequest, now: float
    ) -> list[slot_lease.Lease]:
        """Queue a request; if it is a duplicate, return the leases granted for it."""
        holder_key = (holder.name, holder.incarnation)
        if slot_request.number <= self.newest_request_number.get(holder_key, 0):
            return [
                lease
                for lease in self.leases.values()
                if lease.holder == holder and lease.request == slot_request.number
            ]
        self.newest_request_number[holder_key] = slot_request.number
        self.wait_queue.add(request_queue.queued_request(holder, slot_request, self.speeds, now))
        return []

    def withdraw(self, holder: peer.Peer, request_number: int) -> None:
        """Remove the waiting tasks of a request."""
        self.wait_queue.remove(
            request_queue.RequestKey(holder.name, holder.incarnation, request_number)
        )

    def release(self, holder: peer.Peer, release_message: messages.Release, now: float) -> None:
        """End a lease and learn its run time; one that was already released is ignored."""
        key = slot_lease.LeaseKey(
            holder.name, holder.incarnation, release_message.request, release_message.index
        )
        lease = self.leases.get(key)
        if lease is None:
            if self.unrecovered_servers():
                self.released_early.add(key)
            return
        outcome = slot_lease.Outcome(release_message.outcome)
        server = self.servers[lease.server]
        self._update_health(server, lease, outcome, now)
        server.is_leaving = server.is_leaving or release_message.is_leaving
        if outcome is slot_lease.Outcome.DONE:
            self.speeds.learn(lease.task, lease.server, lease.run_time_s, release_message.run_s)
        self._remove_lease(lease)
        if outcome in slot_lease.UNKNOWN_OUTCOMES:
            server.add_orphans(1, now)

    def expire_leases(self, now: float) -> list[slot_lease.Lease]:
        """Orphan slots not released within the margin after their deadline; return their leases."""
        margin_s = self.options.lease_margin_s
        ended_leases = [lease for lease in self.leases.values() if lease.deadline + margin_s <= now]
        self._orphan_leases(ended_leases, now)
        self.wait_queue.expire(now)
        return ended_leases

    def holders(self) -> set[peer.Peer]:
        """Return all holders with leases or waiting requests."""
        return {lease.holder for lease in self.leases.values()} | {
            request.holder for request in self.wait_queue
        }

    def remove_holder(self, name: str, incarnation: int, now: float) -> list[slot_lease.Lease]:
        """Remove a dead holder's requests and orphan its slots; return their leases."""
        for request in [
            request
            for request in self.wait_queue
            if (request.holder.name, request.holder.incarnation) == (name, incarnation)
        ]:
            self.wait_queue.remove(request.key)
        ended_leases = [
            lease
            for lease in self.leases.values()
            if (lease.holder.name, lease.holder.incarnation) == (name, incarnation)
        ]
        self._orphan_leases(ended_leases, now)
        self.newest_request_number.pop((name, incarnation), None)
        return ended_leases

    def restore_leases(
        self, holder: peer.Peer, slots: tuple[messages.HeldSlot, ...], now: float
    ) -> None:
        """Recreate leases for the slots that an earlier owner granted to a holder."""
        for slot in slots:
            server = self.servers.get(slot.server)
            if server is None or server.is_recovered:
                continue
            expected_s = self.speeds.expected_s(slot.task, slot.server, slot.run_time_s)
            lease = slot_lease.Lease(
                slot.server,
                holder,
                slot.request,
                slot.index,
                slot.task,
                slot.size,
                slot.run_time_s,
                now - slot.elapsed_s,
                expected_s,
                now + slot.deadline_left_s,
            )
            if lease.key in self.released_early or lease.key in self.leases:
                continue
            self._add_lease(server, lease)
            # Until the server has been probed, each slot without a lease counts as orphaned.
            server.orphans = max(0, server.orphans - 1)

    def unrecovered_servers(self) -> set[str]:
        """Return the names of servers whose slots in use are not yet known."""
        return {name for name, server in self.servers.items() if not server.is_recovered}

    def mark_recovered(self, names: set[str]) -> None:
        """Allow grants on servers: every member has reported its slots there, or is dead."""
        for name in names & self.servers.keys():
            self.servers[name].is_recovered = True
        if not self.unrecovered_servers():
            self.released_early.clear()

    def grant_slots(self, now: float, is_excluded) -> list[slot_lease.Lease]:
        """Grant free slots to waiting tasks and return the new leases.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_excluded : callable
            ``is_excluded(name)`` returns whether a server gets no new work for reasons outside
            the pool: the platform lists it as leaving, or its data centre is unreachable.
        """
        granted: list[slot_lease.Lease] = []
        if not self.wait_queue:
            return granted
        servers = self.usable_servers(now, is_excluded)
        free_servers = [server for server in servers if server.free_slots() > 0]
        if not free_servers:
            return granted
        server_sizes = {server.declared.name: server.declared.size for server in servers}
        forecast = placement.SlotForecast(
            server_sizes, lambda name: self._remaining_times_s(name, now), self.speeds
        )
        nearest = self.wait_queue.ordered[0].holder.data_centre
        free_servers.sort(key=lambda server: self._preference(server, nearest))
        for server in free_servers:
            name = server.declared.name
            while server.free_slots() > 0 and self.wait_queue and self._is_below_limit():
                choice = placement.choose_task(
                    self.wait_queue, name, server.available_size(), forecast
                )
                if choice is None:
                    break
                granted.append(self._grant(server, choice, now))
                forecast.slot_free_times_s(name).append(choice.expected_s)
            # Added only now, for the slower servers that follow: if all free slots were counted
            # from the start, two equal servers would each leave the task to the other forever.
            forecast.slot_free_times_s(name).extend([0.0] * server.free_slots())
        return granted

    def report(self, now: float, is_excluded) -> messages.PoolReport:
        """Return the pool's load; may be cached for ``report_s``."""
        return self.builder.report(self, now, is_excluded)

    def usable_servers(self, now: float, is_excluded) -> list[server_state.ServerState]:
        """Return the servers that may get new work."""
        return [
            server
            for name, server in self.servers.items()
            if not (
                server.is_leaving
                or server.is_removed
                or not server.is_recovered
                or server.health.is_suspended(now)
                or is_excluded(name)
            )
        ]

    def _preference(self, server, data_centre):
        """Return the sort key of free servers: fast before slow, then local before remote."""
        slowness = round(self.speeds.slowness(server.declared.name), 1)
        return (slowness, server.declared.data_centre != data_centre)

    def _is_below_limit(self):
        if self.concurrency_limit is None:
            return True
        orphans = sum(server.orphans for server in self.servers.values())
        return len(self.leases) + orphans < self.concurrency_limit

    def _update_health(self, server, lease, outcome, now):
        """Update a server's health from the outcome of a task."""
        # A task sent shortly before its deadline says nothing about the server; under overload
        # there are many of these, and healthy servers would be ejected.
        if outcome is slot_lease.Outcome.LATE:
            if now - lease.granted_at < self.options.late_factor * lease.expected_s:
                return
            outcome = slot_lease.Outcome.LOST
        if outcome is slot_lease.Outcome.DONE:
            server.health.record_success(server.declared.slots)
        elif outcome in (slot_lease.Outcome.FAILED, slot_lease.Outcome.LOST):
            ejected_count = sum(other.health.is_ejected(now) for other in self.servers.values())
            may_eject = ejected_count + 1 <= self.options.eject_share * len(self.servers)
            if server.health.record_failure(now, self.options, may_eject):
                event.log(events.SERVER_EJECTED, server=server.declared.name, pool=self.key)
        elif outcome in (slot_lease.Outcome.REFUSED, slot_lease.Outcome.UNREACHED):
            server.health.record_refusal(now, self.options)

    def _remaining_times_s(self, name, now):
        return [lease.remaining_s(now) for lease in self.servers[name].leases.values()]

    def _grant(self, server, choice, now):
        index = self.wait_queue.pop_task(choice.request, choice.group)
        lease = slot_lease.Lease(
            server.declared.name,
            choice.request.holder,
            choice.request.number,
            index,
            choice.group.task,
            choice.group.size,
            choice.group.run_time_s,
            now,
            choice.expected_s,
            choice.request.deadline,
        )
        self._add_lease(server, lease)
        return lease

    def _add_lease(self, server, lease):
        self.leases[lease.key] = lease
        server.leases[lease.key] = lease

    def _remove_lease(self, lease):
        del self.leases[lease.key]
        server = self.servers[lease.server]
        server.leases.pop(lease.key, None)
        server.stalled.discard(lease.key)
        server.checked_ages_s.pop(lease.key, None)

    def _orphan_leases(self, ended_leases, now):
        for lease in ended_leases:
            self._remove_lease(lease)
            self.servers[lease.server].add_orphans(1, now)
