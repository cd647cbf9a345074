"""The shared key as CURVE keys of ZeroMQ.

All instances derive the same key pair from the shared key and use it on both ends.  A CURVE
client has to know the server's public key, which never travels in the clear; here it is as
secret as the key it comes from, so that whoever lacks the shared key can't complete a handshake.
"""

import hashlib

import attrs
import zmq
import zmq.utils.z85

_PERSON = b"rosedyke-curve"


@attrs.frozen
class KeyPair:
    """CURVE keys in the Z85 encoding that ZeroMQ takes."""

    public: bytes
    secret: bytes = attrs.field(repr=False)


def derive(key: str) -> KeyPair:
    """Return the key pair that follows from the shared key."""
    digest = hashlib.blake2b(key.encode(), digest_size=32, person=_PERSON).digest()
    secret = zmq.utils.z85.encode(digest)
    return KeyPair(zmq.curve_public(secret), secret)


def protect_server(socket: zmq.Socket, keys: KeyPair | None) -> None:
    """Let a socket accept only clients that know the shared key."""
    if keys is None:
        return
    socket.curve_server = True
    socket.curve_secretkey = keys.secret
    socket.curve_publickey = keys.public


def protect_client(socket: zmq.Socket, keys: KeyPair | None) -> None:
    """Let a socket connect only to servers that know the shared key."""
    if keys is None:
        return
    socket.curve_serverkey = keys.public
    socket.curve_secretkey = keys.secret
    socket.curve_publickey = keys.public
