"""Detects that this instance may be isolated, and decides when it may declare members dead.

An instance that no other member answers can't distinguish its own isolation from the death of all
others.  If it declared them dead it would claim jobs alone and take over slots, while the others,
which declare it dead, run the same tasks again.

- Deaths are declared by instances that receive answers from a majority of the members of their
  data centre.  Two partitions of a data centre can't both have a majority.
- Without a majority, for example as the survivor of two, an instance asks witnesses: members of
  other data centres that it reaches and that can't reach the suspect.  It needs the votes of more
  than half of the other data centres, or of half including the next one in name order (the first
  after the last), so that two partitions can't both have a quorum.  The order is a cycle: an
  isolated witness has no vote, so two data centres that break each other's ties and lose an
  instance each at the same time would wait for each other for ever.
- With neither, the instance keeps the suspects as members and is isolated: it starts nothing new
  until a suspect answers or the witnesses form a quorum.

An isolated instance stops before its peers act on its death.  After a partition at time t, none
of its requests sent after t is answered, so it is isolated at ``t + isolation_s``.  A peer's probe
that fails was sent after t less the delay of one message; the death follows at least
``probe_timeout_s + suspicion_s`` after that.  The settings keep the first below the second.

An instance that was alone in its data centre is isolated from the moment the first other member
appears until that one answers, since its last answer may be any time ago: the newcomer may have
suspected it long before it learned of the newcomer.  It probes the newcomer at once, and callers
wait for the outcome (``is_first_answer_due``), so that an ordinary join refuses no job.
"""

import attrs

from rosedyke.membership import events, member, messages, probe, protocol_state, record
from rosedyke.observe import event
from rosedyke.wire import peer


@attrs.frozen
class WitnessVotes:
    """Votes of witnesses in other data centres on whether a suspect is dead.

    Attributes
    ----------
    own : str
        The data centre of the suspect.
    data_centres : tuple of str
        The data centres asked, in name order.
    unreachable_from : set of str
        The data centres whose witness can't reach the suspect.
    """

    own: str
    data_centres: tuple[str, ...]
    unreachable_from: frozenset[str]

    def is_quorum(self) -> bool:
        """Return whether no other partition of the data centre can have as many votes."""
        if 2 * len(self.unreachable_from) != len(self.data_centres):
            return 2 * len(self.unreachable_from) > len(self.data_centres)
        return bool(self.data_centres) and self.tie_breaker() in self.unreachable_from

    def tie_breaker(self) -> str:
        """Return the data centre whose vote decides between two halves."""
        following = (name for name in self.data_centres if name > self.own)
        return next(following, self.data_centres[0])


