"""Finds out when orphaned slots are free again, by asking the servers themselves.

A slot is orphaned when its holder died, when a task's answer never came, or when an owner took the
pool over and can't know what an instance that died had running there.  Waiting for the old jobs'
deadlines would idle the slot for up to a minute; taking it at once would put one task too many
on the server.  The server's own count of running tasks settles it within milliseconds.
"""

from rosedyke.dispatch import metrics, ports, server_pool, settings
from rosedyke.dispatch import server as server_module
from rosedyke.observe import metric
from rosedyke.runtime import Runtime


class ServerProber:
    """Asks servers with orphaned slots how many tasks run there.

    Parameters
    ----------
    options : DispatchSettings
        How often to ask.
    runtime : Runtime
        Time and tasks.
    gateway : BackendGateway
        Asks.
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
        """Ask each server of a pool that has orphans, or that left and may have come back.

        Parameters
        ----------
        pool : Pool
            The pool.
        is_current : callable
            Whether this instance still owns it.
        on_slots_freed : callable
            Called when slots have come free.
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

    def check_overdue(self, server: server_module.Server, now: float, on_stalled) -> None:
        """Ask a server with overdue leases whether it still runs them.

        Connections that go silent leave tasks without an answer.  Each would keep its slot until
        its job's deadline, and when many go silent at once nearly every slot is stuck.

        Parameters
        ----------
        server : Server
            The server.
        now : float
            Monotonic seconds.
        on_stalled : callable
            ``on_stalled(leases)`` is told of those that it no longer runs.
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
        # Releases of tasks that had ended by then are still on their way.
        self.runtime.sleep(self.options.started_s)
        overdue = server.overdue_leases(probed_at, self.options.audit_s)
        server.mark_stalled(reply.running, reached, overdue, self.runtime.now())
        return [server.leases[key] for key in server.stalled - stalled_before]

    def _probe(self, server):
        # A task granted a moment ago may not have reached the server yet and would be taken to
        # account for one that the server counts.  So nothing is granted there for a moment;
        # after it every lease that is left has reached the server.
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
            server.orphans = 0  # the server's own refusals have the last word
            return
        server.reconcile_orphans(reply.running, reached, probed_at - self.options.settle_s)


def needs_probe(server: server_module.Server) -> bool:
    """Return whether only the server itself can say what may run there."""
    if server.is_removed or not server.is_recovered:
        return False
    return server.orphans > 0 or server.is_leaving
