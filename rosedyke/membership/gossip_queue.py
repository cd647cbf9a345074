"""Queue of updates to piggyback on messages, each sent a bounded number of times."""

import math

import attrs

from rosedyke.membership import messages, record

# Sends of a record per binary logarithm of the member count, enough to reach all members with
# high probability; the comparison of whole tables repairs a miss.
RECORD_SENDS_FACTOR = 1.5
# Fewer sends suffice for adverts: newer ones follow soon, and tables are compared as well.
OWN_ADVERT_SENDS = 6
OTHER_ADVERT_SENDS = 3
# Encoded size of a record without its strings.
RECORD_OVERHEAD_BYTES = 90


@attrs.define
class Update:
    """A queued record or advert and its remaining sends."""

    content: record.Record | record.Advert
    size: int
    remaining_sends: int


def _take_updates(queue, byte_budget):
    """Return updates that fit into ``byte_budget``, the least often sent first, and the remainder.

    An update larger than the whole budget is taken alone, as it would never be sent otherwise.
    """
    taken = []
    for update in sorted(queue.values(), key=lambda update: -update.remaining_sends):
        if byte_budget <= 0 or (update.size > byte_budget and taken):
            continue
        byte_budget -= update.size
        update.remaining_sends -= 1
        taken.append(update.content)
    for key in [key for key, update in queue.items() if update.remaining_sends <= 0]:
        del queue[key]
    return tuple(taken), byte_budget


class GossipQueue:
    """Updates to send: records first, then local adverts, then those of other members."""

    def __init__(self, record_budget: int, advert_budget: int):
        self.record_budget = record_budget
        self.advert_budget = advert_budget
        self.records: dict[str, Update] = {}
        self.own_adverts: dict[tuple[str, str], Update] = {}
        self.adverts: dict[tuple[str, str], Update] = {}

    def add_record(self, new_record: record.Record, members: int) -> None:
        """Queue a record in place of an older one of the same name."""
        size = (
            RECORD_OVERHEAD_BYTES
            + len(new_record.name)
            + len(new_record.peer.data_centre)
            + len(new_record.peer.address)
        )
        remaining_sends = math.ceil(RECORD_SENDS_FACTOR * math.log2(members + 1))
        self.records[new_record.name] = Update(new_record, size, remaining_sends)

    def add_advert(self, new_advert: record.Advert, is_own: bool) -> None:
        """Queue an advert in place of an older one of the same key."""
        if is_own:
            self.own_adverts[new_advert.key] = Update(new_advert, new_advert.size, OWN_ADVERT_SENDS)
        else:
            self.adverts[new_advert.key] = Update(new_advert, new_advert.size, OTHER_ADVERT_SENDS)

    def clear(self) -> None:
        """Drop all queued updates."""
        self.records.clear()
        self.own_adverts.clear()
        self.adverts.clear()

    def take(self) -> messages.Gossip:
        """Return the updates to piggyback on the next message."""
        records, remaining = _take_updates(self.records, self.record_budget)
        used = self.record_budget - remaining
        own, remaining = _take_updates(self.own_adverts, self.advert_budget - used)
        others, _ = _take_updates(self.adverts, remaining)
        return messages.Gossip(records, own + others)
