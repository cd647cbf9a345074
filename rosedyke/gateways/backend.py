"""Sends tasks to backend servers over HTTP, and says exactly what is known when that fails.

The connection is made first; whatever fails after that may have run.
"""

import urllib.parse

import eventlet

from rosedyke.configuration import intent
from rosedyke.dispatch import ports
from rosedyke.gateways import exchange, settings
from rosedyke.runtime import Runtime

NOT_STARTED_HEADER = "X-Not-Started"
LEAVING_HEADER = "X-Leaving"
RUNNING_HEADER = "X-Running"
HEALTH_PATH = "/healthz"
# One connection of each server is kept free for probes.
PROBE_CONNECTIONS = 1
MAX_DETAIL_BYTES = 200


class HttpBackendGateway:
    """Implements ``dispatch.ports.BackendGateway``.

    Connections in use are bounded by the slots that were granted, so only the idle ones need a
    bound here: each instance keeps an equal part of what a server's limit leaves beside its
    slots.  So the limit holds over all instances without any message.

    Parameters
    ----------
    options : BackendSettings
        Timeouts and bounds.
    runtime : Runtime
        Time.
    """

    def __init__(self, options: settings.BackendSettings, runtime: Runtime):
        self.options = options
        self.runtime = runtime
        self.instances = 1
        self.idle: dict[str, list[exchange.Connection]] = {}

    def set_instance_count(self, instances: int) -> None:
        """Set how many instances of the region may connect to the same servers."""
        self.instances = max(1, instances)

    def run_task(
        self, server: intent.BackendServer, call: ports.BackendCall, timeout_s: float
    ) -> ports.TaskReply:
        """Send a task and block for its result."""
        ends_at = self.runtime.now() + timeout_s
        connection = self._connected(server, timeout_s)
        headers = task_headers(call, ends_at - self.runtime.now())
        path = f"/v1/tasks/{urllib.parse.quote(call.task, safe='')}"
        try:
            with eventlet.Timeout(max(0.001, ends_at - self.runtime.now()), exchange.Expired):
                reply = self._ask(connection, "POST", path, call.payload, headers)
        except exchange.Expired:
            connection.close()
            raise ports.MayHaveRun(f"no answer within {timeout_s:.3f} s", is_timeout=True) from None
        except exchange.TRANSPORT_ERRORS as error:
            connection.close()
            raise ports.MayHaveRun(f"connection broke: {exchange.describe(error)}") from error
        except BaseException:
            connection.close()
            raise
        self._keep(server, connection)
        return read_reply(reply)

    def probe(self, server: intent.BackendServer, timeout_s: float) -> ports.ProbeReply:
        """Ask a server about itself on a connection of its own."""
        connection = None
        try:
            with eventlet.Timeout(timeout_s, exchange.Expired):
                connection = self._connect(server)
                reply = self._ask(connection, "GET", HEALTH_PATH, None, {})
        except (exchange.Expired, *exchange.TRANSPORT_ERRORS) as error:
            raise ports.NotStarted(f"no answer to a probe: {exchange.describe(error)}") from None
        finally:
            if connection is not None:
                connection.close()
        running = reply.header(RUNNING_HEADER)
        return ports.ProbeReply(
            int(running) if running.isdigit() else None, reply.says(LEAVING_HEADER)
        )

    def close(self) -> None:
        """Close idle connections."""
        for connections in self.idle.values():
            self._close_all(connections)

    def _connected(self, server, timeout_s) -> exchange.Connection:
        """Return a connection that is known to work, or raise NotStarted."""
        idle = self.idle.get(server.name, [])
        if idle:
            connection = idle.pop()
            if self._may_reuse(connection):
                return connection
            connection.close()
            # The others were idle for longer still.
            self._close_all(idle)
        try:
            with eventlet.Timeout(min(timeout_s, self.options.connect_timeout_s), exchange.Expired):
                return self._connect(server)
        except (exchange.Expired, *exchange.TRANSPORT_ERRORS) as error:
            raise ports.NotStarted(f"no connection: {exchange.describe(error)}") from None

    def _may_reuse(self, connection) -> bool:
        # A middle box may have forgotten an idle connection: what is sent on it vanishes and no
        # answer ever comes, so a task would be lost without having run.  A handshake proves a new
        # connection in both directions for less than a request on the old one would cost.
        idle_s = self.runtime.now() - connection.used_at
        return idle_s <= self.options.reuse_limit_s and not connection.is_dropped()

    def _close_all(self, connections):
        for connection in connections:
            connection.close()
        connections.clear()

    def _connect(self, server) -> exchange.Connection:
        return exchange.connect(server.address, self.options.silent_limit_s, self.runtime.now())

    def _ask(self, connection, method, path, body, headers) -> exchange.Reply:
        limit = self.options.max_result_bytes
        reply = exchange.ask(connection, method, path, body, headers, limit)
        connection.used_at = self.runtime.now()
        return reply

    def _keep(self, server, connection):
        """Keep a connection for the next task if the share of this instance allows it."""
        spare = server.connections - server.slots - PROBE_CONNECTIONS
        idle = self.idle.setdefault(server.name, [])
        if connection.sock is None or len(idle) >= spare // self.instances:
            connection.close()
            return
        idle.append(connection)
        if self.runtime.now() - idle[0].used_at > self.options.reuse_limit_s:
            idle.pop(0).close()


def task_headers(call: ports.BackendCall, left_s: float) -> dict[str, str]:
    """Return the headers that tell a server which task this is."""
    job_id = urllib.parse.quote(call.job_id, safe="")
    return {
        "Content-Type": "application/json",
        "Accept-Encoding": "identity",
        "X-Job-Id": job_id,
        "X-Task-Index": str(call.index),
        "Idempotency-Key": f"{job_id}/{call.index}",
        "X-Deadline-Ms": str(max(1, int(left_s * 1000))),
    }


def read_reply(reply: exchange.Reply) -> ports.TaskReply:
    """Return a task's result or raise what the answer says."""
    is_leaving = reply.says(LEAVING_HEADER)
    if reply.status == 200:
        return ports.TaskReply(reply.body, is_leaving)
    detail = reply.body[:MAX_DETAIL_BYTES].decode("utf-8", "replace")
    if reply.status == 503 and reply.says(NOT_STARTED_HEADER):
        raise ports.NotStarted(detail or "refused", is_leaving, is_reached=True)
    raise ports.TaskFailed(f"status {reply.status}: {detail}")
