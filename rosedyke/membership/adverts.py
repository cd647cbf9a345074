"""Small values that members advertise to each other; the newest of each topic is kept."""

from collections.abc import Iterable

import attrs
import xxhash

from rosedyke import fault
from rosedyke.membership import record

MAX_VALUE_BYTES = 512
# Younger adverts are still spreading by gossip and are left out of the comparison of tables, as
# are those that change more often than this.
SETTLED_AGE_S = 5.0


class ValueTooLong(fault.RosedykeError):
    """The value exceeds ``MAX_VALUE_BYTES``."""

    code = "advert_too_long"


@attrs.frozen
class Arrival:
    """Position of an advert in the order of arrival, and its arrival time in monotonic seconds."""

    position: int
    time: float


@attrs.frozen
class Page:
    """Adverts in the order of arrival, and the cursor that the next page starts after."""

    adverts: tuple[record.Advert, ...]
    cursor: int


def digest(adverts: Iterable[record.Advert]) -> int:
    """Return a digest of a set of adverts, independent of their order."""
    total = 0
    for advert in adverts:
        text = f"{advert.key}\0{advert.precedence}"
        total ^= xxhash.xxh3_64_intdigest(text.encode())
    return total


class Adverts:
    """The newest advert of each member and topic, with the order in which they arrived."""

    def __init__(self):
        self.newest: dict[tuple[str, str], record.Advert] = {}
        self.arrivals: dict[tuple[str, str], Arrival] = {}
        self.cursor = 0

    def publish(self, name: str, incarnation: int, topic: str, value: bytes, now: float):
        """Store a value of this instance and return its advert, or None if it is unchanged."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLong(
                f"{topic}: value of {len(value)} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes"
            )
        old_advert = self.newest.get((name, topic))
        if old_advert is not None and (old_advert.incarnation, old_advert.value) == (
            incarnation,
            value,
        ):
            return None
        counter = old_advert.counter + 1 if old_advert is not None else 1
        new_advert = record.Advert(name, incarnation, topic, counter, value)
        self.put(new_advert, now)
        return new_advert

    def put(self, new_advert: record.Advert, now: float) -> bool:
        """Store an advert if it is newer than the stored one; return whether it was."""
        old_advert = self.newest.get(new_advert.key)
        if old_advert is not None and new_advert.precedence <= old_advert.precedence:
            return False
        self.newest[new_advert.key] = new_advert
        self.cursor += 1
        self.arrivals[new_advert.key] = Arrival(self.cursor, now)
        return True

    def value(self, name: str, topic: str) -> bytes | None:
        """Return the newest value of a member and topic."""
        found = self.newest.get((name, topic))
        return None if found is None else found.value

    def page_after(self, cursor: int, names: set[str], byte_budget: int) -> "Page":
        """Return the first ``byte_budget`` bytes of the named members' adverts after ``cursor``."""
        pending = sorted(
            (self.arrivals[key].position, advert)
            for key, advert in self.newest.items()
            if self.arrivals[key].position > cursor and advert.name in names
        )
        page = []
        for position, advert in pending:
            if byte_budget <= 0:
                return Page(tuple(page), cursor)
            page.append(advert)
            byte_budget -= advert.size
            cursor = position
        return Page(tuple(page), self.cursor)

    def settled(self, now: float) -> tuple[record.Advert, ...]:
        """Return the adverts unchanged for ``SETTLED_AGE_S``."""
        return tuple(
            advert
            for key, advert in self.newest.items()
            if now - self.arrivals[key].time >= SETTLED_AGE_S
        )

    def retain(self, names: set[str]) -> None:
        """Drop the adverts of all members except ``names``."""
        for key in [key for key in self.newest if key[0] not in names]:
            del self.newest[key]
            del self.arrivals[key]
