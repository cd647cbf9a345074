"""Messages of the membership protocol."""

import attrs

from rosedyke.membership import record
from rosedyke.wire import codec, peer


@attrs.frozen
class Gossip:
    """Updates that ride on other messages."""

    records: tuple[record.Record, ...] = ()
    adverts: tuple[record.Advert, ...] = ()


@attrs.frozen
class Standing:
    """How large the sender's part of its data centre is, to settle a healed partition.

    Attributes
    ----------
    serving : int
        Members that the sender sees serving in its data centre.
    first_name : str
        The first of their names, which decides between parts of the same size.
    """

    serving: int
    first_name: str

    def beats(self, other: "Standing") -> bool:
        """Return whether this part keeps its incarnations and the other re-joins."""
        if self.serving != other.serving:
            return self.serving > other.serving
        return self.first_name < other.first_name


@codec.message("membership.ping")
@attrs.frozen
class Ping:
    """Are you there?  Answered by ``Ack``."""

    gossip: Gossip


@codec.message("membership.ack")
@attrs.frozen
class Ack:
    """I am there, or whom you asked me to probe is."""

    gossip: Gossip


@codec.message("membership.ping_request")
@attrs.frozen
class PingRequest:
    """Probe the target for me; answered by ``Ack`` or ``Nack``."""

    target: peer.Peer
    gossip: Gossip


@codec.message("membership.nack")
@attrs.frozen
class Nack:
    """The target didn't answer me either."""


@codec.message("membership.witness")
@attrs.frozen
class Witness:
    """Do you, in another data centre, reach the target?  Answered by ``Testified``."""

    target: peer.Peer


@codec.message("membership.testified")
@attrs.frozen
class Testified:
    """Whether the target was missed by an instance that is not cut off itself."""

    is_missed: bool


@codec.message("membership.announce")
@attrs.frozen
class Announce:
    """Take my state into your view.

    Attributes
    ----------
    record : Record
        The announcing member's own.
    known_incarnation, known_counter : int
        What it knows of the addressee, so that this one needn't announce itself in turn.
    """

    record: record.Record
    known_incarnation: int = 0
    known_counter: int = -1


@codec.message("membership.acknowledged")
@attrs.frozen
class Acknowledged:
    """The announced state is in my view, and what I do from now on follows that view.

    Attributes
    ----------
    records : tuple of Record
        All of the acknowledging member's data centre.
    """

    records: tuple[record.Record, ...]


@codec.message("membership.forward")
@attrs.frozen
class Forward:
    """Announce me to the target, which I can't reach; answered as by the target."""

    target: peer.Peer
    announce: Announce


@codec.message("membership.sync")
@attrs.frozen
class Sync:
    """Compare the whole tables.

    Attributes
    ----------
    record : Record
        The sender's own.
    records_digest, adverts_digest : int
        Of the sender's tables; what differs comes back whole.
    """

    record: record.Record
    records_digest: int
    adverts_digest: int


@codec.message("membership.sync_reply")
@attrs.frozen
class SyncReply:
    """What differs, empty where the digests are the same.

    Attributes
    ----------
    record : Record
        The answering member's own, since a table can be asked for by address alone.
    """

    record: record.Record
    gossip: Gossip


@codec.message("membership.push")
@attrs.frozen
class Push:
    """Records that the receiver turned out not to have."""

    gossip: Gossip


@codec.message("membership.rejected")
@attrs.frozen
class Rejected:
    """Your incarnation is over here; the larger part of the data centre prevails.

    Attributes
    ----------
    record : Record
        The rejecting member's own.
    standing : Standing
        How large its part is.
    records : tuple of Record
        Its whole table, for the one that re-joins.
    """

    record: record.Record
    standing: Standing
    records: tuple[record.Record, ...]


@codec.message("membership.exchange")
@attrs.frozen
class Exchange:
    """A relay asks a relay of another data centre for that one's news.

    Attributes
    ----------
    records_digest : int
        Of the answering data centre's records as the sender knows them.
    cursor : int
        Up to where the sender has that relay's adverts.
    """

    record: record.Record
    records_digest: int
    cursor: int


@codec.message("membership.exchange_reply")
@attrs.frozen
class ExchangeReply:
    """News of the answering relay's own data centre."""

    gossip: Gossip
    cursor: int
