"""Joining: a member serves only once every live member of its data centre has acknowledged it.

Later changes of the local state are announced in the same way, so ``is_confirmed`` means that the
view of every member contains the current state.
"""

import contextlib

from rosedyke.membership import (
    anti_entropy,
    events,
    member,
    messages,
    protocol_state,
    record,
    steps,
)
from rosedyke.observe import event, step
from rosedyke.wire import peer

UNCONFIRMED_POLL_S = 0.02
CONFIRMED_POLL_S = 1.0
SEED_RETRY_S = 0.2


class Joiner:
    """Announces the local state to the members of the data centre until all acknowledge it."""

    def __init__(
        self, shared_state: protocol_state.ProtocolState, synchroniser: anti_entropy.Synchroniser
    ):
        self.protocol = shared_state
        self.synchroniser = synchroniser
        # By name: the acknowledging incarnation and the counter of the local record it has.
        self.acknowledged: dict[str, tuple[int, int]] = {}
        self.announcing: set[str] = set()
        self.failed_announcements: dict[str, int] = {}
        self.has_contacted_seeds = False
        # Counter of the latest local state that all members had acknowledged at the same time.
        self.confirmed_counter: int | None = None
        self.view_changed = shared_state.runtime.signal()
        shared_state.rejoin_hooks.append(self._reset)
        shared_state.subscribers.append(lambda old, new: self.view_changed.set())

    def run(self) -> None:
        """Contact the seeds, then announce the local state to members that lack it."""
        while self.protocol.is_running:
            if not self.has_contacted_seeds:
                self._contact_seeds()
            for target in self._unacknowledged():
                self._start_announcement(target)
            self._update_state()
            self._wait()

    def _wait(self):
        """Sleep until the next poll; once confirmed, also wake when the view changes."""
        if not self.is_confirmed():
            self.protocol.runtime.sleep(UNCONFIRMED_POLL_S)
            return
        self.view_changed = self.protocol.runtime.signal()
        self.view_changed.wait(CONFIRMED_POLL_S)

    def is_confirmed(self) -> bool:
        """Return whether every member has acknowledged the current state."""
        if self.protocol.own.state is member.State.JOINING or self.protocol.own.is_dead:
            return False
        return not self._unacknowledged()

    def on_announce(self, sender: peer.Peer, announce: messages.Announce):
        """Add a member's announced state to the view, then acknowledge it."""
        rejection = self.protocol.rejection(announce.record.peer)
        if rejection is not None:
            return rejection
        self.protocol.put_all((announce.record,), should_gossip=False)
        if announce.known_incarnation == self.protocol.own.peer.incarnation:
            announced = announce.record.peer
            self._record_acknowledgement(
                announced.name, announced.incarnation, announce.known_counter
            )
        step.reach(steps.JOIN_ACKNOWLEDGING, self.protocol.own.name)
        return messages.Acknowledged(self.protocol.table.in_data_centre(self.protocol.data_centre))

    def on_forward(self, sender: peer.Peer, forward: messages.Forward):
        """Forward an announcement to a member that the sender can't reach."""
        timeout = self.protocol.options.acknowledge_timeout_s
        try:
            return self.protocol.peers.request(forward.target, forward.announce, timeout)
        except peer.PeerError:
            return messages.Nack()

    def announce_departure(self, timeout_s: float) -> None:
        """Announce the end of this incarnation and wait for acknowledgements until the timeout."""
        targets = self.protocol.others()
        final_record = self.protocol.own.with_next_counter(member.State.DEAD)
        self.protocol.own = final_record
        unanswered = {target.name for target in targets}
        step.reach(steps.LEAVE_ANNOUNCING, final_record.name)
        done = self.protocol.runtime.signal()

        def notify(target):
            # A member that misses this detects the death by its probes.
            with contextlib.suppress(peer.PeerError):
                self.protocol.peers.request(target.peer, messages.Announce(final_record), timeout_s)
            unanswered.discard(target.name)
            if not unanswered:
                done.set()

        for target in targets:
            self.protocol.runtime.spawn(notify, target)
        if targets:
            done.wait(timeout_s)

    def _reset(self):
        self.acknowledged.clear()
        self.failed_announcements.clear()
        self.announcing.clear()
        self.confirmed_counter = None
        self.has_contacted_seeds = bool(self.protocol.others())

    def _contact_seeds(self):
        """Sync with the seeds until one answers or ``join_alone_s`` has passed."""
        runtime = self.protocol.runtime
        deadline = runtime.now() + self.protocol.options.join_alone_s
        while self.protocol.is_running:
            seeds = self.synchroniser.seed_addresses()
            if not seeds or self.synchroniser.sync_with_all(seeds):
                break
            if runtime.now() >= deadline:
                event.log(events.JOINING_ALONE, seeds=len(seeds))
                break
            runtime.sleep(SEED_RETRY_S)
        self.has_contacted_seeds = True

    def _unacknowledged(self) -> list[record.Record]:
        """Return the members that have not acknowledged the current state."""
        unacknowledged = []
        for other in self.protocol.others():
            # A newcomer that appears after this instance was confirmed learns of it from any
            # member and announces itself here before it serves.  One that appeared earlier may
            # already have all its acknowledgements; skipping it could leave both confirmed
            # without knowing each other.
            if other.state is member.State.JOINING and self._was_confirmed():
                continue
            incarnation, counter = self.acknowledged.get(other.name, (0, -1))
            if incarnation != other.peer.incarnation or counter < self.protocol.state_counter:
                unacknowledged.append(other)
        return unacknowledged

    def _update_state(self):
        if self.protocol.own.state is member.State.JOINING and not self._unacknowledged():
            # An instance that re-joins while draining must not accept new work again.
            is_leaving = self.protocol.is_leaving
            self.protocol.change_own(member.State.LEAVING if is_leaving else member.State.LIVE)
        if self.is_confirmed() and not self._was_confirmed():
            step.reach(steps.JOIN_CONFIRMED, self.protocol.own.name)
            if self.confirmed_counter is None:
                event.log(events.JOINED, name=self.protocol.own.name)
            self.confirmed_counter = self.protocol.state_counter

    def _was_confirmed(self):
        return self.confirmed_counter == self.protocol.state_counter

    def _start_announcement(self, target):
        if target.name not in self.announcing:
            self.announcing.add(target.name)
            self.protocol.runtime.spawn(self._announce_to, target)

    def _announce_to(self, target):
        own = self.protocol.own
        announce = messages.Announce(own, target.peer.incarnation, target.counter)
        step.reach(steps.JOIN_ANNOUNCING, own.name)
        try:
            reply = self._request(target, announce)
        except peer.PeerGone:
            self.protocol.put(target.as_dead())
        except peer.PeerError:
            self.failed_announcements[target.name] = (
                self.failed_announcements.get(target.name, 0) + 1
            )
        else:
            if self.protocol.own.peer == own.peer:
                self.failed_announcements.pop(target.name, None)
                self.protocol.put_all(reply.records, should_gossip=False)
                self._record_acknowledgement(target.name, target.peer.incarnation, own.counter)
        finally:
            if self.protocol.own.peer == own.peer:
                self.announcing.discard(target.name)

    def _request(self, target, announce):
        timeout = self.protocol.options.acknowledge_timeout_s
        helpers = [r for r in self.protocol.others() if r.name != target.name]
        if not self.failed_announcements.get(target.name) or not helpers:
            return self.protocol.request(target.peer, announce, timeout)
        # If only the path between the two fails, the target is never declared dead, as it
        # responds to all others; without forwarding, this join would never complete.
        helper = self.protocol.choose_random(helpers)
        forward = messages.Forward(target.peer, announce)
        reply = self.protocol.request(helper.peer, forward, 2 * timeout)
        if not isinstance(reply, messages.Acknowledged):
            self.failed_announcements[target.name] = 0  # send directly the next time
            raise peer.PeerTimeout(target.name)
        return reply

    def _record_acknowledgement(self, name, incarnation, counter):
        known_incarnation, known_counter = self.acknowledged.get(name, (0, -1))
        if (incarnation, counter) > (known_incarnation, known_counter):
            self.acknowledged[name] = (incarnation, counter)
