"""Sliding-window detection of duplicate messages and of those from earlier incarnations."""

import collections

import attrs

# In messages.  A connection keeps their order, so only a replaced connection can deliver a few
# of them late.
WINDOW_SIZE = 1024
MAX_SENDERS = 4096


@attrs.define
class SenderWindow:
    """Message numbers received from one incarnation of a sender.

    Attributes
    ----------
    incarnation : int
        The newest incarnation that a message was received from.
    highest : int
        The highest message number received.
    received_bits : int
        Bit ``i`` is set if number ``highest - i`` was received.
    """

    incarnation: int
    highest: int
    received_bits: int = 1


class ReplayWindow:
    """The recent message numbers of each sender, in bounded memory."""

    def __init__(self):
        self.senders: collections.OrderedDict[str, SenderWindow] = collections.OrderedDict()

    def accept(self, name: str, incarnation: int, number: int) -> bool:
        """Record a message number and return whether it is new."""
        sender_window = self.senders.get(name)
        if sender_window is None or sender_window.incarnation < incarnation:
            self.senders[name] = SenderWindow(incarnation, number)
            self.senders.move_to_end(name)
            if len(self.senders) > MAX_SENDERS:
                self.senders.popitem(last=False)
            return True
        if incarnation < sender_window.incarnation:
            return False
        self.senders.move_to_end(name)
        ahead = number - sender_window.highest
        if ahead > 0:
            shifted_bits = sender_window.received_bits << ahead if ahead < WINDOW_SIZE else 0
            sender_window.received_bits = (shifted_bits | 1) & ((1 << WINDOW_SIZE) - 1)
            sender_window.highest = number
            return True
        if -ahead >= WINDOW_SIZE or sender_window.received_bits >> -ahead & 1:
            return False
        sender_window.received_bits |= 1 << -ahead
        return True

    def newest_incarnation(self, name: str) -> int:
        """Return the newest incarnation received from a sender, 0 for none."""
        sender_window = self.senders.get(name)
        return 0 if sender_window is None else sender_window.incarnation
