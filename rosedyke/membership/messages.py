"""Messages of the membership protocol."""

import attrs

from rosedyke.membership import record
from rosedyke.wire import codec, peer


@attrs.frozen
class Gossip:
    """Updates piggybacked on other messages."""

    records: tuple[record.Record, ...] = ()
    adverts: tuple[record.Advert, ...] = ()


@attrs.frozen
class PartitionRank:
    """Size of the sender's partition of its data centre, which decides who re-joins after healing.

    Attributes
    ----------
    serving : int
        Members of the data centre that the sender doesn't consider dead.
    first_name : str
        The first of their names, which breaks a tie between partitions of equal size.
    """

    serving: int
    first_name: str

    def outranks(self, other: "PartitionRank") -> bool:
        """Return whether this partition keeps its incarnations and the other one re-joins."""
        if self.serving != other.serving:
            return self.serving > other.serving
        return self.first_name < other.first_name


@codec.message("membership.ping")
@attrs.frozen
class Ping:
    """A direct probe; answered by ``Ack``."""

    gossip: Gossip


@codec.message("membership.ack")
@attrs.frozen
class Ack:
    """Reply of a probed member, or of a helper that reached it for a ``PingRequest``."""

    gossip: Gossip


@codec.message("membership.ping_request")
@attrs.frozen
class PingRequest:
    """A request to probe the target for the sender; answered by ``Ack`` or ``Nack``."""

    target: peer.Peer
    gossip: Gossip


@codec.message("membership.nack")
@attrs.frozen
class Nack:
    """The target didn't answer the helper."""


@codec.message("membership.witness")
@attrs.frozen
class WitnessRequest:
    """Asks a member of another data centre whether it can reach the target."""

    target: peer.Peer


@codec.message("membership.testified")
@attrs.frozen
class WitnessReply:
    """Whether the witness, while not isolated itself, failed to reach the target."""

    is_missed: bool


@codec.message("membership.announce")
@attrs.frozen
class Announce:
    """The sender's state, to be added to the receiver's view.

    Attributes
    ----------
    record : Record
        The record of the announcing member.
    known_incarnation, known_counter : int
        The receiver's record as the sender has it, which saves an announcement in return.
    """

    record: record.Record
    known_incarnation: int = 0
    known_counter: int = -1


@codec.message("membership.acknowledged")
@attrs.frozen
class Acknowledged:
    """The announced state is in the sender's view and applies to all its later actions.

    Attributes
    ----------
    records : tuple of Record
        All records of the acknowledging member's data centre.
    """

    records: tuple[record.Record, ...]


@codec.message("membership.forward")
@attrs.frozen
class Forward:
    """An announcement to a target that the sender can't reach; answered with its reply."""

    target: peer.Peer
    announce: Announce


@codec.message("membership.sync")
@attrs.frozen
class Sync:
    """A comparison of whole tables.

    Attributes
    ----------
    record : Record
        The sender's record.
    records_digest, adverts_digest : int
        Digests of the sender's tables; the reply contains the whole tables that differ.
    """

    record: record.Record
    records_digest: int
    adverts_digest: int


@codec.message("membership.sync_reply")
@attrs.frozen
class SyncReply:
    """The tables that differ, empty where the digests are equal.

    Attributes
    ----------
    record : Record
        The record of the answering member, since the request may have been sent to an address.
    """

    record: record.Record
    gossip: Gossip


@codec.message("membership.push")
@attrs.frozen
class Push:
    """Records that the receiver lacks."""

    gossip: Gossip


@codec.message("membership.rejected")
@attrs.frozen
class Rejected:
    """The receiver's incarnation is dead in the sender's table; the larger partition prevails.

    Attributes
    ----------
    record : Record
        The record of the rejecting member.
    standing : PartitionRank
        The size of its partition.
    records : tuple of Record
        Its whole table, for the member that re-joins.
    """

    record: record.Record
    standing: PartitionRank
    records: tuple[record.Record, ...]


@codec.message("membership.exchange")
@attrs.frozen
class Exchange:
    """A relay's request to another data centre for updates of that data centre.

    Attributes
    ----------
    records_digest : int
        Digest of the answering data centre's records in the sender's table.
    cursor : int
        Position up to which the sender has the answering relay's adverts.
    """

    record: record.Record
    records_digest: int
    cursor: int


@codec.message("membership.exchange_reply")
@attrs.frozen
class ExchangeReply:
    """Updates of the answering member's data centre."""

    gossip: Gossip
    cursor: int
