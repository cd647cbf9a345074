"""All records that an instance holds, and the view that follows from them."""

from collections.abc import Iterable

import xxhash

from rosedyke.membership import member, record


def digest(records: Iterable[record.Record]) -> int:
    """Return a number that is the same for the same set of records that are not dead."""
    total = 0
    for each in records:
        if not each.is_dead:
            text = f"{each.name}\0{each.precedence}\0{each.state.value}"
            total ^= xxhash.xxh3_64_intdigest(text.encode())
    return total


class Table:
    """The newest record of each name."""

    def __init__(self):
        self.records: dict[str, record.Record] = {}
        self.dead_since: dict[str, float] = {}

    def find(self, name: str) -> record.Record | None:
        """Return the record of that name."""
        return self.records.get(name)

    def put(self, new: record.Record, now: float) -> bool:
        """Keep a record if it is newer than that of the same name; return whether it was."""
        old = self.records.get(new.name)
        if old is None and new.is_dead:
            # An end of something unknown changes nothing; kept, it would wander from table to
            # table for ever, each one forgetting it later than the next learns of it.
            return False
        if old is not None and new.precedence <= old.precedence:
            return False
        self.set(new, now)
        return True

    def set(self, new: record.Record, now: float) -> None:
        """Keep a record whatever was known before."""
        self.records[new.name] = new
        if new.is_dead:
            self.dead_since.setdefault(new.name, now)
        else:
            self.dead_since.pop(new.name, None)

    def clear(self) -> None:
        """Forget everything."""
        self.records.clear()
        self.dead_since.clear()

    def forget_dead(self, before: float) -> None:
        """Drop the members that were dead already at the time ``before``."""
        for name, since in list(self.dead_since.items()):
            if since < before:
                del self.dead_since[name]
                del self.records[name]

    def of(self, data_centre: str) -> tuple[record.Record, ...]:
        """Return the records of one data centre."""
        return tuple(r for r in self.records.values() if r.peer.data_centre == data_centre)

    def alive(self, data_centre: str) -> list[record.Record]:
        """Return the records of one data centre that are not dead."""
        return [
            r for r in self.records.values() if r.peer.data_centre == data_centre and not r.is_dead
        ]

    def view(self) -> member.View:
        """Return the view of all records."""
        return member.View(tuple(self.records[name].as_member() for name in sorted(self.records)))
