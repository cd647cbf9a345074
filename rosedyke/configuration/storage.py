"""Keys and records of the store, with records encoded as JSON.

A team's record has both the file as the operator wrote it and the intent derived from it.
Instances use the intent only, as parsing TOML would block their tasks for tens of milliseconds.

One key, the head, has the generation and the digest of every team's file.  Each change updates it
in the same transaction as the files, so that a reader can verify with the digests that its files
are those of the generation.
"""

import hashlib
from typing import Any

import attrs
import msgspec

from rosedyke.configuration import intent, ports

# Change records kept in the store; a busy day has 13,000 changes.
HISTORY_LIMIT = 20_000
GENERATION_DIGITS = 12

# Format of the stored intent, increased when older versions must not ignore an added field.
FORMAT = 1

# States in the platform's lists of servers and instances.
LIVE = "live"
LEAVING = "leaving"


class RecordMalformed(ports.StoreError):
    """A value in the store can't be decoded as the expected record."""

    code = "store_record_malformed"


@attrs.frozen
class HeadEntry:
    """Entry of a team's file in the head.

    Attributes
    ----------
    team : str
        Name of the team.
    generation : int
        Generation that last changed the file.
    digest : str
        Digest of the file's intent.
    """

    team: str
    generation: int
    digest: str


@attrs.frozen
class Head:
    """One generation of the intent: the digests of all teams' files.

    Attributes
    ----------
    generation : int
        Incremented with each change.
    change_id : str
        The change that created the generation.
    entries : tuple of HeadEntry
        Sorted by team.
    """

    generation: int = 0
    change_id: str = ""
    entries: tuple[HeadEntry, ...] = ()

    def digest(self) -> str:
        """Return a digest over the teams and file digests of all entries."""
        lines = (f"{entry.team} {entry.digest}\n" for entry in self.entries)
        return digest("".join(lines).encode())


@attrs.frozen
class TeamFile:
    """An accepted file of a team.

    Attributes
    ----------
    team : str
        Name of the team.
    generation : int
        Generation that last changed the file.
    operator : str
        Operator who applied it.
    time : str
        Time of the change in UTC by the operator's clock, for display only.
    text : str
        Text of the file.
    intent : Raw
        The intent in JSON, as in ``TeamIntent``.
    format : int
        Format version of the intent.
    """

    team: str
    generation: int
    operator: str
    time: str
    text: str
    intent: msgspec.Raw
    format: int = FORMAT

    def as_intent(self) -> "TeamIntent":
        """Return the part of the record that instances use."""
        return TeamIntent(self.team, self.generation, bytes(self.intent), self.format)


@attrs.frozen
class TeamIntent:
    """A team's validated intent, as instances store it and send it to peers.

    Attributes
    ----------
    team : str
        Name of the team.
    generation : int
        Generation that last changed the file.
    content : bytes
        ``intent.Team`` in JSON.
    format : int
        Format version of the content.
    """

    team: str
    generation: int
    content: bytes
    format: int = FORMAT

    @property
    def digest(self) -> str:
        """Digest of the content."""
        return digest(self.content)

    def decode(self) -> intent.Team:
        """Return the intent.

        Raises
        ------
        RecordMalformed
            The content is invalid or has a later format.
        """
        if self.format > FORMAT:
            raise RecordMalformed(
                f"intent of team {self.team} has format {self.format}, newer than {FORMAT}"
            )
        return decode(self.content, intent.Team)


@attrs.frozen
class TeamChange:
    """Effect of a change on one team's file: ``added``, ``changed`` or ``removed``."""

    team: str
    action: str


@attrs.frozen
class ChangeRecord:
    """Record of an accepted change, for the history and to resolve a lost reply.

    Attributes
    ----------
    generation : int
        Generation that the change created.
    change_id : str
        Unique identifier, chosen by the operator's command.
    operator : str
        Operator who made the change.
    time : str
        Time of the change in UTC by the operator's clock.
    changes : tuple of TeamChange
        Effect on each team's file.
    """

    generation: int
    change_id: str
    operator: str
    time: str
    changes: tuple[TeamChange, ...]


