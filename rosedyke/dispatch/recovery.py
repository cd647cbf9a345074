"""How a new owner takes a pool over without passing a server's limit.

It may grant only once it knows every slot in use:

1. it asks every member for the slots that it uses.  Who answers obeys no earlier owner any more,
   so the earlier owner's grants, however late, start nothing;
2. a member that does not answer is asked until it does or the membership declares it dead;
3. what dead members had running shows in the servers' own counts (see ``orphans``).

Ballots order the owners.  Were they left out, two instances that each believe to be the owner could
each get the answers of half the members last, and both would grant the same slots.
"""

from rosedyke.dispatch import message, pool, settings, steps
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class Recovery:
    """One take-over of one pool.

    Parameters
    ----------
    options : DispatchSettings
        How often to ask again.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The members.
    membership : Membership
        Who they are.
    owned : Pool
        The pool to take over.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        owned: pool.Pool,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.owned = owned
        self.ballot = message.Ballot(1, peers.own.name, peers.own.incarnation)
        self.answered: dict[peer.Peer, message.RecoverReply] = {}
        self.asked: set[peer.Peer] = set()

    def run(self, is_wanted) -> bool:
        """Block until the pool may grant; false if ``is_wanted()`` turns false before."""
        step.reach(steps.POOL_RECOVERING, self.peers.own.name)
        while is_wanted():
            missing = [one for one in self._members() if one not in self.answered]
            if not missing and self.membership.is_confirmed():
                self._finish()
                return True
            for target in missing:
                if target not in self.asked:
                    self.asked.add(target)
                    self.runtime.spawn(self._ask, target, self.ballot)
            self.runtime.sleep(self.options.tick_s / 4)
        return False

    def _members(self) -> list[peer.Peer]:
        """Return everyone who may use a slot: all that are not dead, in all data centres."""
        return [
            one.peer for one in self.membership.view.members if one.state is not member.State.DEAD
        ]

    def _ask(self, target, ballot):
        told = message.Recover(self.owned.key, ballot)
        try:
            reply = self.peers.request(target, told, self.options.request_timeout_s)
        except peer.PeerError:
            self.runtime.sleep(self.options.recover_retry_s)
            self.asked.discard(target)
            return
        if ballot != self.ballot:
            return  # asked under a ballot that was raised meanwhile
        if reply.newer is None:
            self.answered[target] = reply
            return
        # Someone obeys a newer ballot: start over above it, with everyone.  The random delay
        # keeps two instances that both believe to be the owner from outbidding each other for
        # as long as their views differ.
        self.runtime.sleep(self.options.recover_retry_s * self.runtime.random())
        if reply.newer.term >= self.ballot.term:
            own = self.peers.own
            self.ballot = message.Ballot(reply.newer.term + 1, own.name, own.incarnation)
            self.answered.clear()
            self.asked.clear()

    def _finish(self):
        now = self.runtime.now()
        for holder in self._members():  # who died since it answered has only orphaned slots
            self.owned.restore(holder, self.answered[holder].held, now)
        self.owned.begin_granting()
