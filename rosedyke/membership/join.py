"""Joining: a member serves only when every live member of its data centre has acknowledged it.

The same announcements carry each later change of the own state, so ``is_confirmed`` says that
everyone's view holds the present one.
"""

import contextlib

from rosedyke.membership import core, events, member, messages, record, steps, synchronise
from rosedyke.observe import event, step
from rosedyke.wire import peer

UNCONFIRMED_TICK_S = 0.02
CONFIRMED_TICK_S = 1.0
SEED_RETRY_S = 0.2


class Joiner:
    """Announces the own state to the members of the own data centre until all have it."""

    def __init__(self, shared: core.Core, synchroniser: synchronise.Synchroniser):
        self.core = shared
        self.synchroniser = synchroniser
        # By name: the incarnation that acknowledged, and the counter of the own record it has.
        self.acknowledged: dict[str, tuple[int, int]] = {}
        self.asked: set[str] = set()
        self.missed: dict[str, int] = {}
        self.has_searched = False
        # The counter of the own state that everyone had acknowledged at one moment.
        self.confirmed_counter: int | None = None
        self.changed = shared.runtime.signal()
        shared.restart_hooks.append(self._restart)
        shared.subscribers.append(lambda old, new: self.changed.set())

    def run(self) -> None:
        """Search for members, then keep the announcements complete."""
        while self.core.is_running:
            if not self.has_searched:
                self._search()
            for target in self._missing():
                self._ask(target)
            self._advance()
            self._wait()

    def _wait(self):
        """Sleep a moment, or until the members change once all have acknowledged."""
        if not self.is_confirmed():
            self.core.runtime.sleep(UNCONFIRMED_TICK_S)
            return
        self.changed = self.core.runtime.signal()
        self.changed.wait(CONFIRMED_TICK_S)

    def is_confirmed(self) -> bool:
        """Return whether every member has acknowledged the present state."""
        if self.core.own.state is member.State.JOINING or self.core.own.is_dead:
            return False
        return not self._missing()

    def on_announce(self, sender: peer.Peer, announce: messages.Announce):
        """Take a member's state into the view, then acknowledge it."""
        rejection = self.core.rejection(announce.record.peer)
        if rejection is not None:
            return rejection
        self.core.put_all((announce.record,), is_spread=False)
        if announce.known_incarnation == self.core.own.peer.incarnation:
            about = announce.record.peer
            self._note(about.name, about.incarnation, announce.known_counter)
        step.reach(steps.JOIN_ACKNOWLEDGING, self.core.own.name)
        return messages.Acknowledged(self.core.table.of(self.core.data_centre))

    def on_forward(self, sender: peer.Peer, forward: messages.Forward):
        """Announce a member to another that it can't reach itself."""
        timeout = self.core.options.acknowledge_timeout_s
        try:
            return self.core.peers.request(forward.target, forward.announce, timeout)
        except peer.PeerError:
            return messages.Nack()

    def announce_departure(self, timeout_s: float) -> None:
        """Tell all members that this incarnation ends, and wait a bounded time for them."""
        targets = self.core.others()
        last_words = self.core.own.raised(member.State.DEAD)
        self.core.own = last_words
        waiting = {target.name for target in targets}
        step.reach(steps.LEAVE_ANNOUNCING, last_words.name)
        ended = self.core.runtime.signal()

        def tell(target):
            # Whoever misses this finds out by its probes.
            with contextlib.suppress(peer.PeerError):
                self.core.peers.request(target.peer, messages.Announce(last_words), timeout_s)
            waiting.discard(target.name)
            if not waiting:
                ended.set()

        for target in targets:
            self.core.runtime.spawn(tell, target)
        if targets:
            ended.wait(timeout_s)

    def _restart(self):
        self.acknowledged.clear()
        self.missed.clear()
        self.asked.clear()
        self.confirmed_counter = None
        self.has_searched = bool(self.core.others())

    def _search(self):
        """Ask the seeds for members until one answers or the time to wait is over."""
        runtime = self.core.runtime
        deadline = runtime.now() + self.core.options.join_alone_s
        while self.core.is_running:
            seeds = self.synchroniser.seed_addresses()
            if not seeds or self.synchroniser.sync_with_all(seeds):
                break
            if runtime.now() >= deadline:
                event.log(events.JOINING_ALONE, seeds=len(seeds))
                break
            runtime.sleep(SEED_RETRY_S)
        self.has_searched = True

    def _missing(self) -> list[record.Record]:
        """Return the members that have not acknowledged the present state."""
        missing = []
        for other in self.core.others():
            # A newcomer that appears once everyone has acknowledged the own state hears of it
            # from all whom it asks, and asks here too before it serves.  One that appeared
            # earlier may have asked its last question already: both would serve, confirmed,
            # without knowing each other.
            if other.state is member.State.JOINING and self._was_confirmed():
                continue
            incarnation, counter = self.acknowledged.get(other.name, (0, -1))
            if incarnation != other.peer.incarnation or counter < self.core.state_counter:
                missing.append(other)
        return missing

    def _advance(self):
        if self.core.own.state is member.State.JOINING and not self._missing():
            # A pause during a drain must not make the instance take new work again.
            is_leaving = self.core.is_leaving
            self.core.change_own(member.State.LEAVING if is_leaving else member.State.LIVE)
        if self.is_confirmed() and not self._was_confirmed():
            step.reach(steps.JOIN_CONFIRMED, self.core.own.name)
            if self.confirmed_counter is None:
                event.log(events.JOINED, name=self.core.own.name)
            self.confirmed_counter = self.core.state_counter

    def _was_confirmed(self):
        return self.confirmed_counter == self.core.state_counter

    def _ask(self, target):
        if target.name not in self.asked:
            self.asked.add(target.name)
            self.core.runtime.spawn(self._announce_to, target)

    def _announce_to(self, target):
        own = self.core.own
        announce = messages.Announce(own, target.peer.incarnation, target.counter)
        step.reach(steps.JOIN_ANNOUNCING, own.name)
        try:
            reply = self._request(target, announce)
        except peer.PeerGone:
            self.core.put(target.dead())
        except peer.PeerError:
            self.missed[target.name] = self.missed.get(target.name, 0) + 1
        else:
            if self.core.own.peer == own.peer:
                self.missed.pop(target.name, None)
                self.core.put_all(reply.records, is_spread=False)
                self._note(target.name, target.peer.incarnation, own.counter)
        finally:
            if self.core.own.peer == own.peer:
                self.asked.discard(target.name)

    def _request(self, target, announce):
        timeout = self.core.options.acknowledge_timeout_s
        helpers = [r for r in self.core.others() if r.name != target.name]
        if not self.missed.get(target.name) or not helpers:
            return self.core.request(target.peer, announce, timeout)
        # If only the path between the two is cut, the target is alive for everyone else and
        # never declared dead: without a detour this join would wait for ever.
        helper = self.core.pick(helpers)
        forward = messages.Forward(target.peer, announce)
        reply = self.core.request(helper.peer, forward, 2 * timeout)
        if not isinstance(reply, messages.Acknowledged):
            self.missed[target.name] = 0  # directly the next time
            raise peer.PeerTimeout(target.name)
        return reply

    def _note(self, name, incarnation, counter):
        known_incarnation, known_counter = self.acknowledged.get(name, (0, -1))
        if (incarnation, counter) > (known_incarnation, known_counter):
            self.acknowledged[name] = (incarnation, counter)
