"""One connection to a peer: requests go out on it and their replies come back on it.

Both travel on the same connection on purpose: a connection that some box between the two ends
has forgotten fails in both directions at once, and the requester, who alone notices the silence,
can replace the whole path.
"""

from collections.abc import Callable

import zmq as plain_zmq
from eventlet.green import zmq

from rosedyke.wire import metrics, peer, secret, settings

MILLISECONDS = 1000
RECONNECT_MS = 50
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 10
KEEPALIVE_COUNT = 3


def set_bounds(socket: plain_zmq.Socket, options: settings.TransportSettings) -> None:
    """Set what both ends of a connection have in common."""
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, options.queue_bound)
    socket.setsockopt(zmq.RCVHWM, options.queue_bound)
    # Frames a little over the bound still arrive, so that they are counted; far longer ones
    # would use memory first, so ZeroMQ closes their connection.
    socket.setsockopt(zmq.MAXMSGSIZE, 2 * options.max_message_bytes)
    # A box between the ends may forget a connection, which then swallows everything.  Bytes in
    # flight are found by the timeout on acknowledgements, idle connections by keepalive.
    socket.setsockopt(zmq.TCP_MAXRT, int(options.unacknowledged_s * MILLISECONDS))
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT)


class Link:
    """A DEALER socket to one address and the task that reads the replies from it."""

    def __init__(
        self,
        context: zmq.Context,
        options: settings.TransportSettings,
        keys: secret.KeyPair | None,
        runtime,
        address: str,
        receive: Callable[["Link", list[bytes]], None],
    ):
        self.address = address
        self.runtime = runtime
        self.receive = receive
        self.silence_s = options.silence_s
        self.last_used = runtime.now()
        self.unanswered_since: float | None = None
        self.socket = context.socket(zmq.DEALER)
        set_bounds(self.socket, options)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, int(options.reconnect_limit_s * MILLISECONDS))
        self.socket.setsockopt(zmq.CONNECT_TIMEOUT, int(options.connect_timeout_s * MILLISECONDS))
        secret.protect_client(self.socket, keys)
        self.socket.connect(f"tcp://{address}")
        runtime.spawn(self._read)

    def send(self, frame: bytes) -> None:
        """Queue a frame or raise ``peer.PeerQueueFull``."""
        self.last_used = self.runtime.now()
        try:
            self.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            # The failed send has consumed the socket's wake-up; without this the reader would
            # sleep on replies that are already here.
            self.socket.getsockopt(zmq.EVENTS)
            metrics.metric.count(metrics.QUEUE_FULL)
            raise peer.PeerQueueFull(self.address) from None

    def expect_reply(self) -> None:
        """Note that a request is on its way."""
        if self.unanswered_since is None:
            self.unanswered_since = self.runtime.now()

    def is_silent(self) -> bool:
        """Return whether requests went unanswered for too long."""
        if self.unanswered_since is None:
            return False
        return self.runtime.now() - self.unanswered_since >= self.silence_s

    def is_idle(self, idle_s: float) -> bool:
        """Return whether the connection was not used for ``idle_s`` seconds."""
        return self.runtime.now() - self.last_used >= idle_s

    def close(self) -> None:
        """Close the socket and drop what is queued; the reader ends."""
        self.socket.close(0)

    def _read(self):
        while True:
            try:
                parts = self.socket.recv_multipart()
            except zmq.ZMQError:
                if self.socket.closed:
                    return
                raise
            self.last_used = self.runtime.now()
            self.unanswered_since = None
            self.receive(self, parts)
