"""Whether the own instance may be the one that is cut off, before it calls others dead.

An instance that loses everyone can't tell a cut from the deaths of all others.  Were it to
declare them dead, it would be alone in its own view: it would claim jobs alone, take over slots,
and the others, which declared it dead in turn, would run the same tasks again.

- Deaths are declared by who still hears a majority of its data centre's members.  Two parts of a
  data centre can't both have one.
- Without a majority, say as the survivor of two, members of other data centres decide, if they
  are reached from here and can't reach the suspect either.  More than half of the other data
  centres have to say so, or half with the first of them, so that two parts can't both find them.
- Who has neither keeps the suspects as members and is isolated: it starts nothing new, until it
  hears one of them or finds the witnesses.

An isolated instance stops before its peers act on its death.  After a cut at the time t, none of
its requests begun after t is answered, so it is isolated at ``t + isolation_s``.  A peer's probe
that misses was begun after t less the delay of one message; the death follows at least
``probe_timeout_s + suspicion_s`` after that.  The settings keep the first below the second.
"""

import attrs

from rosedyke.membership import core, events, messages, probe, record
from rosedyke.observe import event
from rosedyke.wire import peer


@attrs.frozen
class Testimony:
    """What the witnesses of the other data centres said.

    Attributes
    ----------
    asked : tuple of str
        The other data centres, in name order.
    missing : set of str
        Those of them that can't reach the suspect.
    """

    asked: tuple[str, ...]
    missing: frozenset[str]

    def is_enough(self) -> bool:
        """Return whether no other part of the data centre can have as much testimony."""
        if 2 * len(self.missing) != len(self.asked):
            return 2 * len(self.missing) > len(self.asked)
        return bool(self.asked) and self.asked[0] in self.missing


class Isolation:
    """Compares what is heard of the own data centre with what it should be."""

    def __init__(self, shared: core.Core, prober: probe.Prober):
        self.core = shared
        self.prober = prober
        self.options = shared.options
        # Suspects that were not declared dead for want of evidence.
        self.withheld: set[tuple[str, int]] = set()
        self.was_isolated = False
        shared.is_isolated = self.is_isolated
        shared.restart_hooks.append(self.withheld.clear)

    def is_isolated(self) -> bool:
        """Return whether this instance may be the one that is cut off."""
        present = self.is_lone() or (bool(self.withheld) and not self.has_majority())
        if present != self.was_isolated:
            self.was_isolated = present
            event.log(events.ISOLATED if present else events.ISOLATION_ENDED)
        return present

    def is_lone(self) -> bool:
        """Return whether no other member has answered for a while.

        Only answers to own requests count: a path that is cut in one direction still brings the
        others' probes.
        """
        if not self.core.others():
            return False
        return self.core.runtime.now() - self.core.answered_at > self.options.isolation_s

    def has_majority(self) -> bool:
        """Return whether more than half of the members are heard, the own one included."""
        others = self.core.others()
        heard = 1 + sum(not other.is_suspected for other in others)
        return 2 * heard > 1 + len(others)

    def may_declare_dead(self, suspected: record.Record) -> bool:
        """Return whether there is evidence that the suspect is gone and not the own instance."""
        key = (suspected.name, suspected.peer.incarnation)
        is_proved = self.has_majority() and not self.is_lone()
        if is_proved or self.ask_witnesses(suspected.peer).is_enough():
            self.withheld.discard(key)
            return True
        self.withheld.add(key)
        return False

    def heard_of(self, new: record.Record) -> None:
        """Forget a suspect that was heard or is known to be dead."""
        if new.is_dead or not new.is_suspected:
            self.withheld.discard((new.name, new.peer.incarnation))

    def ask_witnesses(self, target: peer.Peer) -> Testimony:
        """Ask one member of every other data centre whether it reaches a suspect."""
        alive = [r for r in self.core.table.records.values() if not r.is_dead]
        centres = sorted({r.peer.data_centre for r in alive} - {self.core.data_centre})
        missing: set[str] = set()
        waiting = set(centres)
        ended = self.core.runtime.signal()

        def ask(centre):
            if self._is_missed_by(centre, target):
                missing.add(centre)
            waiting.discard(centre)
            if not waiting:
                ended.set()

        for centre in centres:
            self.core.runtime.spawn(ask, centre)
        if centres:
            ended.wait(self._witness_timeout_s() + self.options.probe_timeout_s)
        return Testimony(tuple(centres), frozenset(missing))

    def on_witness(self, sender: peer.Peer, request: messages.Witness) -> messages.Testified:
        """Say whether a member of another data centre is reached from here."""
        if self.is_isolated():
            return messages.Testified(is_missed=False)
        target = record.Record(request.target, self.core.own.state)
        # Twice, since one lost message is no evidence.
        is_reached = self.prober.reaches_directly(target) or self.prober.reaches_directly(target)
        return messages.Testified(is_missed=not is_reached)

    def _is_missed_by(self, centre, target):
        witness = self.core.pick(self.core.table.alive(centre))
        try:
            reply = self.core.request(
                witness.peer, messages.Witness(target), self._witness_timeout_s()
            )
        except peer.PeerError:
            return False
        return reply.is_missed

    def _witness_timeout_s(self):
        return 3 * self.options.probe_timeout_s
