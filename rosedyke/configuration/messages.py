"""Messages between instances that spread a generation."""

import zlib

import attrs
import msgspec

from rosedyke.configuration import stored
from rosedyke.wire import codec

# One reply stays far below the transport's bound; a longer answer takes several pulls.
MAX_CONTENT_BYTES = 256 * 1024
# A single file can be larger than that, so a decompressed reply may be up to this.
MAX_PLAIN_BYTES = 2 * 1024 * 1024


class ContentMalformed(codec.CodecError):
    """The files of a reply can't be unpacked."""

    code = "configuration_content_malformed"


@codec.message("configuration.announce")
@attrs.frozen
class Announce:
    """The sender has this generation and this version of the list of leaving servers."""

    generation: int
    leaving_version: int


@codec.message("configuration.pull")
@attrs.frozen
class Pull:
    """Asks for what is newer.

    Attributes
    ----------
    generation : int
        What the asker has; 0 asks for everything.
    leaving_version : int
        What it has of the list of leaving servers.
    wanted : tuple of str
        Only these teams' files, after a reply that left some out.
    """

    generation: int
    leaving_version: int
    wanted: tuple[str, ...] = ()


@codec.message("configuration.delta")
@attrs.frozen
class Delta:
    """What the sender has that the asker hasn't.

    Attributes
    ----------
    generation : int
        The sender's generation.
    change_id : str
        The change that made it.
    set_digest : str
        Over all teams' files, so that the asker sees whether its own plus these are the set.
    entries : tuple of HeadEntry
        Teams changed after the asker's generation.
    content : bytes
        Their files, compressed, as many as fit.
    leaving_version : int
        Version of the list of leaving servers.
    leaving : tuple of str
        The list, if it is newer than the asker's.
    """

    generation: int
    change_id: str = ""
    set_digest: str = ""
    entries: tuple[stored.HeadEntry, ...] = ()
    content: bytes = b""
    leaving_version: int = 0
    leaving: tuple[str, ...] = ()


def pack(files: list[stored.TeamIntent]) -> bytes:
    """Return as many files as fit in one reply, at least one, compressed."""
    chosen: list[stored.TeamIntent] = []
    size = 0
    for file in files:
        size += len(file.content)
        if chosen and size > MAX_CONTENT_BYTES:
            break
        chosen.append(file)
    return zlib.compress(msgspec.msgpack.encode(chosen), level=1)


def unpack(content: bytes) -> tuple[stored.TeamIntent, ...]:
    """Return the files of a reply.

    Raises
    ------
    ContentMalformed
        The bytes are no files, or more than a sender may pack.
    """
    try:
        # A hostile or broken peer could send a few bytes that grow without bound.
        inflater = zlib.decompressobj()
        plain = inflater.decompress(content, MAX_PLAIN_BYTES)
        if not inflater.eof:
            raise ContentMalformed("too long or truncated")
        return msgspec.msgpack.decode(plain, type=tuple[stored.TeamIntent, ...])
    except (zlib.error, msgspec.DecodeError, ValueError) as error:
        raise ContentMalformed(str(error)) from error
