"""HTTP client of external systems, with a pool of idle connections for each address.

The errors tell whether the request may have been processed: nothing was sent, or bytes were sent
and no complete response was received.
"""

from collections.abc import Callable

import attrs
import eventlet

from rosedyke import fault
from rosedyke.gateways import deadline, http_connection, reconnect_backoff
from rosedyke.overload import own_delay
from rosedyke.runtime import Runtime

# Connections used more recently are reused unchecked, which saves a system call for long polls.
UNCHECKED_REUSE_S = 0.002


class HttpClientError(fault.RosedykeError):
    """A request failed."""

    code = "channel_error"


class NotConnected(HttpClientError):
    """Connecting failed, so the request was not sent."""

    code = "channel_not_connected"


class NoResponse(HttpClientError):
    """The request was sent without a complete response, and may have been or still be processed."""

    code = "channel_unanswered"


@attrs.frozen
class HttpClientSettings:
    """Limits of the connections.

    Attributes
    ----------
    connect_timeout_s : float
        Timeout for connecting; ten round trips between data centres.
    max_idle_s : float
        A connection that was idle for longer is not reused: the server may be closing it, and the
        outcome of a request would be unknown.
    max_idle_connections : int
        Maximum number of idle connections to an address.
    dead_peer_timeout_s : float
        Time after which unacknowledged data closes a connection.
    max_body_bytes : int
        Maximum size of a response; a larger one is an error.
    """

    connect_timeout_s: float = 0.15
    max_idle_s: float = 2.5
    max_idle_connections: int = 6
    dead_peer_timeout_s: float = 3.0
    max_body_bytes: int = 16 * 1024 * 1024


class HttpClient:
    """Sends requests to any number of addresses, one at a time on each connection.

    Where the instance's link is limited, new connections to an address back off after failures.
    Elsewhere a fast reconnection after a network partition matters more.

    Parameters
    ----------
    delay : OwnDelay or None
        Account of the instance's link; None if it is unlimited.
    """

    def __init__(
        self,
        client_settings: HttpClientSettings,
        runtime: Runtime,
        delay: own_delay.OwnDelay | None = None,
    ):
        self.settings = client_settings
        self.runtime = runtime
        self.delay = delay or own_delay.OwnDelay(runtime)
        self.idle_connections: dict[str, list[http_connection.Connection]] = {}
        self.backoff = reconnect_backoff.ReconnectBackoff(runtime)

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        expires_at: Callable[[], float] | None = None,
    ) -> http_connection.Response:
        """Send a request and block until the response arrives.

        Parameters
        ----------
        timeout_s : float
            Longest time until the response.
        expires_at : callable or None
            Returns until when to wait, within that time; may move while the request waits.

        Raises
        ------
        NotConnected
            Nothing was sent.
        NoResponse
            Bytes were sent, and no complete response arrived in time.
        """
        started_at = self.runtime.now()
        latest = started_at + timeout_s
        connection = self._idle_connection(address)
        is_new = connection is None
        if is_new:
            connection = self._open_connection(address, timeout_s)
        request_headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            with self._response_timeout(latest, expires_at):
                response = http_connection.send_request(
                    connection, method, path, body, request_headers, self.settings.max_body_bytes
                )
        except http_connection.Expired:
            self._close_failed(connection, is_new)
            self._close_unproven(address, started_at)
            waited_s = self.runtime.now() - started_at
            raise NoResponse(f"{address}{path}: no answer within {waited_s:.3f} s") from None
        except http_connection.TRANSPORT_ERRORS as error:
            self._close_failed(connection, is_new)
            raise NoResponse(f"{address}{path}: {http_connection.describe(error)}") from error
        except BaseException:
            connection.close()
            raise
        self.backoff.reset(address)
        connection.last_used_at = self.runtime.now()
        self._release_connection(address, connection)
        return response

    def close(self, address: str) -> None:
        """Close the idle connections to an address."""
        self.backoff.reset(address)
        for connection in self.idle_connections.pop(address, []):
            connection.close()

    def _response_timeout(self, latest, expires_at):
        if expires_at is None:
            remaining_s = max(0.001, latest - self.runtime.now())
            return eventlet.Timeout(remaining_s, http_connection.Expired)
        return deadline.Deadline(
            self.runtime.now, lambda: min(latest, expires_at()), http_connection.Expired
        )

    def _close_unproven(self, address, since):
        """Close the idle connections that have had no answer since a request that got none.

        What made one connection silent may have done so to the others, and each would cost the
        next request its time-out.
        """
        idle_connections = self.idle_connections.get(address, [])
        for connection in [one for one in idle_connections if one.last_used_at < since]:
            idle_connections.remove(connection)
            connection.close()

    def _close_failed(self, connection, is_new):
        """Close a connection on which an exchange has failed.

        The failure of one that was open before may be its own, so a new one is opened at once.
        """
        connection.close()
        if is_new:
            self._record_failure(connection.address)

    def _record_failure(self, address):
        if self.delay.is_limited:
            self.backoff.record_failure(address)

    def _idle_connection(self, address):
        """Return an open connection that can be reused, or None."""
        idle_connections = self.idle_connections.get(address, [])
        while idle_connections:
            connection = idle_connections.pop()
            idle_s = self.runtime.now() - connection.last_used_at
            is_recent = idle_s <= self.settings.max_idle_s
            is_unchecked = idle_s <= UNCHECKED_REUSE_S and connection.sock is not None
            if is_unchecked or (is_recent and not connection.is_dropped()):
                return connection
            connection.close()
        return None

    def _open_connection(self, address, timeout_s):
        if self.backoff.must_wait(address):
            raise NotConnected(f"{address}: backing off after failed exchanges")
        try:
            latest = self.runtime.now() + min(timeout_s, self.settings.connect_timeout_s)
            with deadline.Deadline(self.runtime.now, lambda: latest, http_connection.Expired):
                return self._connect(address)
        except (http_connection.Expired, *http_connection.TRANSPORT_ERRORS) as error:
            self._record_failure(address)
            raise NotConnected(f"{address}: {http_connection.describe(error)}") from None

    def _connect(self, address):
        return http_connection.connect(
            address, self.settings.dead_peer_timeout_s, self.runtime.now(), self.delay
        )

    def _release_connection(self, address, connection):
        idle_connections = self.idle_connections.setdefault(address, [])
        if connection.sock is None or len(idle_connections) >= self.settings.max_idle_connections:
            connection.close()
            return
        idle_connections.append(connection)
