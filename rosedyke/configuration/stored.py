"""What lies in the store: keys, and records as JSON that an operator can read there.

A team's record has the file as the operator wrote it and the intent that the check made of it.
Instances take the intent alone: parsing TOML would hold up their tasks for tens of milliseconds.

One key, the head, names the generation and every team's file with its digest.  Each change
rewrites it in the same transaction as the files, so whoever holds a head can tell from the digests
whether the files in hand are exactly those of that generation.
"""

import hashlib
from typing import Any

import attrs
import msgspec

from rosedyke.configuration import intent, ports

# A longer history would only fill the store; 13,000 changes come on a busy day.
HISTORY_LIMIT = 20_000
GENERATION_DIGITS = 12

# Of the records of intent.  Raised when a key is added that an older instance must not overlook.
FORMAT = 1

# States in the platform's lists.
LIVE = "live"
LEAVING = "leaving"


class RecordMalformed(ports.StoreError):
    """A value in the store is not what this program writes there."""

    code = "store_record_malformed"


@attrs.frozen
class HeadEntry:
    """A team's file in the head.

    Attributes
    ----------
    team : str
        Its name.
    generation : int
        The generation that last changed the file.
    digest : str
        Of the file's intent.
    """

    team: str
    generation: int
    digest: str


@attrs.frozen
class Head:
    """One generation of the whole intent.

    Attributes
    ----------
    generation : int
        Grows by one with each change.
    change_id : str
        The change that made it.
    entries : tuple of HeadEntry
        In name order.
    """

    generation: int = 0
    change_id: str = ""
    entries: tuple[HeadEntry, ...] = ()

    def digest(self) -> str:
        """Return one digest over all entries, to tell two sets of files apart."""
        lines = (f"{entry.team} {entry.digest}\n" for entry in self.entries)
        return digest("".join(lines).encode())


@attrs.frozen
class TeamFile:
    """A team's file as accepted.

    Attributes
    ----------
    team : str
        Its name.
    generation : int
        The generation that last changed it.
    operator : str
        Who applied it.
    time : str
        When, in UTC by the operator's clock; for people only.
    text : str
        The file.
    intent : Raw
        The intent in JSON, as ``TeamIntent`` has it.
    format : int
        The format of the intent.
    """

    team: str
    generation: int
    operator: str
    time: str
    text: str
    intent: msgspec.Raw
    format: int = FORMAT

    def as_intent(self) -> "TeamIntent":
        """Return the part that instances hold."""
        return TeamIntent(self.team, self.generation, bytes(self.intent), self.format)


@attrs.frozen
class TeamIntent:
    """A team's checked intent, as instances hold it and hand it on.

    Attributes
    ----------
    team : str
        Its name.
    generation : int
        The generation that last changed it.
    content : bytes
        ``intent.Team`` in JSON.
    format : int
        The format of the content.
    """

    team: str
    generation: int
    content: bytes
    format: int = FORMAT

    @property
    def digest(self) -> str:
        """The digest of the content."""
        return digest(self.content)

    def decode(self) -> intent.Team:
        """Return the intent.

        Raises
        ------
        RecordMalformed
            It is of a later format, or none.
        """
        if self.format > FORMAT:
            raise RecordMalformed(f"team {self.team} has the later format {self.format}")
        return decode(self.content, intent.Team)


@attrs.frozen
class TeamChange:
    """What a change did to one team's file: ``added``, ``changed`` or ``removed``."""

    team: str
    action: str


@attrs.frozen
class ChangeRecord:
    """One accepted change, kept for the history and to settle a lost answer.

    Attributes
    ----------
    generation : int
        The generation that the change made.
    change_id : str
        Chosen by the operator's command, unique.
    operator : str
        Who made it.
    time : str
        When, in UTC by the operator's clock.
    changes : tuple of TeamChange
        What it did.
    """

    generation: int
    change_id: str
    operator: str
    time: str
    changes: tuple[TeamChange, ...]


@attrs.frozen
class ServerRecord:
    """The platform's word on a backend server."""

    state: str = LIVE


@attrs.frozen
class Keys:
    """The keys below a prefix.

    Their order matters: one watch from ``generation`` to the end of ``platform/servers/`` sees
    both what operators and what the platform change.
    """

    prefix: str = "/rosedyke/"

    @property
    def head(self) -> str:
        """The key of the head."""
        return f"{self.prefix}generation"

    @property
    def teams(self) -> ports.Span:
        """All teams' files."""
        return ports.Span.prefix(f"{self.prefix}teams/")

    @property
    def changes(self) -> ports.Span:
        """The history."""
        return ports.Span.prefix(f"{self.prefix}changes/")

    @property
    def servers(self) -> ports.Span:
        """The platform's list of backend servers."""
        return ports.Span.prefix(f"{self.prefix}platform/servers/")

    @property
    def instances(self) -> ports.Span:
        """The platform's list of entry instances."""
        return ports.Span.prefix(f"{self.prefix}platform/instances/")

    @property
    def watched(self) -> ports.Span:
        """What an instance watches."""
        return ports.Span(self.head, self.servers.end)

    def team(self, name: str) -> str:
        """Return the key of a team's file."""
        return f"{self.prefix}teams/{name}"

    def change(self, generation: int) -> str:
        """Return the key of the record of the change that made a generation."""
        return f"{self.prefix}changes/{generation:0{GENERATION_DIGITS}}"


def digest(content: bytes) -> str:
    """Return a digest that tells two contents apart."""
    return hashlib.blake2b(content, digest_size=8).hexdigest()


def encode(record: Any) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes, record_type: type) -> Any:
    """Return a record of the given type.

    Raises
    ------
    RecordMalformed
        The value is no such record.
    """
    try:
        return msgspec.json.decode(value, type=record_type)
    except (msgspec.DecodeError, ValueError) as error:
        raise RecordMalformed(f"{record_type.__name__}: {error}") from error


@attrs.frozen
class Intent:
    """The whole intent as read from the store at one revision.

    Attributes
    ----------
    revision : int
        The store's revision of the reading.
    head : Head
        The generation; an empty head before the first change.
    head_revision : int
        Revision of the head's key, 0 if it isn't there.
    files : dict
        Team name to ``TeamFile``.
    file_revisions : dict
        Team name to the revision of its key.
    """

    revision: int
    head: Head
    head_revision: int
    files: dict[str, TeamFile]
    file_revisions: dict[str, int]


def read_intent(store: ports.Store, keys: Keys) -> Intent:
    """Read the head and all teams' files at one revision."""
    reading = store.read_all(ports.Span(keys.head), keys.teams)
    head, head_revision = Head(), 0
    files, revisions = {}, {}
    for entry in reading.entries:
        if entry.key == keys.head:
            head, head_revision = decode(entry.value, Head), entry.revision
        else:
            file = decode(entry.value, TeamFile)
            files[file.team] = file
            revisions[file.team] = entry.revision
    return Intent(reading.revision, head, head_revision, files, revisions)


def read_instances(store: ports.Store, keys: Keys) -> tuple[ports.PlatformInstance, ...]:
    """Return the platform's list of entry instances, without records of another shape."""
    found = []
    for entry in store.read_all(keys.instances).entries:
        try:
            found.append(decode(entry.value, ports.PlatformInstance))
        except RecordMalformed:
            continue
    return tuple(found)
