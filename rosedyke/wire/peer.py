"""Peers of an entry instance and the interface for sending messages to them.

Other packages depend only on the ``Peers`` interface, implemented by the pyzmq transport or a
fake.
"""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from rosedyke import fault


class PeerError(fault.RosedykeError):
    """A message to a peer could not be delivered or was not answered."""

    code = "peer_error"


class PeerTimeout(PeerError):
    """No reply before the timeout.  The peer may or may not have acted on the message."""

    code = "peer_timeout"


class PeerNotSent(PeerError):
    """The message was not sent."""

    code = "peer_not_sent"


class PeerAddressInvalid(PeerNotSent):
    """The peer's address can't be connected to, because it is none."""

    code = "peer_address_invalid"


class PeerQueueFull(PeerNotSent):
    """The outgoing queue to the peer is full; the message was not sent."""

    code = "peer_queue_full"


class PeerRefused(PeerError):
    """The peer can't handle the message, for example because of its protocol version."""

    code = "peer_refused"


class PeerOutdated(PeerRefused):
    """The peer knows a newer incarnation of this instance; the message was not acted on.

    This happens when a replacement machine's clock is behind, so its incarnation is too low.

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
        Increases with each start or re-join of the instance, so that a message to an earlier
        incarnation is never mistaken for one to the present incarnation.
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
    """Return a peer that addresses whichever instance is at the address."""
    return Peer("", 0, "", address)


def is_address_only(target: Peer) -> bool:
    """Return whether ``target`` is only an address, as made by ``at_address``."""
    return not target.name


class Peers(Protocol):
    """Sends typed messages to peers and dispatches received ones to handlers.

    Every message is an attrs class registered with ``codec.message``.
    """

    @property
    def own(self) -> Peer:
        """The present incarnation of this instance."""

    def handle(self, message_type: type, handler: Handler, may_block: bool = True) -> None:
        """Call ``handler(sender, message)`` for each message of the type.

        The handler's return value is sent as the reply, unless it is None.

        Parameters
        ----------
        may_block : bool
            Whether each call runs in a task of its own; if not, the receiving task makes the
            call, which saves creating a task.
        """

    def send(self, peer: Peer, message: Any) -> None:
        """Queue a message that needs no reply.

        Raises
        ------
        PeerQueueFull
            The outgoing queue to the peer is full.
        """

    def request(self, peer: Peer, message: Any, timeout_s: float) -> Any:
        """Send a message and block until its reply arrives.

        A request to ``own`` calls the handler directly, without using the network.

        Raises
        ------
        PeerError
            A subclass says whether the peer may have acted on the message.
        """

    def start_request(
        self, peer: Peer, message: Any, on_reply: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Send a message to another instance and return without waiting for its reply.

        Parameters
        ----------
        on_reply : callable
            Called with the reply, or with the ``PeerError`` that came in its place.

        Returns
        -------
        callable
            Ends the request.  Must be called once its caller no longer waits.

        Raises
        ------
        PeerError
            The message was not sent.
        """

    def new_incarnation(self, after: int = 0) -> Peer:
        """Start an incarnation above ``after``; messages to the old one raise ``PeerGone``."""

    def disconnect(self, peer: Peer) -> None:
        """Release the connection to a peer that is gone."""
