"""A pool together with what its owner needs to grant its slots."""

import attrs

from rosedyke.dispatch import messages, permits, recovery, server_pool, sharding
from rosedyke.wire import peer


@attrs.define(eq=False)
class OwnedPool:
    """A pool that this instance owns or takes over.

    Attributes
    ----------
    shard : Shard
        Its declaration.
    pool : Pool
        The aggregate.
    owner : Peer
        This instance in the incarnation that owns it.
    audited_at : float
        When holders were last asked for old grants.
    permits : Permits
        For the servers of other data centres.
    ballot : Ballot
        Under which it grants; raised while servers are taken over.
    takeover : Recovery or None
        The take-over in progress.
    """

    shard: sharding.Shard
    pool: server_pool.ServerPool
    owner: peer.Peer
    audited_at: float
    permits: permits.Permits
    ballot: messages.Ballot
    takeover: recovery.Recovery | None = None

    def current_ballot(self) -> messages.Ballot:
        """Return the newest ballot, which members may obey already during a take-over."""
        return self.ballot if self.takeover is None else self.takeover.ballot
