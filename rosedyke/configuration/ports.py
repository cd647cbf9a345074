"""Interface of the configuration to other packages, and the store interface it depends on."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Protocol

import attrs

from rosedyke import fault

if TYPE_CHECKING:
    # An instance on the platform uses the store's interface but has no intent.
    from rosedyke.configuration import intent


class ConfigurationSource(Protocol):
    """The active configuration of this instance."""

    @property
    def configuration(self) -> "intent.Configuration | None":
        """The active configuration, None before the first; its generation never decreases."""

    def subscribe(self, callback: Callable[["intent.Configuration"], None]) -> None:
        """Call ``callback`` with each newer configuration; it must not block."""

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the platform lists the backend server as leaving."""

    @property
    def generation(self) -> int:
        """The active generation, 0 before the first."""

    def platform_instances(self) -> tuple["PlatformInstance", ...]:
        """Return the platform's list of entry instances, which may be stale; seeds for joining."""


@attrs.frozen
class PlatformInstance:
    """An entry instance in the platform's list, which may be stale.

    Attributes
    ----------
    name : str
        The instance's name.
    address : str
        ``ip:port`` that it accepts peers at.
    data_centre : str
        Data centre that it runs in.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    data_centre: str
    state: str = "live"


class StoreError(fault.RosedykeError):
    """An operation of the store failed."""

    code = "store_error"


class StoreUnreachable(StoreError):
    """No endpoint of the store was reachable; the operation has had no effect."""

    code = "store_unreachable"


class StoreOutcomeUnknown(StoreError):
    """The reply to a write was lost: it may have taken effect, or still may."""

    code = "store_outcome_unknown"


class StoreRefused(StoreError):
    """The store rejected the operation, for example as a value is too large."""

    code = "store_refused"


class StoreCompacted(StoreError):
    """The revision of a watch was compacted; the current state must be read instead."""

    code = "store_compacted"


@attrs.frozen
class Entry:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class KeyRange:
    """Keys from ``first`` to ``end``, exclusive; only ``first`` if ``end`` is empty.

    With ``min_revision``, only keys that were last modified at that revision or later.
    """

    first: str
    end: str = ""
    min_revision: int = 0

    @classmethod
    def prefix(cls, prefix: str) -> "KeyRange":
        """Return the range of all keys with an ASCII prefix."""
        return cls(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


@attrs.frozen
class Compare:
    """Condition of a transaction: the key was last modified at ``revision``, 0 for no key."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """Set a key in a transaction; with a lease, it is deleted when the lease expires."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """Delete a key in a transaction."""

    key: str


@attrs.frozen
class ReadResult:
    """Entries read at one revision of the store."""

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen
class Change:
    """Change of a key that a watch reports; the value is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """The platform's key-value store, with conditional transactions and watches by revision.

    All methods raise ``StoreError``; its subclasses tell whether the operation took effect.
    """

    def read(self, *key_ranges: KeyRange) -> ReadResult:
        """Return the entries of all ranges at one revision, in a single request."""

    def read_all(self, *key_ranges: KeyRange) -> ReadResult:
        """Return the entries of all ranges at one revision, in as many requests as needed."""

    def write(self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]) -> bool:
        """Execute the operations if all conditions hold; return whether they were executed."""

    def watch(self, key_range: KeyRange, revision: int) -> Iterator[tuple[Change, ...]]:
        """Yield the changes from a revision on as they occur.

        The first item is empty and confirms that the watch is open.  The iterator ends after an
        idle timeout, as the stream may have become unresponsive; the caller opens a new watch.
        """
