"""Detects grants that were lost on the way to their holder.

A lost grant would block its slot and its task until the job's deadline.  The owner therefore asks
the holders of overdue leases whether they received them.
"""

from rosedyke.dispatch import messages, owned_pool, settings, slot_lease
from rosedyke.runtime import Runtime
from rosedyke.wire import peer


class LeaseAuditor:
    """Audits overdue leases with their holders.

    Parameters
    ----------
    options : DispatchSettings
        Age at which a lease is audited.
    runtime : Runtime
        Clock and task scheduling.
    peers : Peers
        Sends the audits.
    """

    def __init__(self, options: settings.DispatchSettings, runtime: Runtime, peers: peer.Peers):
        self.options = options
        self.runtime = runtime
        self.peers = peers

    def audit(self, owned: owned_pool.OwnedPool, now: float) -> bool:
        """Audit a pool's overdue leases; false if the last audit was too recent."""
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
            return  # retried at the next audit; the membership detects dead holders
        for request_number, index in reply.missing:
            unused_release = messages.Release(
                request_number, index, slot_lease.Outcome.UNUSED.value
            )
            owned.pool.release(holder, unused_release, self.runtime.now())
