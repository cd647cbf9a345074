"""Probes one member per period in randomised round-robin order, at constant cost per member."""

from collections.abc import Callable

import attrs

from rosedyke.membership import messages, metrics, protocol_state, record
from rosedyke.observe import metric
from rosedyke.wire import peer

PERIOD_JITTER = 0.1


class Prober:
    """Probes the members of the local data centre and suspects those that don't answer."""

    def __init__(self, shared_state: protocol_state.ProtocolState):
        self.protocol = shared_state
        self.options = shared_state.options
        self.probe_order: list[str] = []
        self.on_probe_failed: Callable[[record.Record], None] = lambda target: None

    def run(self) -> None:
        """Probe one member per period, each in a task of its own."""
        runtime = self.protocol.runtime
        while self.protocol.is_running:
            others = self.protocol.others()
            period = self.options.scaled_probe_period_s(len(others) + 1)
            runtime.sleep(period * (1 + PERIOD_JITTER * (2 * runtime.random() - 1)))
            target = self._next_target()
            if target is not None and self.protocol.is_running:
                runtime.spawn(self._probe, target)

    def reaches(self, target: record.Record) -> bool:
        """Return whether a member answers a direct or indirect probe."""
        return self.reaches_directly(target) or self._reaches_through_others(target)

    def reaches_directly(self, target: record.Record) -> bool:
        """Return whether a member answers a direct probe."""
        metric.count(metrics.PROBES)
        ping = messages.Ping(self._gossip_for(target))
        try:
            ack = self.protocol.request(target.peer, ping, self.options.probe_timeout_s)
        except peer.PeerGone:
            # Another incarnation answers at the address, which proves the death.
            self.protocol.put(target.as_dead())
            return True
        except peer.PeerRefused:
            return True  # alive, but rejects this instance or its protocol version
        except peer.PeerError:
            metric.count(metrics.PROBES_MISSED)
            return False
        self.protocol.merge(ack.gossip)
        return True

    def on_ping(self, sender: peer.Peer, ping: messages.Ping):
        """Answer a probe."""
        rejection = self.protocol.rejection(sender)
        if rejection is not None:
            return rejection
        self.protocol.merge(ping.gossip)
        return messages.Ack(self.protocol.gossip.take())

    def on_ping_request(self, sender: peer.Peer, request: messages.PingRequest):
        """Probe a member on behalf of a peer that can't reach it."""
        rejection = self.protocol.rejection(sender)
        if rejection is not None:
            return rejection
        self.protocol.merge(request.gossip)
        stored = self.protocol.table.find(request.target.name)
        if stored is None or stored.peer != request.target:
            return messages.Nack()
        if not self.reaches_directly(stored):
            return messages.Nack()
        return messages.Ack(self.protocol.gossip.take())

    def _next_target(self) -> record.Record | None:
        while True:
            if not self.probe_order:
                self.probe_order = self._shuffled([r.name for r in self.protocol.others()])
                if not self.probe_order:
                    return None
            found = self.protocol.table.find(self.probe_order.pop())
            if found is not None and not found.is_dead:
                return found

    def _shuffled(self, names):
        return sorted(names, key=lambda name: self.protocol.runtime.random())

    def _probe(self, target):
        started_at = self.protocol.runtime.now()
        own = self.protocol.own.peer
        if self.reaches(target):
            return
        # If this process was paused meanwhile, the answer may have arrived without being read,
        # so the timeout is no evidence against the target.
        stalled = (
            self.protocol.last_stall_at is not None and self.protocol.last_stall_at >= started_at
        )
        if stalled or self.protocol.own.peer != own:
            return
        current = self.protocol.table.find(target.name)
        if current == target and not current.is_suspected:
            self.on_probe_failed(current)

    def _gossip_for(self, target):
        """Return the next updates, including any suspicion of the target for it to refute."""
        updates = self.protocol.gossip.take()
        current = self.protocol.table.find(target.name)
        if current is not None and current.is_suspected and current not in updates.records:
            return attrs.evolve(updates, records=(current, *updates.records))
        return updates

    def _reaches_through_others(self, target):
        candidates = [r for r in self.protocol.others() if r.name != target.name]
        helpers = [
            self.protocol.table.find(name) for name in self._shuffled(r.name for r in candidates)
        ]
        helpers = helpers[: self.options.indirect_probes]
        if not helpers:
            return False
        done = self.protocol.runtime.signal()
        unanswered = {helper.name for helper in helpers}

        def ask(helper):
            reached = self._reaches_through(helper, target)
            unanswered.discard(helper.name)
            if reached or not unanswered:
                done.set(reached)

        for helper in helpers:
            self.protocol.runtime.spawn(ask, helper)
        done.wait(2 * self.options.probe_timeout_s + self.options.probe_timeout_s / 2)
        return bool(done.value)

    def _reaches_through(self, helper, target):
        request = messages.PingRequest(target.peer, self._gossip_for(target))
        try:
            reply = self.protocol.request(helper.peer, request, 2 * self.options.probe_timeout_s)
        except peer.PeerError:
            return False
        if isinstance(reply, messages.Nack):
            return False
        self.protocol.merge(reply.gossip)
        return True
