"""Finds grants that never arrived.

A lost grant would keep its slot until the job's deadline, and its task would wait as long.  So the
owner asks the holders of leases that should have ended long ago whether they have them.
"""

from rosedyke.dispatch import messages, owned_pool, settings, slot_lease
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class LeaseAuditor:
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

    def audit(self, owned: owned_pool.OwnedPool, now: float) -> bool:
        """Ask the holders of a pool's old leases; false if the last time was not long ago."""
        if now < owned.audited_at + self.options.audit_s:
            return False
        owned.audited_at = now
        by_holder: dict[peer.Peer, list[tuple[int, int]]] = {}
        for lease in owned.pool.leases.values():
            if now - lease.granted_at > max(self.options.audit_s, 3 * lease.expected_s):
                by_holder.setdefault(lease.holder, []).append((lease.request, lease.index))
        for holder, leases in by_holder.items():
            self.runtime.spawn(self._audit_holder, owned, holder, tuple(leases))
        return True

    def _audit_holder(self, owned, holder, leases):
        audit = messages.Audit(owned.shard.key, owned.current_ballot(), leases)
        try:
            reply = self.peers.request(holder, audit, self.options.request_timeout_s)
        except peer.PeerError:
            return  # asked again at the next audit; a dead holder shows in the membership
        for request_number, index in reply.missing:
            unused_release = messages.Release(
                request_number, index, slot_lease.Outcome.UNUSED.value
            )
            owned.pool.release(holder, unused_release, self.runtime.now())
