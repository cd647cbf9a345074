"""State that the owner of a pool keeps beside the pool itself."""

import attrs

from rosedyke.dispatch import messages, permits, server_pool, sharding, takeover
from rosedyke.wire import peer


@attrs.define(eq=False)
class OwnedPool:
    """A pool that this instance owns or is taking over.

    Attributes
    ----------
    shard : Shard
        Its servers by the configuration.
    pool : ServerPool
        The aggregate.
    owner : Peer
        The incarnation of this instance that owns it.
    audited_at : float
        Monotonic seconds of the last lease audit.
    permits : Permits
        Permits for the servers of other data centres.
    ballot : Ballot
        Ballot of its grants; raised by takeovers.
    active_takeover : Takeover or None
        The takeover in progress.
    """

    shard: sharding.Shard
    pool: server_pool.ServerPool
    owner: peer.Peer
    audited_at: float
    permits: permits.Permits
    ballot: messages.Ballot
    active_takeover: takeover.Takeover | None = None

    def current_ballot(self) -> messages.Ballot:
        """Return the newest ballot, which members may have accepted already during a takeover."""
        return self.ballot if self.active_takeover is None else self.active_takeover.ballot
