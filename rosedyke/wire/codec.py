"""Encoding and decoding of messages between instances.

Messages are frozen attrs classes encoded as msgpack.  Each is sent with its registered name, so
that a peer of another version can refuse a message that it doesn't know instead of misreading it.
"""

from typing import Any

import attrs
import msgspec

from rosedyke import fault

PROTOCOL_VERSION = 1


class CodecError(fault.RosedykeError):
    """The bytes can't be decoded as a message of this version."""

    code = "message_malformed"


class UnknownMessage(CodecError):
    """The name of the message is not registered."""

    code = "message_unknown"


_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}
_decoders: dict[str, msgspec.msgpack.Decoder] = {}
_encoder = msgspec.msgpack.Encoder()


def message(name):
    """Register the decorated attrs class under a stable wire name.

    Parameters
    ----------
    name : str
        ``package.message``, for example ``job.claim``; never reused for other fields.
    """

    def register(message_type):
        if not attrs.has(message_type):
            raise TypeError(f"{message_type.__name__} is not an attrs class")
        if name in _types_by_name:
            raise ValueError(f"message name {name} is registered twice")
        _types_by_name[name] = message_type
        _names_by_type[message_type] = name
        return message_type

    return register


def name_of(value: Any) -> str:
    """Return the wire name of a message or raise UnknownMessage."""
    try:
        return _names_by_type[type(value)]
    except KeyError:
        raise UnknownMessage(type(value).__name__) from None


def encode(value: Any) -> bytes:
    """Return the body of a registered message."""
    return _encoder.encode(value)


def decode(name: str, body: bytes) -> Any:
    """Decode the body of the message with that name.

    Raises
    ------
    UnknownMessage
        No message of that name is registered.
    CodecError
        The body doesn't match the fields of the message.
    """
    decoder = _decoders.get(name)
    if decoder is None:
        message_type = _types_by_name.get(name)
        if message_type is None:
            raise UnknownMessage(name)
        decoder = _decoders[name] = msgspec.msgpack.Decoder(message_type)
    try:
        return decoder.decode(body)
    # Fields without a type in the message are decoded by recursion.
    except (msgspec.MsgspecError, ValueError, TypeError, OverflowError, RecursionError) as error:
        raise CodecError(f"{name}: {error}") from error
