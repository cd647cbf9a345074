"""The small values that members let each other know, newest wins."""

from collections.abc import Iterable

import attrs
import xxhash

from rosedyke import fault
from rosedyke.membership import record

MAX_VALUE_BYTES = 512
# Values younger than this are still on their way by gossip; those that change all the time never
# get older, and so don't weigh on the comparison of tables.
SETTLED_S = 5.0


class ValueTooLong(fault.RosedykeError):
    """The value doesn't fit into a probe."""

    code = "advert_too_long"


@attrs.frozen
class Arrival:
    """When an advert came here, as a position in the order of all and in monotonic seconds."""

    position: int
    time: float


@attrs.frozen
class Page:
    """Adverts in the order of their arrival, and the cursor to ask for those that follow."""

    adverts: tuple[record.Advert, ...]
    cursor: int


def digest(adverts: Iterable[record.Advert]) -> int:
    """Return a number that is the same for the same set of adverts."""
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
        """Keep the own instance's value and return its advert, None if nothing changes."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLong(f"{topic}: {len(value)} bytes, {MAX_VALUE_BYTES} at most")
        old = self.newest.get((name, topic))
        if old is not None and (old.incarnation, old.value) == (incarnation, value):
            return None
        counter = old.counter + 1 if old is not None else 1
        new = record.Advert(name, incarnation, topic, counter, value)
        self.put(new, now)
        return new

    def put(self, new: record.Advert, now: float) -> bool:
        """Keep an advert if it is newer; return whether it was."""
        old = self.newest.get(new.key)
        if old is not None and new.precedence <= old.precedence:
            return False
        self.newest[new.key] = new
        self.cursor += 1
        self.arrivals[new.key] = Arrival(self.cursor, now)
        return True

    def value(self, name: str, topic: str) -> bytes | None:
        """Return the newest value."""
        found = self.newest.get((name, topic))
        return None if found is None else found.value

    def since(self, cursor: int, names: set[str], room: int) -> "Page":
        """Return what arrived after ``cursor`` from some members, the oldest ``room`` bytes."""
        waiting = sorted(
            (self.arrivals[key].position, advert)
            for key, advert in self.newest.items()
            if self.arrivals[key].position > cursor and advert.name in names
        )
        page = []
        for position, advert in waiting:
            if room <= 0:
                return Page(tuple(page), cursor)
            page.append(advert)
            room -= advert.size
            cursor = position
        return Page(tuple(page), self.cursor)

    def settled(self, now: float) -> tuple[record.Advert, ...]:
        """Return the adverts that have not changed for a while."""
        return tuple(
            advert
            for key, advert in self.newest.items()
            if now - self.arrivals[key].time >= SETTLED_S
        )

    def forget(self, names: set[str]) -> None:
        """Drop the adverts of members other than ``names``."""
        for key in [key for key in self.newest if key[0] not in names]:
            del self.newest[key]
            del self.arrivals[key]
