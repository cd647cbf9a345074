"""ZeroMQ sockets for green threads with little processor time.

Those of eventlet wake the reader by a timer, after each send as well, and it then learns from an
exception that there is nothing to read; together that takes longer than libzmq itself.
"""

import eventlet.hubs
import greenlet
import zmq

# As integers, because operations on the flags of pyzmq take longer.
_NOBLOCK = int(zmq.NOBLOCK)
_SNDMORE = int(zmq.SNDMORE)
_RCVMORE = int(zmq.RCVMORE)
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)


class _Waiter:
    """The green thread that waits for a message, if one does."""

    __slots__ = ("thread",)

    def __init__(self):
        self.thread: greenlet.greenlet | None = None

    def wake(self) -> None:
        """Switch to the thread; only the hub calls this."""
        if self.thread is not None:
            self.thread.switch()


class GreenSocket(zmq.Socket):
    """A socket that one green thread reads and any of them writes."""

    # Declared here, because pyzmq takes other attributes for options of the socket.
    waiter: _Waiter
    listener: object

    def __init__(self, context: zmq.Context, socket_type: int):
        super().__init__(context, socket_type)
        self.waiter = _Waiter()
        hub = eventlet.hubs.get_hub()
        descriptor = self.getsockopt(zmq.FD)
        self.listener = hub.add(
            hub.READ, descriptor, self._on_event, lambda error: None, lambda: None
        )

    def _on_event(self, descriptor):
        if self.waiter.thread is not None:
            self.waiter.thread.switch()
        else:
            # Otherwise the descriptor stays readable, and the hub doesn't sleep.
            self.getsockopt(_EVENTS)

    def wait(self) -> None:
        """Block until something has happened on the socket."""
        self.waiter.thread = greenlet.getcurrent()
        try:
            eventlet.hubs.get_hub().switch()
        finally:
            self.waiter.thread = None

    def wake_reader(self) -> None:
        """Let the reader look at the socket soon."""
        if self.waiter.thread is not None:
            eventlet.hubs.get_hub().schedule_call_global(0, self.waiter.wake)

    def close(self, linger: int | None = None) -> None:
        """Close the socket; its reader gets a ``zmq.ZMQError``."""
        if not self.closed:
            eventlet.hubs.get_hub().remove(self.listener)
            self.wake_reader()
        super().close(linger)


def send(socket: GreenSocket, *parts: bytes) -> None:
    """Queue a message without blocking; raises ``zmq.ZMQError`` if that is impossible."""
    try:
        for part in parts[:-1]:
            socket.send(part, _NOBLOCK | _SNDMORE)
        socket.send(parts[-1], _NOBLOCK)
    finally:
        # A send, also one that fails, consumes the socket's event, so the descriptor doesn't show
        # a message that has arrived before.
        if socket.getsockopt(_EVENTS) & _POLLIN:
            socket.wake_reader()


def receive(socket: GreenSocket) -> list[bytes]:
    """Block until a message arrives, and return its parts."""
    while not socket.getsockopt(_EVENTS) & _POLLIN:
        socket.wait()
    parts = [socket.recv(_NOBLOCK)]
    while socket.getsockopt(_RCVMORE):
        # All parts of a message arrive together.
        parts.append(socket.recv(_NOBLOCK))
    return parts
