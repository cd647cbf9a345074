"""Probes one member per period in randomised round-robin order, at constant cost per member."""

from collections.abc import Callable

import attrs

from rosedyke.membership import core, messages, metrics, record
from rosedyke.observe import metric
from rosedyke.wire import peer

PERIOD_JITTER = 0.1


class Prober:
    """Probes the members of the local data centre and suspects those that don't answer."""

    def __init__(self, shared_state: core.Core):
        self.core = shared_state
        self.options = shared_state.options
        self.probe_order: list[str] = []
        self.on_probe_failed: Callable[[record.Record], None] = lambda target: None

    def run(self) -> None:
        """Probe one member per period, each in a task of its own."""
        runtime = self.core.runtime
        while self.core.is_running:
            others = self.core.others()
            period = self.options.scaled_probe_period_s(len(others) + 1)
            runtime.sleep(period * (1 + PERIOD_JITTER * (2 * runtime.random() - 1)))
            target = self._next_target()
            if target is not None and self.core.is_running:
                runtime.spawn(self._probe, target)

    def reaches(self, target: record.Record) -> bool:
        """Return whether a member answers a direct or indirect probe."""
        return self.reaches_directly(target) or self._reaches_through_others(target)

    def reaches_directly(self, target: record.Record) -> bool:
        """Return whether a member answers a direct probe."""
        metric.count(metrics.PROBES)
        ping = messages.Ping(self._gossip_for(target))
        try:
            ack = self.core.request(target.peer, ping, self.options.probe_timeout_s)
        except peer.PeerGone:
            # Another incarnation answers at the address, which proves the death.
            self.core.put(target.as_dead())
            return True
        except peer.PeerRefused:
            return True  # alive, but rejects this instance or its protocol version
        except peer.PeerError:
            metric.count(metrics.PROBES_MISSED)
            return False
        self.core.merge(ack.gossip)
        return True

    def on_ping(self, sender: peer.Peer, ping: messages.Ping):
        """Answer a probe."""
        rejection = self.core.rejection(sender)
        if rejection is not None:
            return rejection
        self.core.merge(ping.gossip)
        return messages.Ack(self.core.gossip.take())

    def on_ping_request(self, sender: peer.Peer, request: messages.PingRequest):
        """Probe a member on behalf of a peer that can't reach it."""
        rejection = self.core.rejection(sender)
        if rejection is not None:
            return rejection
        self.core.merge(request.gossip)
        stored = self.core.table.find(request.target.name)
        if stored is None or stored.peer != request.target:
            return messages.Nack()
        if not self.reaches_directly(stored):
            return messages.Nack()
        return messages.Ack(self.core.gossip.take())

    def _next_target(self) -> record.Record | None:
        while True:
            if not self.probe_order:
                self.probe_order = self._shuffled([r.name for r in self.core.others()])
                if not self.probe_order:
                    return None
            found = self.core.table.find(self.probe_order.pop())
            if found is not None and not found.is_dead:
                return found

    def _shuffled(self, names):
        return sorted(names, key=lambda name: self.core.runtime.random())

    def _probe(self, target):
        started_at = self.core.runtime.now()
        own = self.core.own.peer
        if self.reaches(target):
            return
        # If this process was paused meanwhile, the answer may have arrived without being read,
        # so the timeout is no evidence against the target.
        stalled = self.core.last_stall_at is not None and self.core.last_stall_at >= started_at
        if stalled or self.core.own.peer != own:
            return
        current = self.core.table.find(target.name)
        if current == target and not current.is_suspected:
            self.on_probe_failed(current)

    def _gossip_for(self, target):
        """Return the next updates, including any suspicion of the target for it to refute."""
        updates = self.core.gossip.take()
        current = self.core.table.find(target.name)
        if current is not None and current.is_suspected and current not in updates.records:
            return attrs.evolve(updates, records=(current, *updates.records))
        return updates

    def _reaches_through_others(self, target):
        candidates = [r for r in self.core.others() if r.name != target.name]
        helpers = [
            self.core.table.find(name) for name in self._shuffled(r.name for r in candidates)
        ]
        helpers = helpers[: self.options.indirect_probes]
        if not helpers:
            return False
        done = self.core.runtime.signal()
        unanswered = {helper.name for helper in helpers}

        def ask(helper):
            reached = self._reaches_through(helper, target)
            unanswered.discard(helper.name)
            if reached or not unanswered:
                done.set(reached)

        for helper in helpers:
            self.core.runtime.spawn(ask, helper)
        done.wait(2 * self.options.probe_timeout_s + self.options.probe_timeout_s / 2)
        return bool(done.value)

    def _reaches_through(self, helper, target):
        request = messages.PingRequest(target.peer, self._gossip_for(target))
        try:
            reply = self.core.request(helper.peer, request, 2 * self.options.probe_timeout_s)
        except peer.PeerError:
            return False
        if isinstance(reply, messages.Nack):
            return False
        self.core.merge(reply.gossip)
        return True
