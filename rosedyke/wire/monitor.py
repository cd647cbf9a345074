"""Counts connections that fail the CURVE handshake, which ZeroMQ drops without a word."""

from eventlet.green import zmq
from zmq.utils.monitor import parse_monitor_message

from rosedyke.observe import metric
from rosedyke.wire import events, metrics, rare

_FAILURES = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class HandshakeMonitor:
    """Watches one socket from a task of its own."""

    def __init__(self, watched: zmq.Socket, runtime, log: rare.RareLog):
        self.watched = watched
        self.log = log
        endpoint = f"inproc://handshakes-{id(self)}"
        watched.monitor(endpoint, _FAILURES)
        self.socket = watched.context.socket(zmq.PAIR)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.connect(endpoint)
        runtime.spawn(self._read)

    def close(self) -> None:
        """Stop watching."""
        self.watched.monitor(None, 0)
        self.socket.close(0)

    def _read(self):
        while True:
            try:
                failure = parse_monitor_message(self.socket.recv_multipart())
            except zmq.ZMQError:
                if self.socket.closed:
                    return
                raise
            metric.count(metrics.REFUSED_STRANGERS)
            self.log.log(events.STRANGER_REFUSED, error=failure["value"])
