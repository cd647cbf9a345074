"""Requests over kept connections to outside systems that answer quickly or not at all.

The errors tell whether the request can have been carried out: nothing was sent, or bytes left and
no whole answer came back.
"""

import attrs
import eventlet

from rosedyke import fault
from rosedyke.gateways import exchange
from rosedyke.runtime import Runtime

# A connection that has just brought an answer is not looked at again: a long poll goes on at once.
FRESH_S = 0.002


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


class Channels:
    """Connections to any number of addresses, each used by one request at a time."""

    def __init__(self, options: ChannelSettings, runtime: Runtime):
        self.options = options
        self.runtime = runtime
        self.idle: dict[str, list[exchange.Connection]] = {}

    def ask(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> exchange.Reply:
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
            with eventlet.Timeout(left_s, exchange.Expired):
                reply = exchange.ask(
                    connection, method, path, body, fields, self.options.max_body_bytes
                )
        except exchange.Expired:
            connection.close()
            raise Unanswered(f"{address}{path}: no answer within {timeout_s:.3f} s") from None
        except exchange.TRANSPORT_ERRORS as error:
            connection.close()
            raise Unanswered(f"{address}{path}: {exchange.describe(error)}") from error
        except BaseException:
            connection.close()
            raise
        connection.used_at = self.runtime.now()
        self._keep(address, connection)
        return reply

    def close(self, address: str) -> None:
        """Close what is idle to an address."""
        for connection in self.idle.pop(address, []):
            connection.close()

    def _connected(self, address, timeout_s):
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            idle_s = self.runtime.now() - connection.used_at
            is_young = idle_s <= self.options.idle_s
            if idle_s <= FRESH_S or (is_young and not connection.is_dropped()):
                return connection
            connection.close()
        try:
            limit_s = min(timeout_s, self.options.connect_timeout_s)
            with eventlet.Timeout(limit_s, exchange.Expired):
                return self._connect(address)
        except (exchange.Expired, *exchange.TRANSPORT_ERRORS) as error:
            raise NotConnected(f"{address}: {exchange.describe(error)}") from None

    def _connect(self, address):
        return exchange.connect(address, self.options.silent_limit_s, self.runtime.now())

    def _keep(self, address, connection):
        idle = self.idle.setdefault(address, [])
        if connection.sock is None or len(idle) >= self.options.kept:
            connection.close()
            return
        idle.append(connection)
