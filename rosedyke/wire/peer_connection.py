"""One connection to a peer, for requests and their replies.

Both directions share one connection: when a middlebox drops its state, both fail together, and
the requester, which alone detects missing replies, can replace the whole path.
"""

from collections.abc import Callable

import zmq as plain_zmq
from eventlet.green import zmq

from rosedyke.wire import curve_keys, green_socket, metrics, peer, settings

MS_PER_S = 1000
RECONNECT_INTERVAL_MS = 50
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_PROBES = 3


def set_socket_options(socket: plain_zmq.Socket, options: settings.TransportSettings) -> None:
    """Set the options that both ends of a connection share."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, options.queue_bound)
    socket.setsockopt(zmq.RCVHWM, options.queue_bound)
    # Frames slightly above the limit are received and counted as oversized; ZeroMQ closes the
    # connection for much longer ones, before they are held in memory.
    socket.setsockopt(zmq.MAXMSGSIZE, 2 * options.max_message_bytes)
    # A middlebox may drop a connection without closing it.  The acknowledgement timeout detects
    # this while bytes are in flight, keepalive detects it on an idle connection.
    socket.setsockopt(zmq.TCP_MAXRT, int(options.unacknowledged_s * MS_PER_S))
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)


class PeerConnection:
    """A DEALER socket to one address and the task that reads replies from it."""

    def __init__(
        self,
        context: zmq.Context,
        options: settings.TransportSettings,
        keys: curve_keys.KeyPair | None,
        runtime,
        address: str,
        on_message: Callable[["PeerConnection", list[bytes]], None],
    ):
        self.address = address
        self.runtime = runtime
        self.on_message = on_message
        self.unresponsive_after_s = options.silence_s
        self.last_used_at = runtime.now()
        self.unanswered_since: float | None = None
        self.socket = green_socket.GreenSocket(context, zmq.DEALER)
        set_socket_options(self.socket, options)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, int(options.reconnect_limit_s * MS_PER_S))
        self.socket.setsockopt(zmq.CONNECT_TIMEOUT, int(options.connect_timeout_s * MS_PER_S))
        curve_keys.protect_client(self.socket, keys)
        try:
            self.socket.connect(f"tcp://{address}")
        except (zmq.ZMQError, ValueError):
            self.socket.close(0)
            raise
        runtime.spawn(self._read)

    def send(self, frame: bytes) -> None:
        """Queue a frame or raise ``peer.PeerQueueFull``."""
        self.last_used_at = self.runtime.now()
        try:
            green_socket.send(self.socket, frame)
        except zmq.Again:
            metrics.metric.count(metrics.QUEUE_FULL)
            raise peer.PeerQueueFull(self.address) from None

    def note_request_sent(self) -> None:
        """Start the response timeout unless an earlier request is still unanswered."""
        if self.unanswered_since is None:
            self.unanswered_since = self.runtime.now()

    def is_unresponsive(self, added_s: float) -> bool:
        """Return whether requests have been unanswered for longer than the extended timeout."""
        if self.unanswered_since is None:
            return False
        return self.runtime.now() - self.unanswered_since >= self.unresponsive_after_s + added_s

    def is_idle(self, idle_s: float) -> bool:
        """Return whether the connection was not used for ``idle_s`` seconds."""
        return self.runtime.now() - self.last_used_at >= idle_s

    def close(self) -> None:
        """Close the socket, drop queued frames and end the reader."""
        self.socket.close(0)

    def _read(self):
        while True:
            try:
                parts = green_socket.receive(self.socket)
            except zmq.ZMQError:
                if self.socket.closed:
                    return
                raise
            self.last_used_at = self.runtime.now()
            self.unanswered_since = None
            self.on_message(self, parts)
