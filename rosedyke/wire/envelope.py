"""Framing of messages between entry instances.

A frame is a fixed prefix, a header and the body.  The prefix is the same in every protocol
version, so that a peer of another version can still answer with a refusal that the sender can
decode.
"""

import enum
import struct

import attrs
import msgspec

from rosedyke.wire import codec

# Version, kind, message number, header length.
_PREFIX = struct.Struct("!BBQH")
_HEADER_DECODER = msgspec.msgpack.Decoder(tuple[str, int, str, str, str, int, str])
_ENCODER = msgspec.msgpack.Encoder()


class Kind(enum.IntEnum):
    """Type of a frame."""

    ONE_WAY = 1
    REQUEST = 2
    REPLY = 3
    GONE = 4  # the addressed incarnation is not the current one; not acted on
    REFUSED = 5  # the request can't be handled; not acted on
    FAILED = 6  # the handler raised an error; it may have had effects
    OUTDATED = 8  # the receiver knows a newer incarnation of the sender; not acted on
    OTHER_VERSION = 7  # prefix only, with the version of the responding peer


@attrs.frozen
class Prefix:
    """The part of a frame that is the same in every protocol version."""

    version: int
    kind: int
    number: int
    header_length: int


@attrs.frozen
class Header:
    """Sender, addressee and message name of a frame.

    Attributes
    ----------
    source_name, source_incarnation, source_data_centre, source_address
        The sender; the last two are empty in a response, whose receiver knows them.
    target_name : str
        Empty to address whichever instance is at the address.
    target_incarnation : int
        The addressed incarnation, 0 with an empty name.
    message_name : str
        The registered name of the body.
    """

    source_name: str
    source_incarnation: int
    source_data_centre: str
    source_address: str
    target_name: str
    target_incarnation: int
    message_name: str


def encode(version: int, kind: Kind, number: int, header: Header, body: bytes) -> bytes:
    """Return the bytes of a frame."""
    packed = _ENCODER.encode(
        (
            header.source_name,
            header.source_incarnation,
            header.source_data_centre,
            header.source_address,
            header.target_name,
            header.target_incarnation,
            header.message_name,
        )
    )
    return _PREFIX.pack(version, kind, number, len(packed)) + packed + body


def encode_other_version(version: int, number: int) -> bytes:
    """Return the refusal of a frame of another protocol version."""
    return _PREFIX.pack(version, Kind.OTHER_VERSION, number, 0)


def decode_prefix(frame: bytes) -> Prefix:
    """Return the prefix or raise ``codec.CodecError``."""
    try:
        return Prefix(*_PREFIX.unpack_from(frame))
    except struct.error as error:
        raise codec.CodecError(f"prefix: {error}") from error


def decode_header_and_body(frame: bytes, prefix: Prefix) -> tuple[Header, bytes]:
    """Return header and body of a frame of this version or raise ``codec.CodecError``."""
    start = _PREFIX.size
    end = start + prefix.header_length
    if len(frame) < end:
        raise codec.CodecError("header: truncated")
    try:
        header = Header(*_HEADER_DECODER.decode(frame[start:end]))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise codec.CodecError(f"header: {error}") from error
    return header, frame[end:]
