"""Requests over kept connections to outside systems that answer quickly or not at all.

The errors tell whether the request can have been carried out: nothing was sent, or bytes left and
no whole answer came back.
"""

import attrs
import eventlet
import urllib3.connection

from rosedyke import fault
from rosedyke.gateways import backend
from rosedyke.runtime import Runtime


class ChannelError(fault.RosedykeError):
    """A request got no answer."""

    code = "channel_error"


class NotConnected(ChannelError):
    """No connection was made, so the request was not sent."""

    code = "channel_not_connected"


class Unanswered(ChannelError):
    """The request may have been carried out, or may still be."""

    code = "channel_unanswered"


@attrs.frozen
class ChannelSettings:
    """Bounds of the connections.

    Attributes
    ----------
    connect_timeout_s : float
        For a new connection; ten times the way there and back between data centres.
    idle_s : float
        A connection that was unused for longer is not used again: the other side may just be
        closing it, and a request on it would have an unknown outcome.
    kept : int
        Idle connections to one address.
    silent_limit_s : float
        Unacknowledged bytes for so long break a connection.
    max_body_bytes : int
        A longer answer counts as none.
    """

    connect_timeout_s: float = 0.15
    idle_s: float = 2.5
    kept: int = 6
    silent_limit_s: float = 3.0
    max_body_bytes: int = 16 * 1024 * 1024


@attrs.frozen
class Reply:
    """A whole answer."""

    status: int
    body: bytes


class Channels:
    """Connections to any number of addresses, each used by one request at a time."""

    def __init__(self, options: ChannelSettings, runtime: Runtime):
        self.options = options
        self.runtime = runtime
        self.idle: dict[str, list[backend.Connection]] = {}

    def ask(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and block for its answer.

        Raises
        ------
        NotConnected
            Nothing was sent.
        Unanswered
            Bytes left, and no whole answer came in time.
        """
        ends_at = self.runtime.now() + timeout_s
        connection = self._connected(address, timeout_s)
        fields = {"Content-Type": "application/json", **(headers or {})}
        left_s = max(0.001, ends_at - self.runtime.now())
        try:
            with eventlet.Timeout(left_s, backend.Expired):
                reply = self._exchange(connection, method, path, body, fields)
        except backend.Expired:
            connection.http.close()
            raise Unanswered(f"{address}{path}: no answer within {timeout_s:.3f} s") from None
        except backend.TRANSPORT_ERRORS as error:
            connection.http.close()
            raise Unanswered(f"{address}{path}: {backend.describe(error)}") from error
        except BaseException:
            connection.http.close()
            raise
        self._keep(address, connection)
        return reply

    def close(self, address: str) -> None:
        """Close what is idle to an address."""
        for connection in self.idle.pop(address, []):
            connection.http.close()

    def _connected(self, address, timeout_s):
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            idle_s = self.runtime.now() - connection.used_at
            if idle_s <= self.options.idle_s and not connection.is_dropped():
                return connection
            connection.http.close()
        try:
            limit_s = min(timeout_s, self.options.connect_timeout_s)
            with eventlet.Timeout(limit_s, backend.Expired):
                return self._connect(address)
        except (backend.Expired, *backend.TRANSPORT_ERRORS) as error:
            raise NotConnected(f"{address}: {backend.describe(error)}") from None

    def _connect(self, address):
        host, port = address.rsplit(":", 1)
        http = backend.GreenConnection(
            host, int(port), socket_options=backend.socket_options(self.options.silent_limit_s)
        )
        try:
            http.connect()
        except BaseException:
            http.close()
            raise
        return backend.Connection(http, self.runtime.now())

    def _exchange(self, connection, method, path, body, headers):
        http = connection.http
        http.request(method, path, body, headers, preload_content=False, decode_content=False)
        response = http.getresponse()
        data = response.read(self.options.max_body_bytes + 1)
        if len(data) > self.options.max_body_bytes or response.length_remaining:
            raise urllib3.exceptions.HTTPError("the answer is cut off or too long")
        connection.used_at = self.runtime.now()
        return Reply(response.status, data)

    def _keep(self, address, connection):
        idle = self.idle.setdefault(address, [])
        if connection.http.sock is None or len(idle) >= self.options.kept:
            connection.http.close()
            return
        idle.append(connection)
