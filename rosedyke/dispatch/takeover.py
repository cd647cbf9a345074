"""Takeover of a pool by a new owner, without exceeding the slots of any server.

The new owner grants slots only once it knows every slot in use:

1. it asks every member for the slots that it uses.  A member that replies accepts no earlier
   ballot any more, so delayed grants of an earlier owner start nothing;
2. a member that does not reply is asked again until it does or the membership declares it dead;
3. tasks of dead members are found by probing the servers (see ``server_probe``).

Ballots order the owners.  Without them, two instances that both consider themselves the owner
could each be the last one to reach half of the members, and both would grant the same slots.
"""

from rosedyke.dispatch import messages, server_pool, settings, sharding, steps
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import step
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class Takeover:
    """One takeover of servers of one pool.

    Parameters
    ----------
    options : DispatchSettings
        Timeouts and retry intervals.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        The members.
    membership : Membership
        The members to ask.
    pool : ServerPool
        The pool whose servers are taken over.
    ballot : Ballot
        The first ballot to try; raised if a member has accepted a newer one.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
        pool: server_pool.ServerPool,
        ballot: messages.Ballot,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.pool = pool
        self.server_names = pool.unrecovered_servers()
        self.ballot = ballot
        self.replies: dict[peer.Peer, messages.RecoverReply] = {}
        self.requested: set[peer.Peer] = set()

    def run(self, is_current) -> bool:
        """Block until the servers may be used; return false if ``is_current()`` becomes false."""
        step.reach(steps.POOL_RECOVERING, self.peers.own.name)
        while is_current():
            unanswered = [
                candidate for candidate in self._members() if candidate not in self.replies
            ]
            if not unanswered and self.membership.is_confirmed():
                self._wait_for_permit_expiry()
                self._restore_leases()
                return True
            for recipient in unanswered:
                if recipient not in self.requested:
                    self.requested.add(recipient)
                    self.runtime.spawn(self._request_slots, recipient, self.ballot)
            self.runtime.sleep(self.options.tick_s / 4)
        return False

    def _members(self) -> list[peer.Peer]:
        """Return the reachable members that may use a slot: all that are not dead."""
        reachable = sharding.reachable_data_centres(self.membership)
        return [
            candidate.peer
            for candidate in self.membership.view.members
            if candidate.state is not member.State.DEAD and candidate.data_centre in reachable
        ]

    def _wait_for_permit_expiry(self):
        """Wait until an unreachable owner may no longer use these servers.

        It could not be informed of the new ballot.  But no member that has replied renews its
        permit, so it stops after a permit's validity, and its last grants are stale after
        ``settle_s``.
        """
        if self.membership.unreachable_data_centres():
            self.runtime.sleep(self.options.permit_s + self.options.settle_s)

    def _request_slots(self, recipient, ballot):
        message = messages.Recover(self.pool.key, ballot)
        try:
            reply = self.peers.request(recipient, message, self.options.request_timeout_s)
        except peer.PeerError:
            self.runtime.sleep(self.options.recover_retry_s)
            self.requested.discard(recipient)
            return
        if ballot != self.ballot:
            return  # the ballot was raised meanwhile
        if reply.newer is None:
            self.replies[recipient] = reply
            return
        # A member has accepted a newer ballot: restart with a higher one.  The random delay
        # prevents a livelock between two instances that both consider themselves the owner.
        self.runtime.sleep(self.options.recover_retry_s * self.runtime.random())
        if reply.newer.term >= self.ballot.term:
            own = self.peers.own
            self.ballot = messages.Ballot(reply.newer.term + 1, own.name, own.incarnation)
            self.replies.clear()
            self.requested.clear()

    def _restore_leases(self):
        now = self.runtime.now()
        for holder in self._members():
            if holder in self.replies:  # slots of members that died since are orphaned
                self.pool.restore_leases(holder, self.replies[holder].held, now)
        self.pool.mark_recovered(self.server_names)
