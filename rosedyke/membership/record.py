"""Records and adverts of members, and which of two is the newer."""

from typing import NamedTuple

import attrs

from rosedyke.membership import member
from rosedyke.wire import peer


@attrs.frozen
class Record:
    """The state of one incarnation of a member.

    Attributes
    ----------
    peer : Peer
        The incarnation.
    state : State
        Never ``SUSPECT``, which is derived from ``is_suspected``.
    counter : int
        Incremented by the member itself at each change of its state and to refute a suspicion.
        Messages are addressed to the incarnation, so a refutation doesn't invalidate them.
    is_suspected : bool
        A peer's probes failed since the member last incremented the counter.
    """

    peer: peer.Peer
    state: member.State
    counter: int = 0
    is_suspected: bool = False

    @property
    def name(self) -> str:
        """The member's name."""
        return self.peer.name

    @property
    def is_dead(self) -> bool:
        """Whether this incarnation is over."""
        return self.state is member.State.DEAD

    @property
    def precedence(self) -> tuple[int, bool, int, bool]:
        """Sort key; of two records of one name, the higher one prevails."""
        return (self.peer.incarnation, self.is_dead, self.counter, self.is_suspected)

    def as_member(self) -> member.Member:
        """Return the view entry of this record."""
        visible_state = self.state
        if self.is_suspected and visible_state is member.State.LIVE:
            visible_state = member.State.SUSPECT
        return member.Member(self.peer, visible_state)

    def as_suspected(self) -> "Record":
        """Return this record marked as suspected."""
        return attrs.evolve(self, is_suspected=True)

    def as_dead(self) -> "Record":
        """Return this record with the incarnation marked as dead."""
        return attrs.evolve(self, state=member.State.DEAD)

    def with_next_counter(self, state: member.State | None = None, above: int = 0) -> "Record":
        """Return the member's next record, with a counter above this one's and ``above``."""
        counter = max(self.counter, above) + 1
        return Record(self.peer, state or self.state, counter)


# Encoded size of an advert without its strings and value.
ADVERT_OVERHEAD_BYTES = 20


class Advert(NamedTuple):
    """A small value that a member advertises to all others.

    A named tuple, since it is encoded as an array without field names: adverts make up most of
    the membership traffic.

    Attributes
    ----------
    name, incarnation
        The advertising member.
    topic : str
        What the value is about.
    counter : int
        Incremented by the member with each new value of the topic.
    value : bytes
        At most ``adverts.MAX_VALUE_BYTES``.
    """

    name: str
    incarnation: int
    topic: str
    counter: int
    value: bytes

    @property
    def key(self) -> tuple[str, str]:
        """Member and topic; only the newest advert of each key is kept."""
        return (self.name, self.topic)

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key; of two adverts of one key, the higher one prevails."""
        return (self.incarnation, self.counter)

    @property
    def size(self) -> int:
        """Approximate encoded size in bytes."""
        return ADVERT_OVERHEAD_BYTES + len(self.name) + len(self.topic) + len(self.value)
