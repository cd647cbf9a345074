"""Permits to use the servers of other data centres, which prevent two owners in a partition.

The two sides of a network partition detect it at different times, so the remote side could take
over its servers while the owner here still grants them.  A permit is a lease of a data centre's
servers to the owner, renewed regularly by a member there and valid for a short time.  A member that
has accepted a newer ballot refuses it; so after a new owner there has received replies from every
member, the last permit expires within its validity.
"""

from rosedyke.dispatch import messages, metrics, settings
from rosedyke.membership import member
from rosedyke.membership import ports as membership_ports
from rosedyke.observe import metric
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class Permits:
    """The permits of one owned pool.

    Parameters
    ----------
    options : DispatchSettings
        Validity and renewal interval.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        The members.
    membership : Membership
        The members to ask.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        peers: peer.Peers,
        membership: membership_ports.Membership,
    ):
        self.options = options
        self.runtime = runtime
        self.peers = peers
        self.membership = membership
        self.valid_until: dict[str, float] = {}
        self.requested_at: dict[str, float] = {}

    def is_allowed(self, data_centre: str) -> bool:
        """Return whether the servers of a data centre may be granted now."""
        if data_centre == self.peers.own.data_centre:
            return True
        return self.runtime.now() < self.valid_until.get(data_centre, float("-inf"))

    def renew(self, key: str, ballot: messages.Ballot, data_centres, on_reply) -> None:
        """Renew the permits that are due; calls ``on_reply(reply)`` for each reply."""
        now = self.runtime.now()
        for data_centre in data_centres:
            due = self.requested_at.get(data_centre, float("-inf")) + self.options.permit_renewal_s
            if data_centre != self.peers.own.data_centre and now >= due:
                self.requested_at[data_centre] = now
                self.runtime.spawn(self._request_permit, key, ballot, data_centre, on_reply)

    def _request_permit(self, key, ballot, data_centre, on_reply):
        candidates = [
            candidate.peer
            for candidate in self.membership.view.members
            if candidate.data_centre == data_centre and candidate.state is not member.State.DEAD
        ]
        if not candidates:
            return
        target = candidates[int(self.runtime.random() * len(candidates))]
        metric.count(metrics.PERMITS)
        # Validity counts from the request, because the reply may be delayed.
        requested_at = self.runtime.now()
        try:
            reply = self.peers.request(
                target, messages.Permit(key, ballot), self.options.request_timeout_s
            )
        except peer.PeerError:
            return
        if reply.is_given:
            valid_until = requested_at + self.options.permit_s
            self.valid_until[data_centre] = max(
                valid_until, self.valid_until.get(data_centre, valid_until)
            )
        on_reply(reply)
