"""What surrounds each message between entry instances.

A frame is a fixed prefix, a header and the body.  The prefix never changes, so that a peer of
another protocol version can still answer with a refusal that the sender understands.
"""

import enum
import struct

import attrs
import msgspec

from rosedyke.wire import codec

# Version, kind, request number, length of the header.
_PREFIX = struct.Struct("!BBQH")
_HEADER_DECODER = msgspec.msgpack.Decoder(tuple[str, int, str, str, str, int, str])
_ENCODER = msgspec.msgpack.Encoder()


class Kind(enum.IntEnum):
    """What a frame is."""

    ONE_WAY = 1
    REQUEST = 2
    REPLY = 3
    GONE = 4  # the request was for another incarnation and was not acted on
    REFUSED = 5  # the request can't be handled here and was not acted on
    FAILED = 6  # the handler raised an error; it may have acted
    OUTDATED = 8  # a newer incarnation of the sender is known; not acted on
    OTHER_VERSION = 7  # the prefix alone, in the version of the answering peer


@attrs.frozen
class Prefix:
    """The part of a frame that every version understands."""

    version: int
    kind: int
    number: int
    header_length: int


@attrs.frozen
class Header:
    """Who sends to whom, and what the body is.

    Attributes
    ----------
    source_name, source_incarnation, source_data_centre, source_address
        The sender; a reply leaves out the last two, since its receiver knows them.
    target_name : str
        Empty for whichever instance has the address.
    target_incarnation : int
        The addressed life of the target, 0 with an empty name.
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


def encode(prefix_version: int, kind: Kind, number: int, header: Header, body: bytes) -> bytes:
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
    return _PREFIX.pack(prefix_version, kind, number, len(packed)) + packed + body


def encode_other_version(version: int, number: int) -> bytes:
    """Return the refusal of a frame whose header this version can't read."""
    return _PREFIX.pack(version, Kind.OTHER_VERSION, number, 0)


def decode_prefix(frame: bytes) -> Prefix:
    """Return the prefix or raise ``codec.CodecError``."""
    try:
        return Prefix(*_PREFIX.unpack_from(frame))
    except struct.error as error:
        raise codec.CodecError(f"prefix: {error}") from error


def decode_rest(frame: bytes, prefix: Prefix) -> tuple[Header, bytes]:
    """Return header and body of a frame of the own version or raise ``codec.CodecError``."""
    start = _PREFIX.size
    end = start + prefix.header_length
    if len(frame) < end:
        raise codec.CodecError("header: truncated")
    try:
        header = Header(*_HEADER_DECODER.decode(frame[start:end]))
    except msgspec.DecodeError as error:
        raise codec.CodecError(f"header: {error}") from error
    return header, frame[end:]
