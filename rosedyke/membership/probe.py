"""Probes: each period one member, in random round-robin order, so the cost stays constant."""

from collections.abc import Callable

import attrs

from rosedyke.membership import core, messages, metrics, record
from rosedyke.observe import metric
from rosedyke.wire import peer

JITTER = 0.1


class Prober:
    """Probes the members of the own data centre and suspects those that don't answer."""

    def __init__(self, shared: core.Core):
        self.core = shared
        self.options = shared.options
        self.ring: list[str] = []
        self.on_missed: Callable[[record.Record], None] = lambda missed: None

    def run(self) -> None:
        """Probe one member each period, each in a task of its own."""
        runtime = self.core.runtime
        while self.core.is_running:
            others = self.core.others()
            period = self.options.period_s(len(others) + 1)
            runtime.sleep(period * (1 + JITTER * (2 * runtime.random() - 1)))
            target = self._next_target()
            if target is not None and self.core.is_running:
                runtime.spawn(self._check, target)

    def reaches(self, target: record.Record) -> bool:
        """Return whether a member answers, directly or through others."""
        return self.reaches_directly(target) or self._reaches_through_others(target)

    def reaches_directly(self, target: record.Record) -> bool:
        """Return whether a member answers a probe of this instance."""
        metric.count(metrics.PROBES)
        ping = messages.Ping(self._gossip_for(target))
        try:
            ack = self.core.request(target.peer, ping, self.options.probe_timeout_s)
        except peer.PeerGone:
            # Proof, not suspicion: another incarnation answers at the address.
            self.core.put(target.dead())
            return True
        except peer.PeerRefused:
            return True  # alive, though of another version or another opinion
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
        """Probe a member for a peer that can't reach it."""
        rejection = self.core.rejection(sender)
        if rejection is not None:
            return rejection
        self.core.merge(request.gossip)
        known = self.core.table.find(request.target.name)
        if known is None or known.peer != request.target:
            return messages.Nack()
        if not self.reaches_directly(known):
            return messages.Nack()
        return messages.Ack(self.core.gossip.take())

    def _next_target(self) -> record.Record | None:
        while True:
            if not self.ring:
                self.ring = self._shuffled([r.name for r in self.core.others()])
                if not self.ring:
                    return None
            found = self.core.table.find(self.ring.pop())
            if found is not None and not found.is_dead:
                return found

    def _shuffled(self, names):
        return sorted(names, key=lambda name: self.core.runtime.random())

    def _check(self, target):
        started = self.core.runtime.now()
        own = self.core.own.peer
        if self.reaches(target):
            return
        # If the own loop stood still meanwhile, the answer may be here unread: suspecting would
        # blame the target for the own slowness.
        stalled = self.core.last_stall is not None and self.core.last_stall >= started
        if stalled or self.core.own.peer != own:
            return
        known = self.core.table.find(target.name)
        if known == target and not known.is_suspected:
            self.on_missed(known)

    def _gossip_for(self, target):
        """Return the next updates, always with the target's suspicion so that it can refute."""
        chosen = self.core.gossip.take()
        known = self.core.table.find(target.name)
        if known is not None and known.is_suspected and known not in chosen.records:
            return attrs.evolve(chosen, records=(known, *chosen.records))
        return chosen

    def _reaches_through_others(self, target):
        candidates = [r for r in self.core.others() if r.name != target.name]
        helpers = [
            self.core.table.find(name) for name in self._shuffled(r.name for r in candidates)
        ]
        helpers = helpers[: self.options.indirect_probes]
        if not helpers:
            return False
        ended = self.core.runtime.signal()
        waiting = {helper.name for helper in helpers}

        def ask(helper):
            reached = self._reaches_through(helper, target)
            waiting.discard(helper.name)
            if reached or not waiting:
                ended.set(reached)

        for helper in helpers:
            self.core.runtime.spawn(ask, helper)
        ended.wait(2 * self.options.probe_timeout_s + self.options.probe_timeout_s / 2)
        return bool(ended.value)

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
