"""Chooses the updates that ride on the next message, a bounded number of times each."""

import math

import attrs

from rosedyke.membership import messages, record

# A record is sent this many times the logarithm of the members, which reaches all of them with
# overwhelming likelihood; the rare miss is mended by the comparison of whole tables.
RECORD_REPEATS = 1.5
# An advert is soon followed by a newer one, and the comparison of tables carries it as well.
OWN_ADVERT_REPEATS = 6
OTHER_ADVERT_REPEATS = 3
# An encoded record without its texts.
RECORD_BYTES = 90


@attrs.define
class Update:
    """A record or advert and how often it may still be sent."""

    content: record.Record | record.Advert
    size: int
    left: int


def _choose(queue, room):
    """Take updates that fit into ``room`` bytes, the least often sent first.

    One that is larger than the whole room still goes, alone, or it would never be sent.
    """
    chosen = []
    for update in sorted(queue.values(), key=lambda update: -update.left):
        if room <= 0 or (update.size > room and chosen):
            continue
        room -= update.size
        update.left -= 1
        chosen.append(update.content)
    for key in [key for key, update in queue.items() if update.left <= 0]:
        del queue[key]
    return tuple(chosen), room


class GossipQueue:
    """Updates still to be spread, records before the own adverts before those of others."""

    def __init__(self, record_room: int, advert_room: int):
        self.record_room = record_room
        self.advert_room = advert_room
        self.records: dict[str, Update] = {}
        self.own_adverts: dict[tuple[str, str], Update] = {}
        self.adverts: dict[tuple[str, str], Update] = {}

    def add_record(self, new: record.Record, members: int) -> None:
        """Spread a record, in place of an older one of the same name."""
        size = RECORD_BYTES + len(new.name) + len(new.peer.data_centre) + len(new.peer.address)
        left = math.ceil(RECORD_REPEATS * math.log2(members + 1))
        self.records[new.name] = Update(new, size, left)

    def add_advert(self, new: record.Advert, is_own: bool) -> None:
        """Spread an advert, in place of an older one of the same key."""
        if is_own:
            self.own_adverts[new.key] = Update(new, new.size, OWN_ADVERT_REPEATS)
        else:
            self.adverts[new.key] = Update(new, new.size, OTHER_ADVERT_REPEATS)

    def clear(self) -> None:
        """Spread nothing of what was queued."""
        self.records.clear()
        self.own_adverts.clear()
        self.adverts.clear()

    def take(self) -> messages.Gossip:
        """Return the updates for the next message."""
        records, left = _choose(self.records, self.record_room)
        used = self.record_room - left
        own, left = _choose(self.own_adverts, self.advert_room - used)
        others, _ = _choose(self.adverts, left)
        return messages.Gossip(records, own + others)
