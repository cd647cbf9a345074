"""Estimates message delays without synchronised clocks.

A message can be delayed in a socket while the receiver is paused, or by a network partition.  The
slot of a delayed grant may have been granted to another holder meanwhile.  The receive time minus
the send time is the clock offset plus the delay, so its excess over the recent minimum is delay.
"""

import attrs

# Clock drift over a window, below 1e-4 of its length, is negligible compared with ``late_s``.
OFFSET_WINDOW_S = 60.0


@attrs.define
class ClockOffset:
    """Minimum clock differences of one sender, in the current window and the previous one."""

    started_at: float
    current_min_s: float
    previous_min_s: float = float("inf")


class DelayEstimator:
    """Estimates message delays by sender."""

    def __init__(self):
        self.offsets: dict[object, ClockOffset] = {}

    def delay_s(self, sender: object, sent_at: float, now: float) -> float:
        """Return the delay of a message in excess of the fastest recent one."""
        difference_s = now - sent_at
        offset = self.offsets.get(sender)
        if offset is None:
            offset = self.offsets[sender] = ClockOffset(now, difference_s)
        if now - offset.started_at > OFFSET_WINDOW_S:
            offset.previous_min_s = offset.current_min_s
            offset.current_min_s = difference_s
            offset.started_at = now
        offset.current_min_s = min(offset.current_min_s, difference_s)
        return difference_s - min(offset.current_min_s, offset.previous_min_s)

    def discard_senders(self, is_departed) -> None:
        """Remove senders for which ``is_departed(sender)`` is true."""
        for sender in [sender for sender in self.offsets if is_departed(sender)]:
            del self.offsets[sender]
