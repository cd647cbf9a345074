"""Another entry instance, and what can be asked of it.

Aggregates see only the ``Peers`` interface; the transport behind it can be pyzmq or a fake.
"""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from rosedyke import fault


class PeerError(fault.RosedykeError):
    """A message to a peer could not be delivered or was not answered."""

    code = "peer_error"


class PeerTimeout(PeerError):
    """No reply in time.  The peer may or may not have acted on the message."""

    code = "peer_timeout"


class PeerQueueFull(PeerError):
    """The bounded queue to the peer is full; the message was not sent."""

    code = "peer_queue_full"


class PeerRefused(PeerError):
    """The peer answered that it can't handle the message, for example for its version."""

    code = "peer_refused"


class PeerOutdated(PeerRefused):
    """The peer knows a newer incarnation of this instance; the message was not acted on.

    Happens when the clock of a replaced machine is behind: its incarnation is too low.

    Attributes
    ----------
    newest : int
        The incarnation that the peer knows.
    """

    code = "peer_outdated"

    def __init__(self, detail: str, newest: int):
        super().__init__(detail)
        self.newest = newest


class PeerGone(PeerError):
    """The peer's incarnation is not the one addressed; the message was not acted on."""

    code = "peer_gone"


@attrs.frozen
class Peer:
    """One incarnation of one entry instance.

    Attributes
    ----------
    name : str
        The instance's name, unique in its region.
    incarnation : int
        Grows with each start or re-join of the instance, so that a message to an earlier
        life is never taken for one to this life.
    data_centre : str
        Where the instance runs.
    address : str
        ``ip:port`` of the instance's ROUTER socket.
    """

    name: str
    incarnation: int
    data_centre: str
    address: str


Handler = Callable[[Peer, Any], Any]


def at_address(address: str) -> Peer:
    """Return a peer that stands for whichever instance has the address, in any incarnation."""
    return Peer("", 0, "", address)


def is_anyone(target: Peer) -> bool:
    """Return whether ``target`` is only an address, as made by ``at_address``."""
    return not target.name


class Peers(Protocol):
    """Sends typed messages to peers and dispatches those that arrive.

    Every message is an attrs class registered with ``codec.message``.
    """

    @property
    def own(self) -> Peer:
        """The own instance's present incarnation."""

    def handle(self, message_type: type, handler: Handler, may_block: bool = True) -> None:
        """Call ``handler(sender, message)`` for each such message.

        What the handler returns is the reply; None sends none.

        Parameters
        ----------
        may_block : bool
            Each call gets a task of its own; else it is made by the task that reads, which saves
            what a task costs.
        """

    def send(self, peer: Peer, message: Any) -> None:
        """Queue a message that needs no reply.

        Raises
        ------
        PeerQueueFull
            The peer's queue is at its bound.
        """

    def request(self, peer: Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block for its reply.

        A request to ``own`` calls the handler directly, with no message on the network.

        Raises
        ------
        PeerError
            One of the subclasses above says what is known.
        """

    def new_incarnation(self, after: int = 0) -> Peer:
        """Begin a new life, higher than ``after``; messages to the old one get ``PeerGone``."""

    def forget(self, peer: Peer) -> None:
        """Release what is held for a peer that is gone."""