@attrs.frozen
class ServerRecord:
    """State of a backend server, as listed by the platform."""

    state: str = LIVE


@attrs.frozen
class Keys:
    """Layout of the keys below a prefix.

    The order of the names matters: a single watch from ``generation`` to the end of
    ``platform/servers/`` covers the changes of both operators and the platform.
    """

    prefix: str = "/rosedyke/"

    @property
    def head(self) -> str:
        """Key of the head."""
        return f"{self.prefix}generation"

    @property
    def teams(self) -> ports.KeyRange:
        """Keys of all teams' files."""
        return ports.KeyRange.prefix(f"{self.prefix}teams/")

    @property
    def changes(self) -> ports.KeyRange:
        """Keys of the change records."""
        return ports.KeyRange.prefix(f"{self.prefix}changes/")

    @property
    def servers(self) -> ports.KeyRange:
        """Keys of the platform's list of backend servers."""
        return ports.KeyRange.prefix(f"{self.prefix}platform/servers/")

    @property
    def instances(self) -> ports.KeyRange:
        """Keys of the platform's list of entry instances."""
        return ports.KeyRange.prefix(f"{self.prefix}platform/instances/")

    @property
    def watched(self) -> ports.KeyRange:
        """Keys that an instance watches."""
        return ports.KeyRange(self.head, self.servers.end)

    def team(self, name: str) -> str:
        """Return the key of a team's file."""
        return f"{self.prefix}teams/{name}"

    def change(self, generation: int) -> str:
        """Return the key of the record of the change that created a generation."""
        return f"{self.prefix}changes/{generation:0{GENERATION_DIGITS}}"


def digest(content: bytes) -> str:
    """Return the hexadecimal digest of a content."""
    return hashlib.blake2b(content, digest_size=8).hexdigest()


def encode(record: Any) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes, record_type: type) -> Any:
    """Return a record of the given type.

    Raises
    ------
    RecordMalformed
        The value can't be decoded as such a record.
    """
    try:
        return msgspec.json.decode(value, type=record_type)
    except (msgspec.DecodeError, ValueError) as error:
        raise RecordMalformed(f"{record_type.__name__}: {error}") from error


@attrs.frozen
class StoredIntent:
    """The head and all teams' files, read from the store at one revision.

    Attributes
    ----------
    revision : int
        Store revision of the read.
    head : Head
        Head of the generation; empty before the first change.
    head_revision : int
        Revision of the head's key, 0 if it doesn't exist.
    files : dict
        Team name to ``TeamFile``.
    file_revisions : dict
        Team name to the revision of the file's key.
    """

    revision: int
    head: Head
    head_revision: int
    files: dict[str, TeamFile]
    file_revisions: dict[str, int]


def read_intent(store: ports.Store, keys: Keys) -> StoredIntent:
    """Read the head and all teams' files at one revision."""
    result = store.read_all(ports.KeyRange(keys.head), keys.teams)
    head, head_revision = Head(), 0
    files, file_revisions = {}, {}
    for entry in result.entries:
        if entry.key == keys.head:
            head, head_revision = decode(entry.value, Head), entry.revision
        else:
            file = decode(entry.value, TeamFile)
            files[file.team] = file
            file_revisions[file.team] = entry.revision
    return StoredIntent(result.revision, head, head_revision, files, file_revisions)


def read_instances(store: ports.Store, keys: Keys) -> tuple[ports.PlatformInstance, ...]:
    """Return the platform's list of entry instances, without malformed records."""
    platform_instances = []
    for entry in store.read_all(keys.instances).entries:
        try:
            platform_instances.append(decode(entry.value, ports.PlatformInstance))
        except RecordMalformed:
            continue
    return tuple(platform_instances)
