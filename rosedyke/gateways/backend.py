"""HTTP client of backend servers.

Connecting and sending are separate steps, so that a failed connect proves that a task did not
start; after any later failure the task may have run.
"""

import urllib.parse

import eventlet

from rosedyke.configuration import intent
from rosedyke.dispatch import ports
from rosedyke.gateways import http_connection, settings
from rosedyke.runtime import Runtime

NOT_STARTED_HEADER = "X-Not-Started"
LEAVING_HEADER = "X-Leaving"
RUNNING_HEADER = "X-Running"
HEALTH_PATH = "/healthz"
# Connections to each server that are reserved for probes.
RESERVED_PROBE_CONNECTIONS = 1
MAX_DETAIL_BYTES = 200


class HttpBackendGateway:
    """Implements ``dispatch.ports.BackendGateway``.

    Connections in use are limited by the granted slots, so only idle ones are limited here: each
    instance may keep an equal share of a server's connections beyond its slots.  This enforces the
    server's connection limit without coordination.

    Parameters
    ----------
    backend_settings : BackendSettings
        Timeouts and limits.
    runtime : Runtime
        Time source.
    """

    def __init__(self, backend_settings: settings.BackendSettings, runtime: Runtime):
        self.backend_settings = backend_settings
        self.runtime = runtime
        self.instance_count = 1
        self.idle_connections: dict[str, list[http_connection.Connection]] = {}

    def set_instance_count(self, instance_count: int) -> None:
        """Set how many instances in the region share the servers."""
        self.instance_count = max(1, instance_count)

    def run_task(
        self, server: intent.BackendServer, call: ports.BackendCall, timeout_s: float
    ) -> ports.TaskReply:
        """Send a task and block until its result arrives."""
        deadline = self.runtime.now() + timeout_s
        connection = self._acquire_connection(server, timeout_s)
        headers = task_headers(call, deadline - self.runtime.now())
        path = f"/v1/tasks/{urllib.parse.quote(call.task, safe='')}"
        try:
            with eventlet.Timeout(
                max(0.001, deadline - self.runtime.now()), http_connection.Expired
            ):
                response = self._request(connection, "POST", path, call.payload, headers)
        except http_connection.Expired:
            connection.close()
            raise ports.MayHaveRun(f"no answer within {timeout_s:.3f} s", is_timeout=True) from None
        except http_connection.TRANSPORT_ERRORS as error:
            connection.close()
            raise ports.MayHaveRun(
                f"connection broke: {http_connection.describe(error)}"
            ) from error
        except BaseException:
            connection.close()
            raise
        self._release_connection(server, connection)
        return read_response(response)

    def probe(self, server: intent.BackendServer, timeout_s: float) -> ports.ProbeReply:
        """Return a server's state, requested on a new connection."""
        connection = None
        try:
            with eventlet.Timeout(timeout_s, http_connection.Expired):
                connection = self._connect(server)
                response = self._request(connection, "GET", HEALTH_PATH, None, {})
        except (http_connection.Expired, *http_connection.TRANSPORT_ERRORS) as error:
            raise ports.NotStarted(
                f"no answer to a probe: {http_connection.describe(error)}"
            ) from None
        finally:
            if connection is not None:
                connection.close()
        running_header = response.header(RUNNING_HEADER)
        return ports.ProbeReply(
            int(running_header) if running_header.isdigit() else None,
            response.has_flag(LEAVING_HEADER),
        )

    def close(self) -> None:
        """Close idle connections."""
        for connections in self.idle_connections.values():
            self._close_all(connections)

    def _acquire_connection(self, server, timeout_s) -> http_connection.Connection:
        """Return a usable connection, or raise NotStarted."""
        idle_connections = self.idle_connections.get(server.name, [])
        if idle_connections:
            connection = idle_connections.pop()
            if self._is_reusable(connection):
                return connection
            connection.close()
            # All others have been idle for longer.
            self._close_all(idle_connections)
        try:
            with eventlet.Timeout(
                min(timeout_s, self.backend_settings.connect_timeout_s), http_connection.Expired
            ):
                return self._connect(server)
        except (http_connection.Expired, *http_connection.TRANSPORT_ERRORS) as error:
            raise ports.NotStarted(f"no connection: {http_connection.describe(error)}") from None

    def _is_reusable(self, connection) -> bool:
        # A NAT or firewall may have dropped the state of an idle connection, so that a task sent on
        # it would be lost.  Connecting again is cheaper and verifies both directions.
        idle_s = self.runtime.now() - connection.last_used_at
        return idle_s <= self.backend_settings.reuse_limit_s and not connection.is_dropped()

    def _close_all(self, connections):
        for connection in connections:
            connection.close()
        connections.clear()

    def _connect(self, server) -> http_connection.Connection:
        return http_connection.connect(
            server.address, self.backend_settings.silent_limit_s, self.runtime.now()
        )

    def _request(self, connection, method, path, body, headers) -> http_connection.Response:
        limit = self.backend_settings.max_result_bytes
        response = http_connection.send_request(connection, method, path, body, headers, limit)
        connection.last_used_at = self.runtime.now()
        return response

    def _release_connection(self, server, connection):
        """Keep a connection for reuse, within this instance's share of idle connections."""
        spare_connections = server.connections - server.slots - RESERVED_PROBE_CONNECTIONS
        idle_connections = self.idle_connections.setdefault(server.name, [])
        if (
            connection.sock is None
            or len(idle_connections) >= spare_connections // self.instance_count
        ):
            connection.close()
            return
        idle_connections.append(connection)
        if (
            self.runtime.now() - idle_connections[0].last_used_at
            > self.backend_settings.reuse_limit_s
        ):
            idle_connections.pop(0).close()


def task_headers(call: ports.BackendCall, remaining_s: float) -> dict[str, str]:
    """Return the headers that identify a task."""
    job_id = urllib.parse.quote(call.job_id, safe="")
    return {
        "Content-Type": "application/json",
        "Accept-Encoding": "identity",
        "X-Job-Id": job_id,
        "X-Task-Index": str(call.index),
        "Idempotency-Key": f"{job_id}/{call.index}",
        "X-Deadline-Ms": str(max(1, int(remaining_s * 1000))),
    }


def read_response(response: http_connection.Response) -> ports.TaskReply:
    """Return a task's result, or raise the error that the response indicates."""
    is_leaving = response.has_flag(LEAVING_HEADER)
    if response.status == 200:
        return ports.TaskReply(response.body, is_leaving)
    detail = response.body[:MAX_DETAIL_BYTES].decode("utf-8", "replace")
    if response.status == 503 and response.has_flag(NOT_STARTED_HEADER):
        raise ports.NotStarted(detail or "refused", is_leaving, is_reached=True)
    raise ports.TaskFailed(f"status {response.status}: {detail}")
