"""Interface of the membership for other packages."""

from collections.abc import Callable
from typing import Protocol

from rosedyke.membership import member


class Membership(Protocol):
    """The current view of the members and this instance's state."""

    @property
    def view(self) -> member.View:
        """The current view.  Immutable; read it again after each blocking call."""

    @property
    def own(self) -> member.Member:
        """The current incarnation and state of this instance."""

    def subscribe(self, callback: Callable[[member.View, member.View], None]) -> None:
        """Call ``callback(old, new)`` after each change of the view; it must not block."""

    def advertise(self, topic: str, value: bytes) -> None:
        """Spread a value of at most 512 bytes to all members by gossip."""

    def advertised(self, name: str, topic: str) -> bytes | None:
        """Return the newest value advertised by the member of that name."""

    def is_confirmed(self) -> bool:
        """Return whether every member of the local data centre has acknowledged this instance.

        While false, a registrar or slot owner here may lack state that another instance holds.
        """

    def leave(self, timeout_s: float) -> bool:
        """Enter LEAVING and return whether every member has acknowledged it in time."""

    def unreachable_data_centres(self) -> frozenset[str]:
        """Return the data centres that can't be reached; their members are not declared dead."""

    def is_isolated(self) -> bool:
        """Return whether this instance may be isolated from its data centre.

        While true, its peers may declare it dead and take over its work, so it must not grant or
        accept anything new.
        """

    def wait_for_first_answer(self) -> None:
        """Block while this instance is isolated only because its first peer has just appeared.

        Until that peer answers it can't be told from one that has declared this instance dead.
        The wait is short and bounded; ``is_isolated`` tells the outcome.
        """
