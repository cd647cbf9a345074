"""CURVE keys of ZeroMQ, derived from the shared key.

All instances derive the same key pair and use it on both ends.  A CURVE client has to know the
server's public key, which is never sent in the clear.  It is as secret as the shared key here, so
a client without the shared key can't complete a handshake.
"""

import hashlib

import attrs
import zmq
import zmq.utils.z85

_PERSONALIZATION = b"rosedyke-curve"


@attrs.frozen
class KeyPair:
    """CURVE keys in ZeroMQ's Z85 encoding."""

    public: bytes
    secret: bytes = attrs.field(repr=False)


def derive(key: str) -> KeyPair:
    """Return the key pair derived from the shared key."""
    digest = hashlib.blake2b(key.encode(), digest_size=32, person=_PERSONALIZATION).digest()
    secret_key = zmq.utils.z85.encode(digest)
    return KeyPair(zmq.curve_public(secret_key), secret_key)


def protect_server(socket: zmq.Socket, keys: KeyPair | None) -> None:
    """Make a socket accept only clients that hold the shared key."""
    if keys is None:
        return
    socket.curve_server = True
    socket.curve_secretkey = keys.secret
    socket.curve_publickey = keys.public


def protect_client(socket: zmq.Socket, keys: KeyPair | None) -> None:
    """Make a socket connect only to servers that hold the shared key."""
    if keys is None:
        return
    socket.curve_serverkey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_publickey = keys.public
