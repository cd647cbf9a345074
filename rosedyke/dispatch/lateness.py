"""Tells how long a message was on its way, without clocks that agree.

A message can wait in a socket while the receiver is paused, or in a network that was cut and
healed.  A grant that is read so late may be for a slot that was given to another meanwhile.  The
sender's clock minus the receiver's differs by the offset of the clocks plus the delay, so what
exceeds the smallest difference seen lately is delay.
"""

import attrs

# Clocks drift apart by less than this window's length times 1e-4, far below any delay that counts.
WINDOW_S = 60.0


@attrs.define
class ClockOffset:
    """Differences seen from one sender, in the present window and the one before."""

    started_at: float
    current_min_s: float
    previous_min_s: float = float("inf")


class Lateness:
    """Delays of messages by sender."""

    def __init__(self):
        self.offsets: dict[object, ClockOffset] = {}

    def delay_s(self, sender: object, sent_at: float, now: float) -> float:
        """Return by how much longer a message took than the fastest one lately."""
        difference_s = now - sent_at
        offset = self.offsets.get(sender)
        if offset is None:
            offset = self.offsets[sender] = ClockOffset(now, difference_s)
        if now - offset.started_at > WINDOW_S:
            offset.previous_min_s = offset.current_min_s
            offset.current_min_s = difference_s
            offset.started_at = now
        offset.current_min_s = min(offset.current_min_s, difference_s)
        return difference_s - min(offset.current_min_s, offset.previous_min_s)

    def forget(self, is_gone) -> None:
        """Drop senders for which ``is_gone(sender)`` is true."""
        for sender in [sender for sender in self.offsets if is_gone(sender)]:
            del self.offsets[sender]
