"""Finds out when orphaned slots are free again, by asking the servers themselves.

A slot is orphaned when its holder died, when a task's answer never came, or when an owner took the
pool over and can't know what an instance that died had running there.  Waiting for the old jobs'
deadlines would idle the slot for up to a minute; taking it at once would put one task too many
on the server.  The server's own count of running tasks settles it within milliseconds.
"""

from rosedyke.dispatch import metrics, pool, ports, settings
from rosedyke.observe import metric
from rosedyke.runtime import Runtime


class Prober:
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
        self.asked: set[tuple[str, str]] = set()

    def look_after(self, owned: pool.Pool, on_free) -> None:
        """Ask each server of a pool that has orphans; call ``on_free(pool)`` for each gain."""
        for name, server in owned.servers.items():
            if server.orphans and server.is_ready and (owned.key, name) not in self.asked:
                self.asked.add((owned.key, name))
                self.runtime.spawn(self._ask_until_settled, owned, server, on_free)

    def _ask_until_settled(self, owned, server, on_free):
        wait_s = self.options.probe_s
        try:
            while server.orphans and not server.is_removed:
                before = server.orphans
                self._ask(owned, server)
                if server.orphans < before:
                    on_free(owned)
                    wait_s = self.options.probe_s
                if server.orphans:
                    self.runtime.sleep(wait_s * (0.75 + self.runtime.random() / 2))
                    wait_s = min(2 * wait_s, self.options.probe_limit_s)
        finally:
            self.asked.discard((owned.key, server.declared.name))

    def _ask(self, owned, server):
        # A task granted a moment ago may not have reached the server yet and would be taken to
        # account for one that the server counts.  So nothing is granted there for a moment;
        # after it every lease that is left has reached the server.
        server.is_held = True
        try:
            if server.leases:
                self.runtime.sleep(self.options.started_s)
            asked_at = self.runtime.now()
            known = set(server.leases)
            reply = self.gateway.probe(server.declared, self.options.probe_timeout_s)
        except ports.NotStarted:
            return
        finally:
            server.is_held = False
        metric.count(metrics.PROBES)
        server.is_leaving = reply.is_leaving
        if reply.running is None:
            server.orphans = 0  # the server's own refusals have the last word
            return
        server.settle(reply.running, known, asked_at - self.options.settle_s)
