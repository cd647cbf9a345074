"""Probes backend servers for their running tasks, to free orphaned and stalled slots.

A slot is orphaned when its holder died, when a task's reply was lost, or when a new owner cannot
know what a dead instance was running there.  Waiting for the job's deadline would leave the slot
idle for up to a minute; reusing it at once could overload the server.  The server's own count of
running tasks resolves this quickly.
"""

from rosedyke.dispatch import metrics, ports, server_pool, server_state, settings
from rosedyke.observe import metric
from rosedyke.runtime import Runtime


class ServerProber:
    """Probes servers with orphaned slots or overdue leases.

    Parameters
    ----------
    options : DispatchSettings
        Intervals and timeouts.
    runtime : Runtime
        Clock and task scheduling.
    gateway : BackendGateway
        Sends the probes.
    """

    def __init__(
        self,
        options: settings.DispatchSettings,
        runtime: Runtime,
        gateway: ports.BackendGateway,
    ):
        self.options = options
        self.runtime = runtime
        self.gateway = gateway
        self.probing: set[tuple[str, str]] = set()

    def probe_orphans(self, pool: server_pool.ServerPool, is_current, on_slots_freed) -> None:
        """Start to probe each server that has orphaned slots or reported that it is leaving.

        Parameters
        ----------
        pool : ServerPool
            The pool.
        is_current : callable
            Returns whether this instance still owns the pool.
        on_slots_freed : callable
            Called when slots become free.
        """
        for name, server in pool.servers.items():
            if needs_probe(server) and (pool.key, name) not in self.probing:
                self.probing.add((pool.key, name))
                self.runtime.spawn(
                    self._probe_until_reconciled, pool.key, server, is_current, on_slots_freed
                )

    def _probe_until_reconciled(self, key, server, is_current, on_slots_freed):
        wait_s = self.options.probe_s
        try:
            while is_current() and needs_probe(server):
                free_before = server.free_slots()
                self._probe(server)
                if server.free_slots() > free_before:
                    on_slots_freed()
                    wait_s = self.options.probe_s
                if needs_probe(server):
                    self.runtime.sleep(wait_s * (0.75 + self.runtime.random() / 2))
                    wait_s = min(2 * wait_s, self.options.probe_limit_s)
        finally:
            self.probing.discard((key, server.declared.name))

    def check_overdue(self, server: server_state.ServerState, now: float, on_stalled) -> None:
        """Probe a server with overdue leases for whether it still runs their tasks.

        Tasks on half-open connections never get a reply and would occupy their slots until the
        deadlines of their jobs; if many connections fail at once, nearly every slot is blocked.

        Parameters
        ----------
        server : ServerState
            The server.
        now : float
            Monotonic seconds.
        on_stalled : callable
            ``on_stalled(leases)`` is called with the leases whose task the server does not run.
        """
        name = server.declared.name
        if not server.overdue_leases(now, self.options.audit_s):
            return
        if ("overdue", name) not in self.probing:
            self.probing.add(("overdue", name))
            self.runtime.spawn(self._check_overdue, server, on_stalled)

    def _check_overdue(self, server, on_stalled):
        try:
            stalled = self._find_stalled(server)
            if stalled:
                on_stalled(stalled)
        finally:
            self.probing.discard(("overdue", server.declared.name))

    def _find_stalled(self, server):
        stalled_before = set(server.stalled)
        probed_at = self.runtime.now()
        reached = {
            key
            for key, lease in server.leases.items()
            if probed_at - lease.granted_at >= self.options.started_s
        }
        try:
            reply = self.gateway.probe(server.declared, self.options.probe_timeout_s)
        except ports.NotStarted:
            return []
        metric.count(metrics.PROBES)
        if reply.running is None:
            return []
        # Waits for releases in transit of tasks that had already ended.
        self.runtime.sleep(self.options.started_s)
        overdue = server.overdue_leases(probed_at, self.options.audit_s)
        server.mark_stalled(reply.running, reached, overdue, self.runtime.now())
        return [server.leases[key] for key in server.stalled - stalled_before]

    def _probe(self, server):
        # The server does not count a task that has not reached it yet, so the lease of such a task
        # would hide an orphaned one.  Grants are suspended until every task has reached the server.
        server.is_probing = True
        try:
            if server.leases:
                self.runtime.sleep(self.options.started_s)
            probed_at = self.runtime.now()
            reached = server.leases.keys() - server.stalled
            reply = self.gateway.probe(server.declared, self.options.probe_timeout_s)
        except ports.NotStarted:
            return
        finally:
            server.is_probing = False
        metric.count(metrics.PROBES)
        server.is_leaving = reply.is_leaving
        if reply.running is None:
            server.orphans = 0  # unknown; the server refuses tasks that exceed its slots
            return
        server.reconcile_orphans(reply.running, reached, probed_at - self.options.settle_s)


def needs_probe(server: server_state.ServerState) -> bool:
    """Return whether the server must be probed to learn what runs there."""
    if server.is_removed or not server.is_recovered:
        return False
    return server.orphans > 0 or server.is_leaving
