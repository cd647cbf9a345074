"""What is told about one member, and which of two such records is the newer."""

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
        ``SUSPECT`` never stands here; it follows from ``is_suspected``.
    counter : int
        Raised by the member itself with each change of its state and to refute a suspicion.
        Messages stay addressed to the incarnation, so a refutation doesn't disturb them.
    is_suspected : bool
        A peer missed the member's answers since it last raised the counter.
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
        """Of two records of one name, that with the higher value holds."""
        return (self.peer.incarnation, self.is_dead, self.counter, self.is_suspected)

    def as_member(self) -> member.Member:
        """Return the entry of the view."""
        shown = self.state
        if self.is_suspected and shown is member.State.LIVE:
            shown = member.State.SUSPECT
        return member.Member(self.peer, shown)

    def suspected(self) -> "Record":
        """Return the record under suspicion."""
        return attrs.evolve(self, is_suspected=True)

    def dead(self) -> "Record":
        """Return the record of the incarnation's end."""
        return attrs.evolve(self, state=member.State.DEAD)

    def raised(self, state: member.State | None = None, above: int = 0) -> "Record":
        """Return the record that the member itself puts in place of this one."""
        counter = max(self.counter, above) + 1
        return Record(self.peer, state or self.state, counter)


# An encoded advert without its texts.
ADVERT_BYTES = 20


class Advert(NamedTuple):
    """A small value that a member lets everyone know.

    A named tuple, since it travels as an array without the names of its fields: adverts are most
    of what the members send each other.

    Attributes
    ----------
    name, incarnation
        The member that says it.
    topic : str
        What the value is about.
    counter : int
        Raised by the member with each new value of the topic.
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
        """Of one key, only the newest advert is kept."""
        return (self.name, self.topic)

    @property
    def precedence(self) -> tuple[int, int]:
        """Of two adverts of one key, that with the higher value holds."""
        return (self.incarnation, self.counter)

    @property
    def size(self) -> int:
        """Roughly how many bytes it takes in a message."""
        return ADVERT_BYTES + len(self.name) + len(self.topic) + len(self.value)