class Isolation:
    """Tracks answers from the local data centre and suspects without evidence of their death."""

    def __init__(self, shared_state: protocol_state.ProtocolState, prober: probe.Prober):
        self.protocol = shared_state
        self.prober = prober
        self.options = shared_state.options
        # Name and incarnation of suspects not declared dead for lack of evidence.
        self.unproven_suspects: set[tuple[str, int]] = set()
        self.was_isolated = False
        # Time at which the first other member of the data centre appeared.
        self.accompanied_since = float("-inf")
        shared_state.subscribers.append(self._on_view)
        shared_state.is_isolated = self.is_isolated
        shared_state.rejoin_hooks.append(self.unproven_suspects.clear)

    def is_isolated(self) -> bool:
        """Return whether this instance may be isolated from its data centre."""
        isolated = self.is_unanswered() or (
            bool(self.unproven_suspects) and not self.has_majority()
        )
        if isolated != self.was_isolated:
            self.was_isolated = isolated
            event.log(events.ISOLATED if isolated else events.ISOLATION_ENDED)
        return isolated

    def is_unanswered(self) -> bool:
        """Return whether no other member has answered for ``isolation_s``.

        Only answers to this instance's requests count: if one direction of a path fails, probes
        from others may still arrive.
        """
        if not self.protocol.others():
            return False
        return (
            self.protocol.runtime.now() - self.protocol.last_answered_at > self.options.isolation_s
        )

    def is_first_answer_due(self) -> bool:
        """Return whether the first other member appeared just now and has not answered yet."""
        waited_s = self.protocol.runtime.now() - self.accompanied_since
        return waited_s <= self.options.isolation_s and self.is_unanswered()

    def has_majority(self) -> bool:
        """Return whether more than half of the members, this one included, are not suspected."""
        others = self.protocol.others()
        responding = 1 + sum(not other.is_suspected for other in others)
        return 2 * responding > 1 + len(others)

    def may_declare_dead(self, suspected: record.Record) -> bool:
        """Return whether there is evidence that the suspect, not this instance, is at fault."""
        key = (suspected.name, suspected.peer.incarnation)
        if self.has_majority() and not self.is_unanswered():
            self.unproven_suspects.discard(key)
            return True
        votes = self.ask_witnesses(suspected.peer)
        if votes.is_quorum():
            self.unproven_suspects.discard(key)
            return True
        if key not in self.unproven_suspects:
            self.unproven_suspects.add(key)
            event.log(
                events.DEATH_WITHHELD,
                name=suspected.name,
                asked=",".join(votes.data_centres),
                confirmed=",".join(sorted(votes.unreachable_from)),
            )
        return False

    def discard_resolved(self, new_record: record.Record) -> None:
        """Discard a suspect that has refuted the suspicion or is known to be dead."""
        if new_record.is_dead or not new_record.is_suspected:
            self.unproven_suspects.discard((new_record.name, new_record.peer.incarnation))

    def ask_witnesses(self, target: peer.Peer) -> WitnessVotes:
        """Ask a witness in each other data centre whether it can reach a suspect."""
        alive = [r for r in self.protocol.table.records.values() if not r.is_dead]
        remote_data_centres = sorted(
            {r.peer.data_centre for r in alive} - {self.protocol.data_centre}
        )
        unreachable_from: set[str] = set()
        unanswered = set(remote_data_centres)
        done = self.protocol.runtime.signal()

        def ask(remote):
            if self._is_unreachable_from(remote, target):
                unreachable_from.add(remote)
            unanswered.discard(remote)
            if not unanswered:
                done.set()

        for remote in remote_data_centres:
            self.protocol.runtime.spawn(ask, remote)
        if remote_data_centres:
            done.wait(self._witness_timeout_s() + self.options.probe_timeout_s)
        return WitnessVotes(
            self.protocol.data_centre, tuple(remote_data_centres), frozenset(unreachable_from)
        )

    def on_witness(
        self, sender: peer.Peer, request: messages.WitnessRequest
    ) -> messages.WitnessReply:
        """Report whether a member of another data centre can be reached from here."""
        if self.is_isolated():
            return messages.WitnessReply(is_missed=False)
        target = record.Record(request.target, self.protocol.own.state)
        # A second probe, since a single lost message is no evidence.
        is_reached = self.prober.reaches_directly(target) or self.prober.reaches_directly(target)
        return messages.WitnessReply(is_missed=not is_reached)

    def _on_view(self, old: member.View, new: member.View) -> None:
        if self._has_others(new) and not self._has_others(old):
            self.accompanied_since = self.protocol.runtime.now()
            self.protocol.runtime.spawn(self._probe_first)

    def _has_others(self, view: member.View) -> bool:
        return any(
            other.data_centre == self.protocol.data_centre
            and other.state is not member.State.DEAD
            and other.name != self.protocol.own.name
            for other in view.members
        )

    def _probe_first(self):
        # A lost probe is no evidence against the newcomer: the regular ones decide.
        others = self.protocol.others()
        if others:
            self.prober.reaches_directly(others[0])

    def _is_unreachable_from(self, data_centre, target):
        witness = self.protocol.choose_random(self.protocol.table.alive(data_centre))
        try:
            reply = self.protocol.request(
                witness.peer, messages.WitnessRequest(target), self._witness_timeout_s()
            )
        except peer.PeerError:
            return False
        return reply.is_missed

    def _witness_timeout_s(self):
        return 3 * self.options.probe_timeout_s
