"""A pool: the backend servers of one service in one data centre, as their owner sees them.

The aggregate's rules:

- a server never has more leases and orphaned slots than slots;
- a lease ends when its holder releases it, or past its job's deadline, and never by guess;
- a task of a request is granted once at most.
"""

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import ejection, events, lease, message, placement, queue, settings, speed
from rosedyke.observe import event
from rosedyke.wire import peer


@attrs.define(eq=False)
class Server:
    """A backend server with what its owner knows about it.

    Attributes
    ----------
    declared : BackendServer
        What the operators said.
    leases : dict of Key to Lease
        Granted slots.
    is_leaving : bool
        The server itself said that it takes no new work.
    """

    declared: intent.BackendServer
    leases: dict[lease.Key, lease.Lease] = attrs.Factory(dict)
    health: ejection.Health = attrs.Factory(ejection.Health)
    is_leaving: bool = False

    def free(self) -> int:
        """Return how many slots may be granted."""
        usable = self.declared.slots
        if self.health.allowance is not None:
            usable = min(usable, self.health.allowance)
        return usable - len(self.leases)


class Pool:
    """Servers, leases and waiting requests of one pool.

    Parameters
    ----------
    key : str
        The pool's name.
    declared : tuple of BackendServer
        Its servers.
    speeds : SpeedTable
        The service's learned run times.
    options : DispatchSettings
        How to queue and place.
    """

    def __init__(
        self,
        key: str,
        declared: tuple[intent.BackendServer, ...],
        speeds: speed.SpeedTable,
        options: settings.DispatchSettings,
    ):
        self.key = key
        self.speeds = speeds
        self.options = options
        self.servers = {server.name: Server(server) for server in declared}
        self.leases: dict[lease.Key, lease.Lease] = {}
        slots = sum(server.slots for server in declared)
        self.waiting = queue.RequestQueue(slots, options.aging)

    def add(self, holder: peer.Peer, asked: message.SlotRequest, now: float) -> None:
        """Take in a request for slots."""
        self.waiting.add(queue.waiting(holder, asked, self.speeds, now))

    def withdraw(self, holder: peer.Peer, request: int) -> None:
        """Forget what still waits of a request."""
        self.waiting.remove(queue.Key(holder.name, holder.incarnation, request))

    def release(self, holder: peer.Peer, released: message.Release, now: float) -> None:
        """End a lease and learn from it; an unknown one was released before."""
        key = lease.Key(holder.name, holder.incarnation, released.request, released.index)
        held = self.leases.get(key)
        if held is None:
            return
        outcome = lease.Outcome(released.outcome)
        server = self.servers.get(held.server)
        if server is not None:
            self._judge(server, outcome, now)
        if outcome is lease.Outcome.DONE:
            self.speeds.learn(held.task, held.server, held.run_time_s, released.run_s)
        # After LOST the server may still run the task: the slot stays taken until the deadline.
        if outcome is not lease.Outcome.LOST:
            self._end(held)

    def expire(self, now: float) -> list[lease.Lease]:
        """End leases and requests whose job is over, and return the leases."""
        margin = self.options.lease_margin_s
        ended = [held for held in self.leases.values() if held.deadline + margin <= now]
        for held in ended:
            self._end(held)
        self.waiting.expire(now)
        return ended

    def assign(self, now: float, is_leaving) -> list[lease.Lease]:
        """Grant free slots to waiting tasks and return the new leases.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_leaving : callable
            ``is_leaving(name)`` tells whether the platform lists a server as leaving.
        """
        granted: list[lease.Lease] = []
        if not self.waiting:
            return granted
        usable = self._usable(now, is_leaving)
        free = [server for server in usable if server.free() > 0]
        if not free:
            return granted
        horizon = placement.Horizon(self._busy_for(usable, now), self.speeds)
        free.sort(key=lambda server: self.speeds.slowness(server.declared.name))
        for server in free:
            name = server.declared.name
            while server.free() > 0 and self.waiting:
                choice = placement.choose(self.waiting, name, server.declared.size, horizon)
                if choice is None:
                    break
                granted.append(self._grant(server, choice, now))
                horizon.free_in[name].append(choice.expected_s)
            # Only now may slower servers leave tasks to these slots: were all free slots counted
            # from the start, two equal servers would each leave the task to the other for ever.
            horizon.free_in[name].extend([0.0] * server.free())
        return granted

    def report(self, now: float, is_leaving) -> message.PoolReport:
        """Return how busy the pool is."""
        free = []
        rate = 0.0
        running_s = 0.0
        slots = 0
        for server in self._usable(now, is_leaving):
            slowness = self.speeds.slowness(server.declared.name)
            slots += server.declared.slots
            rate += server.declared.slots / slowness
            if server.free() > 0:
                free.append((slowness, server.free()))
            running_s += sum(h.remaining_s(now) / slowness for h in server.leases.values())
        free.sort()
        return message.PoolReport(tuple(free), self.waiting.work_s, running_s, rate, slots)

    def _usable(self, now, is_leaving):
        """Return the servers that may get new work."""
        return [
            server
            for name, server in self.servers.items()
            if not (server.is_leaving or server.health.is_held(now) or is_leaving(name))
        ]

    def _judge(self, server, outcome, now):
        """Let a server's health follow from what became of a task there."""
        if outcome is lease.Outcome.DONE:
            server.health.succeeded(server.declared.slots)
        elif outcome in (lease.Outcome.FAILED, lease.Outcome.LOST):
            ejected = sum(one.health.is_ejected(now) for one in self.servers.values())
            may_eject = ejected + 1 <= self.options.eject_share * len(self.servers)
            if server.health.failed(now, self.options, may_eject):
                event.log(events.SERVER_EJECTED, server=server.declared.name, pool=self.key)
        elif outcome in (lease.Outcome.REFUSED, lease.Outcome.UNREACHED):
            server.health.refused(now, self.options)
        elif outcome is lease.Outcome.LEAVING:
            server.is_leaving = True

    def _busy_for(self, usable, now):
        busy_for = {}
        for server in usable:
            held = server.leases.values()
            busy_for[server.declared.name] = [one.remaining_s(now) for one in held]
        return busy_for

    def _grant(self, server, choice, now):
        index = self.waiting.take(choice.item, choice.group)
        held = lease.Lease(
            server.declared.name,
            choice.item.holder,
            choice.item.request,
            index,
            choice.group.task,
            choice.group.run_time_s,
            now,
            choice.expected_s,
            choice.item.deadline,
        )
        self.leases[held.key] = held
        server.leases[held.key] = held
        return held

    def _end(self, held):
        del self.leases[held.key]
        server = self.servers.get(held.server)
        if server is not None:
            server.leases.pop(held.key, None)
