"""Messages between instances that distribute generations."""

import zlib

import attrs
import msgspec

from rosedyke.configuration import storage
from rosedyke.wire import codec

# Keeps a reply well below the transport's message size limit; the rest takes further pulls.
MAX_CONTENT_BYTES = 256 * 1024
# Limit of a decompressed reply, which may consist of one file above MAX_CONTENT_BYTES.
MAX_DECOMPRESSED_BYTES = 2 * 1024 * 1024


class ContentMalformed(codec.CodecError):
    """The content of a reply can't be decoded."""

    code = "configuration_content_malformed"


@codec.message("configuration.announce")
@attrs.frozen
class Announce:
    """Announces the sender's generation and version of the list of leaving servers."""

    generation: int
    leaving_version: int


@codec.message("configuration.pull")
@attrs.frozen
class Pull:
    """Requests what is newer than the requester's version.

    Attributes
    ----------
    generation : int
        The requester's generation; 0 requests all entries.
    leaving_version : int
        The requester's version of the list of leaving servers.
    wanted : tuple of str
        Teams whose files are requested, after a reply without them; empty for all changed teams.
    """

    generation: int
    leaving_version: int
    wanted: tuple[str, ...] = ()


@codec.message("configuration.delta")
@attrs.frozen
class Delta:
    """Reply to ``Pull`` with what is newer at the sender.

    Attributes
    ----------
    generation : int
        The sender's generation.
    change_id : str
        The change that created it.
    set_digest : str
        Digest over all teams' files; verifies the requester's entries merged with these.
    entries : tuple of HeadEntry
        Teams changed after the requester's generation.
    content : bytes
        As many of their files as fit, compressed.
    leaving_version : int
        Version of the list of leaving servers.
    leaving : tuple of str
        The list, if it is newer than the requester's.
    """

    generation: int
    change_id: str = ""
    set_digest: str = ""
    entries: tuple[storage.HeadEntry, ...] = ()
    content: bytes = b""
    leaving_version: int = 0
    leaving: tuple[str, ...] = ()


def pack(files: list[storage.TeamIntent]) -> bytes:
    """Return the files that fit in one reply, at least one, compressed."""
    chosen: list[storage.TeamIntent] = []
    size = 0
    for file in files:
        size += len(file.content)
        if chosen and size > MAX_CONTENT_BYTES:
            break
        chosen.append(file)
    return zlib.compress(msgspec.msgpack.encode(chosen), level=1)


def unpack(content: bytes) -> tuple[storage.TeamIntent, ...]:
    """Return the files of a reply.

    Raises
    ------
    ContentMalformed
        The content is invalid or exceeds the size limit.
    """
    try:
        # Limits the output, as a few bytes from a malicious peer can expand without bound.
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(content, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise ContentMalformed("content truncated or above the size limit")
        return msgspec.msgpack.decode(decompressed, type=tuple[storage.TeamIntent, ...])
    except (zlib.error, msgspec.DecodeError, ValueError) as error:
        raise ContentMalformed(str(error)) from error
