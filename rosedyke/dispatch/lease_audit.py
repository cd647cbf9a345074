"""Finds grants that never arrived.

A lost grant would keep its slot until the job's deadline, and its task would wait as long.  So the
owner asks the holders of leases that should have ended long ago whether they have them.
"""

from rosedyke.dispatch import messages, owned_pool, settings, slot_lease
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class Auditor:
    """Asks holders about old leases.

    Parameters
    ----------
    options : DispatchSettings
        When a lease is old.
    runtime : Runtime
        Time and tasks.
    peers : Peers
        The holders.
    """

    def __init__(self, options: settings.DispatchSettings, runtime: Runtime, peers: peer.Peers):
        self.options = options
        self.runtime = runtime
        self.peers = peers

    def audit(self, owned: owned_pool.Owned, now: float) -> bool:
        """Ask the holders of a pool's old leases; false if the last time was not long ago."""
        if now < owned.audited_at + self.options.audit_s:
            return False
        owned.audited_at = now
        by_holder: dict[peer.Peer, list[tuple[int, int]]] = {}
        for held in owned.pool.leases.values():
            if now - held.granted_at > max(self.options.audit_s, 3 * held.expected_s):
                by_holder.setdefault(held.holder, []).append((held.request, held.index))
        for holder, leases in by_holder.items():
            self.runtime.spawn(self._ask, owned, holder, tuple(leases))
        return True

    def _ask(self, owned, holder, leases):
        told = messages.Audit(owned.shard.key, owned.present_ballot(), leases)
        try:
            reply = self.peers.request(holder, told, self.options.request_timeout_s)
        except peer.PeerError:
            return  # asked again at the next audit; a dead holder shows in the membership
        for request, index in reply.missing:
            unused = messages.Release(request, index, slot_lease.Outcome.UNUSED.value)
            owned.pool.release(holder, unused, self.runtime.now())
