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
class Clock:
    """Differences seen from one sender, in the present window and the one before."""

    started_at: float
    present: float
    previous: float = float("inf")


class Lateness:
    """Delays of messages by sender."""

    def __init__(self):
        self.clocks: dict[object, Clock] = {}

    def delay_s(self, sender: object, sent_at: float, now: float) -> float:
        """Return by how much longer a message took than the fastest one lately."""
        difference = now - sent_at
        clock = self.clocks.get(sender)
        if clock is None:
            clock = self.clocks[sender] = Clock(now, difference)
        if now - clock.started_at > WINDOW_S:
            clock.previous = clock.present
            clock.present = difference
            clock.started_at = now
        clock.present = min(clock.present, difference)
        return difference - min(clock.present, clock.previous)

    def forget(self, is_gone) -> None:
        """Drop senders for which ``is_gone(sender)`` is true."""
        for sender in [sender for sender in self.clocks if is_gone(sender)]:
            del self.clocks[sender]
