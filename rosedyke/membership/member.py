"""A member of the region's membership and the immutable view of all of them."""

import enum

import attrs

from rosedyke.membership import rendezvous
from rosedyke.wire import peer


class State(enum.Enum):
    """State of a member as agreed on in its data centre."""

    JOINING = "joining"  # not yet acknowledged by every live member; accepts no callers
    LIVE = "live"
    SUSPECT = "suspect"  # probes failed; still a member until declared dead
    LEAVING = "leaving"  # draining: accepts no new claims, still serves those it holds
    DEAD = "dead"  # final for this incarnation


# States in which a member may hold new claims and own slots.
SERVING_STATES = frozenset({State.LIVE, State.SUSPECT})


@attrs.frozen
class Member:
    """One instance as seen in a view."""

    peer: peer.Peer
    state: State

    @property
    def name(self) -> str:
        """The instance's name."""
        return self.peer.name

    @property
    def data_centre(self) -> str:
        """The data centre in which the instance runs."""
        return self.peer.data_centre


@attrs.frozen
class View:
    """Immutable snapshot of all known members, in name order.

    Attributes
    ----------
    members : tuple of Member
        One entry for each name, with its newest incarnation.
    """

    members: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """Return the member of that name."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def serving(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre that may hold new claims and own slots."""
        return tuple(
            member
            for member in self.members
            if member.data_centre == data_centre and member.state in SERVING_STATES
        )

    def data_centres(self) -> tuple[str, ...]:
        """Return the data centres with at least one member that is not dead, in name order."""
        alive = {m.data_centre for m in self.members if m.state is not State.DEAD}
        return tuple(sorted(alive))

    def ranked(self, key: str, data_centre: str) -> tuple[Member, ...]:
        """Return the serving members of a data centre in rendezvous order for ``key``."""
        by_name = {member.name: member for member in self.serving(data_centre)}
        return tuple(by_name[name] for name in rendezvous.rank(key, by_name))
