"""Sending and receiving on eventlet's ZeroMQ sockets with little processor time.

After each send, eventlet wakes the socket's reader in case the send has consumed the wake-up of a
message.  The reader then nearly always finds none, which costs more than the send.
"""

import zmq as plain_zmq
from eventlet.green import zmq

# As integers, because operations on the flags of pyzmq take longer.
_NOBLOCK = int(zmq.NOBLOCK)
_SNDMORE = int(zmq.SNDMORE)


def send(socket: zmq.Socket, *parts: bytes) -> None:
    """Queue a message without blocking; raises ``zmq.ZMQError`` if that is impossible."""
    try:
        for part in parts[:-1]:
            plain_zmq.Socket.send(socket, part, _NOBLOCK | _SNDMORE)
        plain_zmq.Socket.send(socket, parts[-1], _NOBLOCK)
    finally:
        # A send, also one that fails, consumes the socket's wake-up.  Reading the events wakes the
        # reader if there is something to read.
        socket.getsockopt(zmq.EVENTS)


def receive(socket: zmq.Socket) -> list[bytes]:
    """Block until a message arrives, and return its parts."""
    parts = [socket.recv()]
    while socket.getsockopt(zmq.RCVMORE):
        # All parts of a message arrive together.
        parts.append(plain_zmq.Socket.recv(socket, _NOBLOCK))
    return parts
