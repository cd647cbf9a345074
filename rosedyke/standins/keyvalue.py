"""In-memory state of the fake etcd store: revisions, transactions, watches and leases.

It does no I/O, so the HTTP server and the fake store on the virtual clock share it.
"""

import attrs


@attrs.frozen
class Record:
    """A key's value with its revisions, version and lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen
class Event:
    """One change; a deletion has an empty value and version 0."""

    record: Record
    is_delete: bool


class Compacted(Exception):
    """The requested revision has been compacted."""


class FutureRevision(Exception):
    """The requested revision is newer than the current one."""


class UnknownLease(Exception):
    """The lease was never granted or has expired."""


class KeyValue:
    """Multi-version key-value state with leases."""

    def __init__(self):
        self.revision = 1
        self.compacted = 0
        self.records: dict[bytes, Record] = {}
        self.events: list[Event] = []
        self.leases: dict[int, tuple[float, float]] = {}  # id -> (TTL in seconds, expiry)
        self.next_lease = 1000

    def range(
        self, key: bytes, end: bytes = b"", revision: int = 0, limit: int = 0
    ) -> tuple[list[Record], int]:
        """Return the records of a key range in key order, and their count without the limit."""
        records = self.records if not revision else self.at(revision)
        keys = sorted(k for k in records if _is_in_range(k, key, end))
        limited = keys[:limit] if limit else keys
        return [records[k] for k in limited], len(keys)

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

    def compare(self, key: bytes, target: str, result: str, expected: int | bytes) -> bool:
        """Return whether a comparison of a transaction succeeds."""
        record = self.records.get(key, Record(key, b"", 0, 0, 0))
        actual = {
            "MOD": record.mod_revision,
            "CREATE": record.create_revision,
            "VERSION": record.version,
            "VALUE": record.value,
            "LEASE": record.lease,
        }[target]
        return {
            "EQUAL": actual == expected,
            "NOT_EQUAL": actual != expected,
            "GREATER": actual > expected,
            "LESS": actual < expected,
        }[result]

    def put(self, key: bytes, value: bytes, revision: int, lease: int = 0) -> None:
        """Set a key in the transaction that creates ``revision``."""
        if lease and lease not in self.leases:
            raise UnknownLease
        previous = self.records.get(key)
        created = previous.create_revision if previous else revision
        version = previous.version + 1 if previous else 1
        record = Record(key, value, created, revision, version, lease)
        self.records[key] = record
        self.events.append(Event(record, False))

    def delete(self, key: bytes, end: bytes, revision: int) -> int:
        """Delete a key range in the transaction that creates ``revision``; return the key count."""
        deleted = sorted(k for k in self.records if _is_in_range(k, key, end))
        for deleted_key in deleted:
            del self.records[deleted_key]
            self.events.append(Event(Record(deleted_key, b"", 0, revision, 0), True))
        return len(deleted)

    def since(self, revision: int, key: bytes, end: bytes) -> list[Event]:
        """Return the events of a key range from a revision on."""
        if revision <= self.compacted:
            raise Compacted
        return [
            event
            for event in self.events
            if event.record.mod_revision >= revision and _is_in_range(event.record.key, key, end)
        ]

    def compact(self, revision: int) -> None:
        """Compact the history before a revision."""
        if revision > self.revision:
            raise FutureRevision
        self.compacted = max(self.compacted, revision)

    def grant(self, seconds: float, now: float, lease: int = 0) -> int:
        """Grant a lease and return its id."""
        self.next_lease += 1
        lease = lease or self.next_lease
        self.leases[lease] = (seconds, now + seconds)
        return lease

    def keep_alive(self, lease: int, now: float) -> float:
        """Renew a lease and return its TTL in seconds."""
        if lease not in self.leases:
            raise UnknownLease
        seconds, _ = self.leases[lease]
        self.leases[lease] = (seconds, now + seconds)
        return seconds

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        if self.leases.pop(lease, None) is None:
            raise UnknownLease
        keys = [key for key, record in self.records.items() if record.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key, b"", self.revision)

    def expire(self, now: float) -> int:
        """Revoke the expired leases and return their number."""
        expired = [lease for lease, (_, expiry) in self.leases.items() if expiry <= now]
        for lease in expired:
            self.revoke(lease)
        return len(expired)


def _is_in_range(key: bytes, first: bytes, end: bytes) -> bool:
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)
