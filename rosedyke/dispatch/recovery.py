"""How a new owner takes a pool over without passing a server's limit.

It may grant only once it knows every slot in use:

1. it asks every member for the slots that it uses.  Who answers obeys no earlier owner any more,
   so the earlier owner's grants, however late, start nothing;
2. a member that does not answer is asked until it does or the membership declares it dead;
3. what dead members had running shows in the servers' own counts (see ``orphans``).

Ballots order the owners.  Were they left out, two instances that each believe to be the owner could
each get the answers of half the members last, and both would grant the same slots.
"""

from rosedyke.dispatch import messages, server_pool, settings, sharding, steps
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class Recovery:
    """One take-over of servers of one pool.

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
        The pool whose servers to take over.
    ballot : Ballot
        The first to try.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        owned: server_pool.ServerPool,
        ballot: messages.Ballot,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.owned = owned
        self.names = owned.unrecovered_servers()
        self.ballot = ballot
        self.replies: dict[peer.Peer, messages.RecoverReply] = {}
        self.requested: set[peer.Peer] = set()

    def run(self, is_current) -> bool:
        """Block until the servers may be used; false if ``is_wanted()`` turns false before."""
        step.reach(steps.POOL_RECOVERING, self.peers.own.name)
        while is_current():
            unanswered = [
                candidate for candidate in self._members() if candidate not in self.replies
            ]
            if not unanswered and self.membership.is_confirmed():
                self._wait_for_permits()
                self._restore_leases()
                return True
            for recipient in unanswered:
                if recipient not in self.requested:
                    self.requested.add(recipient)
                    self.runtime.spawn(self._request_slots, recipient, self.ballot)
            self.runtime.sleep(self.options.tick_s / 4)
        return False

    def _members(self) -> list[peer.Peer]:
        """Return everyone in reach who may use a slot: all that are not dead."""
        reach = sharding.reachable_data_centres(self.membership)
        return [
            candidate.peer
            for candidate in self.membership.view.members
            if candidate.state is not member.State.DEAD and candidate.data_centre in reach
        ]

    def _wait_for_permits(self):
        """Wait until an owner that is out of reach may no longer use these servers.

        It could not be told of the new ballot.  But no member here has given it a permit since it
        answered, so by the end of a permit's life, and of the grants on their way, it has stopped.
        """
        if self.membership.unreachable_data_centres():
            self.runtime.sleep(self.options.permit_s + self.options.settle_s)

    def _request_slots(self, recipient, ballot):
        message = messages.Recover(self.owned.key, ballot)
        try:
            reply = self.peers.request(recipient, message, self.options.request_timeout_s)
        except peer.PeerError:
            self.runtime.sleep(self.options.recover_retry_s)
            self.requested.discard(recipient)
            return
        if ballot != self.ballot:
            return  # asked under a ballot that was raised meanwhile
        if reply.newer is None:
            self.replies[recipient] = reply
            return
        # Someone obeys a newer ballot: start over above it, with everyone.  The random delay
        # keeps two instances that both believe to be the owner from outbidding each other for
        # as long as their views differ.
        self.runtime.sleep(self.options.recover_retry_s * self.runtime.random())
        if reply.newer.term >= self.ballot.term:
            own = self.peers.own
            self.ballot = messages.Ballot(reply.newer.term + 1, own.name, own.incarnation)
            self.replies.clear()
            self.requested.clear()

    def _restore_leases(self):
        now = self.runtime.now()
        for holder in self._members():
            if holder in self.replies:  # who died since it answered has only orphaned slots
                self.owned.restore_leases(holder, self.replies[holder].held, now)
        self.owned.make_ready(self.names)
