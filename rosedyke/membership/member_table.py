"""The member records that an instance holds, and the view derived from them."""

from collections.abc import Iterable

import xxhash

from rosedyke.membership import member, record


def digest(records: Iterable[record.Record]) -> int:
    """Return a digest of the records that are not dead, independent of their order."""
    total = 0
    for member_record in records:
        if not member_record.is_dead:
            text = f"{member_record.name}\0{member_record.precedence}\0{member_record.state.value}"
            total ^= xxhash.xxh3_64_intdigest(text.encode())
    return total


class MemberTable:
    """The newest record of each name."""

    def __init__(self):
        self.records: dict[str, record.Record] = {}
        self.dead_since: dict[str, float] = {}

    def find(self, name: str) -> record.Record | None:
        """Return the record of that name."""
        return self.records.get(name)

    def put(self, new_record: record.Record, now: float) -> bool:
        """Store a record if it is newer than the stored one; return whether it was."""
        old_record = self.records.get(new_record.name)
        if old_record is None and new_record.is_dead:
            # The death of an unknown member changes nothing.  If stored, it would circulate
            # for ever, as each instance would drop it later than another one receives it.
            return False
        if old_record is not None and new_record.precedence <= old_record.precedence:
            return False
        self.replace(new_record, now)
        return True

    def replace(self, new_record: record.Record, now: float) -> None:
        """Store a record unconditionally."""
        self.records[new_record.name] = new_record
        if new_record.is_dead:
            self.dead_since.setdefault(new_record.name, now)
        else:
            self.dead_since.pop(new_record.name, None)

    def clear(self) -> None:
        """Remove all records."""
        self.records.clear()
        self.dead_since.clear()

    def remove_dead(self, before: float) -> None:
        """Remove members that died before the time ``before``."""
        for name, since in list(self.dead_since.items()):
            if since < before:
                del self.dead_since[name]
                del self.records[name]

    def in_data_centre(self, data_centre: str) -> tuple[record.Record, ...]:
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
