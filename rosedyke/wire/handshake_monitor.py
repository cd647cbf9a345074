"""Counts and logs failed CURVE handshakes, which ZeroMQ itself drops silently."""

from eventlet.green import zmq

from rosedyke.observe import metric
from rosedyke.wire import events, metrics, rate_limited_log

_HANDSHAKE_FAILURES = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class HandshakeMonitor:
    """Reads the handshake failures of one server socket in a task of its own."""

    def __init__(
        self, server_socket: zmq.Socket, runtime, event_log: rate_limited_log.RateLimitedLog
    ):
        self.server_socket = server_socket
        self.event_log = event_log
        endpoint = f"inproc://handshakes-{id(self)}"
        server_socket.monitor(endpoint, _HANDSHAKE_FAILURES)
        self.socket = server_socket.context.socket(zmq.PAIR)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.connect(endpoint)
        runtime.spawn(self._read)

    def close(self) -> None:
        """Stop monitoring."""
        self.server_socket.monitor(None, 0)
        self.socket.close(0)

    def _read(self):
        # Only transports with a key get here, and the module imports asyncio.
        from zmq.utils.monitor import parse_monitor_message

        while True:
            try:
                failure = parse_monitor_message(self.socket.recv_multipart())
            except zmq.ZMQError:
                if self.socket.closed:
                    return
                raise
            metric.count(metrics.REFUSED_STRANGERS)
            self.event_log.log(events.STRANGER_REFUSED, error=failure["value"])
