"""Recognises messages that arrive twice or come from an earlier life of their sender."""

import collections

import attrs

# Numbers grow by one with each message of a sender and a connection keeps their order; only a
# connection that was replaced can deliver a few of them late.
WIDTH = 1024
MAX_SENDERS = 4096


@attrs.define
class Received:
    """The numbers received from one incarnation of a sender.

    Attributes
    ----------
    incarnation : int
        The newest incarnation heard from.
    highest : int
        The highest number received.
    bits : int
        Bit ``i`` is set if ``highest - i`` was received.
    """

    incarnation: int
    highest: int
    bits: int = 1


class Window:
    """Remembers the recent numbers of each sender, in bounded memory."""

    def __init__(self):
        self.senders: collections.OrderedDict[str, Received] = collections.OrderedDict()

    def accept(self, name: str, incarnation: int, number: int) -> bool:
        """Return whether the message is new, and remember it."""
        received = self.senders.get(name)
        if received is None or received.incarnation < incarnation:
            self.senders[name] = Received(incarnation, number)
            self.senders.move_to_end(name)
            if len(self.senders) > MAX_SENDERS:
                self.senders.popitem(last=False)
            return True
        if incarnation < received.incarnation:
            return False
        self.senders.move_to_end(name)
        ahead = number - received.highest
        if ahead > 0:
            kept = received.bits << ahead if ahead < WIDTH else 0
            received.bits = (kept | 1) & ((1 << WIDTH) - 1)
            received.highest = number
            return True
        if -ahead >= WIDTH or received.bits >> -ahead & 1:
            return False
        received.bits |= 1 << -ahead
        return True

    def newest(self, name: str) -> int:
        """Return the newest incarnation heard from, 0 for none."""
        received = self.senders.get(name)
        return 0 if received is None else received.incarnation
