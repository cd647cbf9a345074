"""The state of the stand-in store: revisions, transactions, watches and leases in memory.

It has no sockets, so that tests on the virtual clock use the same rules as the HTTP server.
"""

import attrs


@attrs.frozen
class Record:
    """A key's value and where it came from."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen
class Event:
    """One change; the record's value is empty and its version 0 for a removal."""

    record: Record
    is_delete: bool


class Compacted(Exception):
    """The revision is older than the compaction."""


class FutureRevision(Exception):
    """The revision has not come yet."""


class UnknownLease(Exception):
    """The lease was never granted or has lapsed."""


class KeyValue:
    """Keys with all their changes since the last compaction."""

    def __init__(self):
        self.revision = 1
        self.compacted = 0
        self.records: dict[bytes, Record] = {}
        self.events: list[Event] = []
        self.leases: dict[int, tuple[float, float]] = {}  # id -> (seconds granted, end)
        self.next_lease = 1000

    def range(
        self, key: bytes, end: bytes = b"", revision: int = 0, limit: int = 0
    ) -> tuple[list[Record], int]:
        """Return the records of a span in key order and how many there are without the limit."""
        records = self.records if not revision else self.at(revision)
        found = sorted(k for k in records if _is_inside(k, key, end))
        chosen = found[:limit] if limit else found
        return [records[k] for k in chosen], len(found)

    def at(self, revision: int) -> dict[bytes, Record]:
        """Return all records as of an earlier revision."""
        if revision > self.revision:
            raise FutureRevision
        if revision < self.compacted:
            raise Compacted
        records: dict[bytes, Record] = {}
        for event in self.events:
            if event.record.mod_revision > revision:
                break
            if event.is_delete:
                records.pop(event.record.key, None)
            else:
                records[event.record.key] = event.record
        return records

    def compare(self, key: bytes, target: str, result: str, wanted: int | bytes) -> bool:
        """Return whether a condition of a transaction holds."""
        record = self.records.get(key, Record(key, b"", 0, 0, 0))
        have = {
            "MOD": record.mod_revision,
            "CREATE": record.create_revision,
            "VERSION": record.version,
            "VALUE": record.value,
            "LEASE": record.lease,
        }[target]
        return {
            "EQUAL": have == wanted,
            "NOT_EQUAL": have != wanted,
            "GREATER": have > wanted,
            "LESS": have < wanted,
        }[result]

    def put(self, key: bytes, value: bytes, revision: int, lease: int = 0) -> None:
        """Set a key as part of the change that makes ``revision``."""
        if lease and lease not in self.leases:
            raise UnknownLease
        old = self.records.get(key)
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        record = Record(key, value, created, revision, version, lease)
        self.records[key] = record
        self.events.append(Event(record, False))

    def delete(self, key: bytes, end: bytes, revision: int) -> int:
        """Remove a span as part of the change that makes ``revision``; return how many."""
        doomed = sorted(k for k in self.records if _is_inside(k, key, end))
        for each in doomed:
            del self.records[each]
            self.events.append(Event(Record(each, b"", 0, revision, 0), True))
        return len(doomed)

    def since(self, revision: int, key: bytes, end: bytes) -> list[Event]:
        """Return the events of a span from a revision on."""
        if revision <= self.compacted:
            raise Compacted
        return [
            event
            for event in self.events
            if event.record.mod_revision >= revision and _is_inside(event.record.key, key, end)
        ]

    def compact(self, revision: int) -> None:
        """Forget what happened before a revision."""
        if revision > self.revision:
            raise FutureRevision
        self.compacted = max(self.compacted, revision)

    def grant(self, seconds: float, now: float, lease: int = 0) -> int:
        """Return the id of a new lease."""
        self.next_lease += 1
        lease = lease or self.next_lease
        self.leases[lease] = (seconds, now + seconds)
        return lease

    def keep_alive(self, lease: int, now: float) -> float:
        """Renew a lease and return its seconds."""
        if lease not in self.leases:
            raise UnknownLease
        seconds, _ = self.leases[lease]
        self.leases[lease] = (seconds, now + seconds)
        return seconds

    def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            raise UnknownLease
        keys = [key for key, record in self.records.items() if record.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key, b"", self.revision)

    def expire(self, now: float) -> int:
        """End the leases that have lapsed; return how many."""
        lapsed = [lease for lease, (_, end) in self.leases.items() if end <= now]
        for lease in lapsed:
            self.revoke(lease)
        return len(lapsed)


def _is_inside(key: bytes, first: bytes, end: bytes) -> bool:
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)
