"""Account of the bytes that an instance has handed to its network link.

Load: more bytes are handed to sockets than the link carries.  They queue in the socket buffers,
and every later message waits behind them.
"""

# Headers of TCP, IP and the link layer for each message.
MESSAGE_OVERHEAD_BYTES = 60


class LinkUsage:
    """A leaky bucket that empties at the rate of one direction of the link.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the link, 0 if it is unlimited.

    Attributes
    ----------
    idle_at : float
        When the link has carried everything that was handed to it.
    reserved_s : float
        Time on the link of messages that will be handed to it in a moment.
    """

    def __init__(self, bytes_per_s: float = 0.0):
        self.bytes_per_s = bytes_per_s
        self.idle_at = 0.0
        self.reserved_s = 0.0

    def record(self, size: int, now: float) -> None:
        """Add a message of ``size`` bytes."""
        if self.bytes_per_s:
            # Without calls: it runs twice for each request and message.
            start = self.idle_at if self.idle_at > now else now
            self.idle_at = start + (size + MESSAGE_OVERHEAD_BYTES) / self.bytes_per_s

    def reserve(self, size: int) -> None:
        """Count a message of ``size`` bytes that another task will hand over."""
        if self.bytes_per_s:
            self.reserved_s += self.transmission_s(size)

    def release(self, size: int) -> None:
        """End a reservation, because the message is handed over or dropped now."""
        if self.bytes_per_s:
            self.reserved_s = max(0.0, self.reserved_s - self.transmission_s(size))

    def backlog_s(self, now: float) -> float:
        """Return the time that the recorded messages still take to leave."""
        backlog_s = self.idle_at - now
        return backlog_s if backlog_s > 0.0 else 0.0

    def transmission_s(self, size: int) -> float:
        """Return the time that one message of ``size`` bytes takes on the link."""
        return (size + MESSAGE_OVERHEAD_BYTES) / self.bytes_per_s if self.bytes_per_s else 0.0
