"""Settings of the transport between entry instances."""

import ipaddress

import attrs

MIB = 1024 * 1024


@attrs.frozen
class TransportSettings:
    """How an instance is reached by its peers and what it accepts from them.

    Attributes
    ----------
    name : str
        The instance's name, unique in its region.
    data_centre : str
        Where the instance runs.
    address : str
        ``ip:port`` to bind; port 0 lets the kernel choose one.
    key : str
        Secret that all instances share; empty turns encryption and authentication off, which
        only an address on loopback allows.
    queue_bound : int
        Messages that may wait for one peer before a sender gets an error.
    max_message_bytes : int
        Longer messages are neither sent nor accepted.
    max_handlers : int
        Handlers that run at one time; while all are busy nothing more is read from peers.
    idle_s : float
        A connection unused for this many seconds is closed.
    silence_s : float
        A connection is replaced when requests on it went unanswered for this many seconds.
    unacknowledged_s : float
        TCP gives a connection up when sent bytes stay unacknowledged for this many seconds.
    reconnect_limit_s : float
        A lost connection is tried again ever later, up to this.
    connect_timeout_s : float
        An attempt to connect is given up after this; 0 leaves it to the system, whose second
        packet to a peer behind a cut leaves after a second, the next ones ever later.
    is_network_trusted : bool
        Only instances of ours can reach the address, so no key is needed although it is not on
        loopback; for platforms that keep the ports between instances to themselves.
    protocol_version : int
        The version that this instance speaks; None is the version of the codec.
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

    @property
    def host(self) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
        """The address without its port."""
        return ipaddress.ip_address(self.address.rpartition(":")[0].strip("[]"))

    @property
    def is_loopback(self) -> bool:
        """Whether only processes of the same machine can reach the address."""
        return self.host.is_loopback

    @property
    def is_unspecified(self) -> bool:
        """Whether the address stands for all of the machine, so that no peer could use it."""
        return self.host.is_unspecified
