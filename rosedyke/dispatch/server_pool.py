"""A pool: backend servers of one service, as their owner sees them.

The aggregate's rules:

- a server never has more leases and orphaned slots than slots, but for leases whose task it was
  found not to run;
- a lease ends when its holder releases it.  When the holder can't any more, the slot is orphaned,
  and free again only once the server itself shows that nothing unknown runs there;
- a task of a request is granted once at most.
"""

from rosedyke.configuration import intent
from rosedyke.dispatch import (
    events,
    messages,
    placement,
    report_builder,
    request_queue,
    settings,
    slot_lease,
    speed,
)
from rosedyke.dispatch import server as server_module
from rosedyke.observe import event
from rosedyke.wire import peer

# The queue takes this many times its limit before it refuses a claimed job.
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
        How to queue and place.
    """

    def __init__(self, key: str, speeds: speed.SpeedTable, options: settings.DispatchSettings):
        self.key = key
        self.speeds = speeds
        self.options = options
        self.servers: dict[str, server_module.Server] = {}
        self.leases: dict[slot_lease.LeaseKey, slot_lease.Lease] = {}
        self.released_early: set[slot_lease.LeaseKey] = set()
        self.newest_request_number: dict[tuple[str, int], int] = {}
        self.concurrency_limit: int | None = None
        self.max_timeout_s = intent.Limits().max_timeout_s
        self.queue_limit = intent.Limits().queue
        self.wait_queue = request_queue.RequestQueue(1, options.aging)
        self.builder = report_builder.ReportBuilder(options)

    def set_limits(self, limits: intent.Limits) -> None:
        """Take in the service's limits of a new configuration."""
        self.max_timeout_s = limits.max_timeout_s
        self.queue_limit = limits.queue

    @property
    def is_busy(self) -> bool:
        """Whether there is a lease or a waiting task to look after."""
        return bool(self.leases) or bool(self.wait_queue.task_count)

    def would_overflow(self, slot_request: messages.SlotRequest) -> bool:
        """Return whether a request would overfill the queue.

        Jobs are refused earlier, before they are claimed, by what reports say.  This bound holds
        the memory when many instances decide by the same old report.
        """
        tasks = sum(len(group.indices) for group in slot_request.groups)
        return self.wait_queue.task_count + tasks > QUEUE_LIMIT_FACTOR * self.queue_limit

    def update_servers(
        self, servers: tuple[intent.BackendServer, ...], concurrency_limit: int | None, now: float
    ) -> None:
        """Take in the servers and the concurrency limit of a new configuration.

        A server that is new here, or was out of reach for a while, may run tasks by the grants of
        another owner: each slot without a lease is orphaned until the server has said what runs.
        """
        self.concurrency_limit = concurrency_limit
        names = {server.name for server in servers}
        for declared in servers:
            server = self.servers.setdefault(
                declared.name, server_module.Server(declared, is_removed=True)
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
        """Take in a request, or return what was granted for it when it is asked again."""
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
        """Forget what still waits of a request."""
        self.wait_queue.remove(
            request_queue.RequestKey(holder.name, holder.incarnation, request_number)
        )

    def release(self, holder: peer.Peer, notice: messages.Release, now: float) -> None:
        """End a lease and learn from it; an unknown one was released before."""
        key = slot_lease.LeaseKey(holder.name, holder.incarnation, notice.request, notice.index)
        lease = self.leases.get(key)
        if lease is None:
            if self.unrecovered_servers():
                self.released_early.add(key)
            return
        outcome = slot_lease.Outcome(notice.outcome)
        server = self.servers[lease.server]
        self._update_health(server, lease, outcome, now)
        server.is_leaving = server.is_leaving or notice.is_leaving
        if outcome is slot_lease.Outcome.DONE:
            self.speeds.learn(lease.task, lease.server, lease.run_time_s, notice.run_s)
        self._remove_lease(lease)
        if outcome in slot_lease.UNKNOWN_OUTCOMES:
            server.orphan(1, now)

    def expire_leases(self, now: float) -> list[slot_lease.Lease]:
        """Orphan slots whose job is over by far, and return their leases."""
        margin_s = self.options.lease_margin_s
        ended_leases = [lease for lease in self.leases.values() if lease.deadline + margin_s <= now]
        self._orphan_leases(ended_leases, now)
        self.wait_queue.expire(now)
        return ended_leases

    def holders(self) -> set[peer.Peer]:
        """Return everyone who has a lease or waits."""
        return {lease.holder for lease in self.leases.values()} | {
            request.holder for request in self.wait_queue
        }

    def remove_holder(self, name: str, incarnation: int, now: float) -> list[slot_lease.Lease]:
        """Forget a dead holder's requests and orphan its slots; return their leases."""
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
        """Take in the slots that a holder uses by grants of an earlier owner."""
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
            # Until the server was asked, each slot without a lease counts as in use.
            server.orphans = max(0, server.orphans - 1)

    def unrecovered_servers(self) -> set[str]:
        """Return the servers whose slots in use are not yet known."""
        return {name for name, server in self.servers.items() if not server.is_recovered}

    def make_ready(self, names: set[str]) -> None:
        """Trust the leases of servers: every member has told its own, or is dead."""
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
            ``is_excluded(name)`` tells whether a server gets no new work for a reason that this
            pool can't know: the platform lists it as leaving, or its data centre is cut off.
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
            # Only now may slower servers leave tasks to these slots: were all free slots counted
            # from the start, two equal servers would each leave the task to the other for ever.
            forecast.slot_free_times_s(name).extend([0.0] * server.free_slots())
        return granted

    def report(self, now: float, is_excluded) -> messages.PoolReport:
        """Return how busy the pool is, at most a moment ago."""
        return self.builder.report(self, now, is_excluded)

    def usable_servers(self, now: float, is_excluded) -> list[server_module.Server]:
        """Return the servers that may get new work."""
        return [
            server
            for name, server in self.servers.items()
            if not (
                server.is_leaving
                or server.is_removed
                or not server.is_recovered
                or server.health.is_held(now)
                or is_excluded(name)
            )
        ]

    def _preference(self, server, data_centre):
        """Return the order in which free slots are given out: fast first, then near."""
        slowness = round(self.speeds.slowness(server.declared.name), 1)
        return (slowness, server.declared.data_centre != data_centre)

    def _is_below_limit(self):
        if self.concurrency_limit is None:
            return True
        orphans = sum(server.orphans for server in self.servers.values())
        return len(self.leases) + orphans < self.concurrency_limit

    def _update_health(self, server, lease, outcome, now):
        """Let a server's health follow from what became of a task there."""
        # A job whose time was nearly over when its task was sent says nothing about the server;
        # in an overload many end so, and good servers would be ejected for it.
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
            self.servers[lease.server].orphan(1, now)
