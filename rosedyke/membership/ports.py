"""What other packages may ask of the membership."""

from collections.abc import Callable
from typing import Protocol

from rosedyke.membership import member


class Membership(Protocol):
    """The present view and changes to it."""

    @property
    def view(self) -> member.View:
        """The newest view.  Immutable; read again after each blocking call."""

    @property
    def own(self) -> member.Member:
        """The own instance in its present incarnation."""

    def subscribe(self, callback: Callable[[member.View, member.View], None]) -> None:
        """Call ``callback(old, new)`` after each change of the view; it must not block."""

    def advertise(self, topic: str, value: bytes) -> None:
        """Let this instance's probes carry a small value (at most 512 bytes) to its peers."""

    def advertised(self, name: str, topic: str) -> bytes | None:
        """Return the newest value heard from the member of that name."""

    def is_confirmed(self) -> bool:
        """Return whether every member of the own data centre's view has acknowledged it.

        While false, a registrar or slot owner here may not know of state that another holds.
        """

    def leave(self, timeout_s: float) -> bool:
        """Enter LEAVING and return whether every member has acknowledged it in time."""

    def unreachable_data_centres(self) -> frozenset[str]:
        """Return the data centres that this one is cut off from; their members aren't dead."""

    def is_isolated(self) -> bool:
        """Return whether this instance may be cut off from its data centre.

        While true, its peers may declare it dead and give its work to others, so nothing new
        may be granted or taken here.
        """
