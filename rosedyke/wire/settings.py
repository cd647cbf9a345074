"""Settings of the transport between entry instances."""

import ipaddress

import attrs

MIB = 1024 * 1024


@attrs.frozen
class TransportSettings:
    """Address, authentication and limits of the transport.

    Attributes
    ----------
    name : str
        The instance's name, unique in its region.
    data_centre : str
        Where the instance runs.
    address : str
        ``ip:port`` to bind; with port 0 the kernel chooses a port.
    key : str
        Secret shared by all instances; empty disables encryption and authentication, which is
        allowed only on loopback or with ``is_network_trusted``.
    queue_bound : int
        Messages queued for one peer before a sender gets an error.
    max_message_bytes : int
        Maximum size of messages sent and received.
    max_handlers : int
        Maximum number of handlers that run concurrently; no messages are read while it is
        reached.
    idle_s : float
        Seconds after which an unused connection is closed.
    silence_s : float
        Seconds without an answer to any request after which a connection is replaced.
    unacknowledged_s : float
        Seconds that sent bytes may stay unacknowledged before TCP closes the connection.
    reconnect_limit_s : float
        Maximum backoff in seconds between two attempts to reconnect.
    connect_timeout_s : float
        Timeout in seconds of an attempt to connect; 0 leaves it to the system, whose
        retransmission backoff delays connecting after a network partition heals.
    is_network_trusted : bool
        Allows an empty key off loopback, for platforms on which only entry instances can reach
        the address.
    protocol_version : int
        The protocol version to use; None is the version of the codec.
    advertised_address : str
        ``ip:port`` that peers connect to if it is not the bound one, as behind address translation;
        empty for the bound one.
    """

    name: str
    data_centre: str
    address: str
    key: str = attrs.field(default="", repr=False)
    queue_bound: int = 1000
    max_message_bytes: int = 16 * MIB
    max_handlers: int = 4096
    idle_s: float = 60.0
    silence_s: float = 0.5
    unacknowledged_s: float = 3.0
    reconnect_limit_s: float = 1.0
    connect_timeout_s: float = 0.0
    is_network_trusted: bool = False
    protocol_version: int | None = None
    advertised_address: str = ""

    @property
    def host(self) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
        """The IP address to bind."""
        return ipaddress.ip_address(self.address.rpartition(":")[0].strip("[]"))

    @property
    def is_loopback(self) -> bool:
        """Whether the address is on loopback."""
        return self.host.is_loopback

    @property
    def is_unspecified(self) -> bool:
        """Whether the address is a wildcard such as 0.0.0.0, which peers can't connect to."""
        return self.host.is_unspecified
