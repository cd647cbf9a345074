"""The small values that members let each other know, newest wins."""

import xxhash

from rosedyke import fault
from rosedyke.membership import record

MAX_VALUE_BYTES = 512


class ValueTooLong(fault.RosedykeError):
    """The value doesn't fit into a probe."""

    code = "advert_too_long"


class Adverts:
    """The newest advert of each member and topic, with the order in which they arrived."""

    def __init__(self):
        self.newest: dict[tuple[str, str], record.Advert] = {}
        self.arrivals: dict[tuple[str, str], int] = {}
        self.cursor = 0

    def publish(self, name: str, incarnation: int, topic: str, value: bytes):
        """Keep the own instance's value and return its advert, None if nothing changes."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLong(f"{topic}: {len(value)} bytes, {MAX_VALUE_BYTES} at most")
        old = self.newest.get((name, topic))
        if old is not None and (old.incarnation, old.value) == (incarnation, value):
            return None
        counter = old.counter + 1 if old is not None else 1
        new = record.Advert(name, incarnation, topic, counter, value)
        self.put(new)
        return new

    def put(self, new: record.Advert) -> bool:
        """Keep an advert if it is newer; return whether it was."""
        old = self.newest.get(new.key)
        if old is not None and new.precedence <= old.precedence:
            return False
        self.newest[new.key] = new
        self.cursor += 1
        self.arrivals[new.key] = self.cursor
        return True

    def value(self, name: str, topic: str) -> bytes | None:
        """Return the newest value."""
        found = self.newest.get((name, topic))
        return None if found is None else found.value

    def since(self, cursor: int, names: set[str]) -> tuple[record.Advert, ...]:
        """Return the adverts of some members that arrived after ``cursor``."""
        return tuple(
            advert
            for key, advert in self.newest.items()
            if self.arrivals[key] > cursor and advert.name in names
        )

    def forget(self, names: set[str]) -> None:
        """Drop the adverts of members other than ``names``."""
        for key in [key for key in self.newest if key[0] not in names]:
            del self.newest[key]
            del self.arrivals[key]

    def digest(self) -> int:
        """Return a number that is the same for the same set of adverts."""
        total = 0
        for advert in self.newest.values():
            text = f"{advert.key}\0{advert.precedence}"
            total ^= xxhash.xxh3_64_intdigest(text.encode())
        return total
