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
QUEUE_HEADROOM = 2


class Pool:
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
        self.leases: dict[slot_lease.Key, slot_lease.Lease] = {}
        self.released_early: set[slot_lease.Key] = set()
        self.newest_request: dict[tuple[str, int], int] = {}
        self.limit: int | None = None
        self.max_timeout_s = intent.Limits().max_timeout_s
        self.queue_limit = intent.Limits().queue
        self.waiting = request_queue.RequestQueue(1, options.aging)
        self.reporter = report_builder.Reporter(options)

    def bound(self, limits: intent.Limits) -> None:
        """Take in the service's limits of a new configuration."""
        self.max_timeout_s = limits.max_timeout_s
        self.queue_limit = limits.queue

    @property
    def is_busy(self) -> bool:
        """Whether there is a lease or a waiting task to look after."""
        return bool(self.leases) or bool(self.waiting.tasks)

    def is_full(self, asked: messages.SlotRequest) -> bool:
        """Return whether a request would overfill the queue.

        Jobs are refused earlier, before they are claimed, by what reports say.  This bound holds
        the memory when many instances decide by the same old report.
        """
        tasks = sum(len(group.indices) for group in asked.groups)
        return self.waiting.tasks + tasks > QUEUE_HEADROOM * self.queue_limit

    def declare(
        self, servers: tuple[intent.BackendServer, ...], limit: int | None, now: float
    ) -> None:
        """Take in the servers and the concurrency limit of a new configuration.

        A server that is new here, or was out of reach for a while, may run tasks by the grants of
        another owner: each slot without a lease is orphaned until the server has said what runs.
        """
        self.limit = limit
        names = {server.name for server in servers}
        for declared in servers:
            server = self.servers.setdefault(
                declared.name, server_module.Server(declared, is_removed=True)
            )
            server.declared = declared
            if server.is_removed:
                server.is_removed = False
                server.is_ready = False
                server.orphans = max(0, declared.slots - len(server.leases))
                server.orphaned_at = now - self.options.settle_s
        for name, server in list(self.servers.items()):
            server.is_removed = name not in names
            if server.is_removed and not server.leases:
                del self.servers[name]
        self.waiting.slots = max(1, sum(server.slots for server in servers))

    def add(
        self, holder: peer.Peer, asked: messages.SlotRequest, now: float
    ) -> list[slot_lease.Lease]:
        """Take in a request, or return what was granted for it when it is asked again."""
        sender = (holder.name, holder.incarnation)
        if asked.number <= self.newest_request.get(sender, 0):
            return [
                held
                for held in self.leases.values()
                if held.holder == holder and held.request == asked.number
            ]
        self.newest_request[sender] = asked.number
        self.waiting.add(request_queue.waiting(holder, asked, self.speeds, now))
        return []

    def withdraw(self, holder: peer.Peer, request: int) -> None:
        """Forget what still waits of a request."""
        self.waiting.remove(request_queue.Key(holder.name, holder.incarnation, request))

    def release(self, holder: peer.Peer, released: messages.Release, now: float) -> None:
        """End a lease and learn from it; an unknown one was released before."""
        key = slot_lease.Key(holder.name, holder.incarnation, released.request, released.index)
        held = self.leases.get(key)
        if held is None:
            if self.unready():
                self.released_early.add(key)
            return
        outcome = slot_lease.Outcome(released.outcome)
        server = self.servers[held.server]
        self._judge(server, held, outcome, now)
        server.is_leaving = server.is_leaving or released.is_leaving
        if outcome is slot_lease.Outcome.DONE:
            self.speeds.learn(held.task, held.server, held.run_time_s, released.run_s)
        self._end(held)
        if outcome in slot_lease.UNKNOWN_OUTCOMES:
            server.orphan(1, now)

    def expire(self, now: float) -> list[slot_lease.Lease]:
        """Orphan slots whose job is over by far, and return their leases."""
        margin = self.options.lease_margin_s
        ended = [held for held in self.leases.values() if held.deadline + margin <= now]
        self._orphan(ended, now)
        self.waiting.expire(now)
        return ended

    def holders(self) -> set[peer.Peer]:
        """Return everyone who has a lease or waits."""
        return {held.holder for held in self.leases.values()} | {
            item.holder for item in self.waiting
        }

    def lose(self, name: str, incarnation: int, now: float) -> list[slot_lease.Lease]:
        """Forget a dead holder's requests and orphan its slots; return their leases."""
        for item in [
            item
            for item in self.waiting
            if (item.holder.name, item.holder.incarnation) == (name, incarnation)
        ]:
            self.waiting.remove(item.key)
        ended = [
            held
            for held in self.leases.values()
            if (held.holder.name, held.holder.incarnation) == (name, incarnation)
        ]
        self._orphan(ended, now)
        self.newest_request.pop((name, incarnation), None)
        return ended

    def restore(self, holder: peer.Peer, slots: tuple[messages.HeldSlot, ...], now: float) -> None:
        """Take in the slots that a holder uses by grants of an earlier owner."""
        for slot in slots:
            server = self.servers.get(slot.server)
            if server is None or server.is_ready:
                continue
            expected_s = self.speeds.expected_s(slot.task, slot.server, slot.run_time_s)
            held = slot_lease.Lease(
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
            if held.key in self.released_early or held.key in self.leases:
                continue
            self._begin(server, held)
            # Until the server was asked, each slot without a lease counts as in use.
            server.orphans = max(0, server.orphans - 1)

    def unready(self) -> set[str]:
        """Return the servers whose slots in use are not yet known."""
        return {name for name, server in self.servers.items() if not server.is_ready}

    def make_ready(self, names: set[str]) -> None:
        """Trust the leases of servers: every member has told its own, or is dead."""
        for name in names & self.servers.keys():
            self.servers[name].is_ready = True
        if not self.unready():
            self.released_early.clear()

    def assign(self, now: float, is_barred) -> list[slot_lease.Lease]:
        """Grant free slots to waiting tasks and return the new leases.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_barred : callable
            ``is_barred(name)`` tells whether a server gets no new work for a reason that this
            pool can't know: the platform lists it as leaving, or its data centre is cut off.
        """
        granted: list[slot_lease.Lease] = []
        if not self.waiting:
            return granted
        usable = self.usable(now, is_barred)
        free = [server for server in usable if server.free() > 0]
        if not free:
            return granted
        sizes = {server.declared.name: server.declared.size for server in usable}
        horizon = placement.Horizon(sizes, lambda name: self._busy_for(name, now), self.speeds)
        nearest = self.waiting.ordered[0].holder.data_centre
        free.sort(key=lambda server: self._preference(server, nearest))
        for server in free:
            name = server.declared.name
            while server.free() > 0 and self.waiting and self._within_limit():
                choice = placement.choose(self.waiting, name, server.room(), horizon)
                if choice is None:
                    break
                granted.append(self._grant(server, choice, now))
                horizon.slots(name).append(choice.expected_s)
            # Only now may slower servers leave tasks to these slots: were all free slots counted
            # from the start, two equal servers would each leave the task to the other for ever.
            horizon.slots(name).extend([0.0] * server.free())
        return granted

    def report(self, now: float, is_barred) -> messages.PoolReport:
        """Return how busy the pool is, at most a moment ago."""
        return self.reporter.report(self, now, is_barred)

    def usable(self, now: float, is_barred) -> list[server_module.Server]:
        """Return the servers that may get new work."""
        return [
            server
            for name, server in self.servers.items()
            if not (
                server.is_leaving
                or server.is_removed
                or not server.is_ready
                or server.health.is_held(now)
                or is_barred(name)
            )
        ]

    def _preference(self, server, data_centre):
        """Return the order in which free slots are given out: fast first, then near."""
        slowness = round(self.speeds.slowness(server.declared.name), 1)
        return (slowness, server.declared.data_centre != data_centre)

    def _within_limit(self):
        if self.limit is None:
            return True
        orphans = sum(server.orphans for server in self.servers.values())
        return len(self.leases) + orphans < self.limit

    def _judge(self, server, held, outcome, now):
        """Let a server's health follow from what became of a task there."""
        # A job whose time was nearly over when its task was sent says nothing about the server;
        # in an overload many end so, and good servers would be ejected for it.
        if outcome is slot_lease.Outcome.LATE:
            if now - held.granted_at < self.options.late_factor * held.expected_s:
                return
            outcome = slot_lease.Outcome.LOST
        if outcome is slot_lease.Outcome.DONE:
            server.health.succeeded(server.declared.slots)
        elif outcome in (slot_lease.Outcome.FAILED, slot_lease.Outcome.LOST):
            ejected = sum(one.health.is_ejected(now) for one in self.servers.values())
            may_eject = ejected + 1 <= self.options.eject_share * len(self.servers)
            if server.health.failed(now, self.options, may_eject):
                event.log(events.SERVER_EJECTED, server=server.declared.name, pool=self.key)
        elif outcome in (slot_lease.Outcome.REFUSED, slot_lease.Outcome.UNREACHED):
            server.health.refused(now, self.options)

    def _busy_for(self, name, now):
        return [held.remaining_s(now) for held in self.servers[name].leases.values()]

    def _grant(self, server, choice, now):
        index = self.waiting.take(choice.item, choice.group)
        held = slot_lease.Lease(
            server.declared.name,
            choice.item.holder,
            choice.item.request,
            index,
            choice.group.task,
            choice.group.size,
            choice.group.run_time_s,
            now,
            choice.expected_s,
            choice.item.deadline,
        )
        self._begin(server, held)
        return held

    def _begin(self, server, held):
        self.leases[held.key] = held
        server.leases[held.key] = held

    def _end(self, held):
        del self.leases[held.key]
        server = self.servers[held.server]
        server.leases.pop(held.key, None)
        server.stalled.discard(held.key)
        server.checked.pop(held.key, None)

    def _orphan(self, ended, now):
        for held in ended:
            self._end(held)
            self.servers[held.server].orphan(1, now)
