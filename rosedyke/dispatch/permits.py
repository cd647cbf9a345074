"""Permits to use the servers of other data centres, so that a cut can't make two owners of one.

When data centres are cut off from each other, each side notices at another moment.  Were that all,
the far side could take its servers over while the owner here still grants them.  So the owner asks
a member of each other data centre again and again, and uses the servers there only for a short
time after it asked.  A member that obeys another owner says no; so once a new owner there has heard
from every member, the last permit runs out within its life.
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
        How long one lasts.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The members.
    membership : Membership
        Who they are.
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
        self.until: dict[str, float] = {}
        self.asked_at: dict[str, float] = {}

    def allow(self, data_centre: str) -> bool:
        """Return whether the servers of a data centre may be granted now."""
        if data_centre == self.peers.own.data_centre:
            return True
        return self.runtime.now() < self.until.get(data_centre, float("-inf"))

    def renew(self, key: str, ballot: messages.Ballot, data_centres, on_answer) -> None:
        """Ask each other data centre whose permit is due; ``on_answer(reply)`` for each answer."""
        now = self.runtime.now()
        for data_centre in data_centres:
            due = self.asked_at.get(data_centre, float("-inf")) + self.options.permit_renewal_s
            if data_centre != self.peers.own.data_centre and now >= due:
                self.asked_at[data_centre] = now
                self.runtime.spawn(self._ask, key, ballot, data_centre, on_answer)

    def _ask(self, key, ballot, data_centre, on_answer):
        candidates = [
            one.peer
            for one in self.membership.view.members
            if one.data_centre == data_centre and one.state is not member.State.DEAD
        ]
        if not candidates:
            return
        chosen = candidates[int(self.runtime.random() * len(candidates))]
        metric.count(metrics.PERMITS)
        # From when it was asked, not from when the answer came: the answer may have been late.
        asked_at = self.runtime.now()
        try:
            reply = self.peers.request(
                chosen, messages.Permit(key, ballot), self.options.request_timeout_s
            )
        except peer.PeerError:
            return
        if reply.is_given:
            until = asked_at + self.options.permit_s
            self.until[data_centre] = max(until, self.until.get(data_centre, until))
        on_answer(reply)
