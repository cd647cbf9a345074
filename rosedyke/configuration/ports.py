"""What other packages may ask of the configuration, and what it asks of the store."""

from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from rosedyke import fault
from rosedyke.configuration import intent


class Current(Protocol):
    """The configuration in force at this instance."""

    @property
    def configuration(self) -> intent.Configuration | None:
        """The newest generation, None before the first.  Never goes back."""

    def subscribe(self, callback: Callable[[intent.Configuration], None]) -> None:
        """Call ``callback(new)`` after each step forward; it must not block."""

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the platform lists the backend server as leaving."""

    @property
    def generation(self) -> int:
        """The generation in force here, 0 before the first."""

    def platform_instances(self) -> tuple["PlatformInstance", ...]:
        """Return the platform's lagging list of entry instances, as seeds for joining."""


@attrs.frozen
class PlatformInstance:
    """One entry instance in the platform's list, which lags behind what is true.

    Attributes
    ----------
    name : str
        The instance's name.
    address : str
        ``ip:port`` of its socket for peers.
    data_centre : str
        Where it runs.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    data_centre: str
    state: str = "live"


class StoreError(fault.RosedykeError):
    """The store did not do what was asked."""

    code = "store_error"


class StoreUnreachable(StoreError):
    """No endpoint answered, and what was asked has certainly not taken effect."""

    code = "store_unreachable"


class StoreOutcomeUnknown(StoreError):
    """A write left, but its answer was lost: it may have taken effect, or still may."""

    code = "store_outcome_unknown"


class StoreRefused(StoreError):
    """The store answered that it can't do it, for example that a value is too large."""

    code = "store_refused"


class StoreCompacted(StoreError):
    """The history that a watch asked for is gone; the caller reads the present state anew."""

    code = "store_compacted"


@attrs.frozen
class Entry:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Span:
    """Keys from ``first`` up to but not including ``end``; only ``first`` when end is empty.

    With ``since``, only those whose last change has at least this revision.
    """

    first: str
    end: str = ""
    since: int = 0

    @classmethod
    def prefix(cls, prefix: str) -> "Span":
        """Return the span of all keys that begin with an ASCII prefix."""
        return cls(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


@attrs.frozen
class Compare:
    """A condition of a transaction: the key's last change has this revision, 0 for no key."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """Set a key in a transaction; with a lease, the key is removed when that ends."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """Remove a key in a transaction."""

    key: str


@attrs.frozen
class Reading:
    """Entries read at one revision of the store."""

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen
class Change:
    """One change that a watch saw; the value is None when the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Store(Protocol):
    """The platform's key-value service: compare-and-swap and watches over revisions.

    Every method raises a ``StoreError``; which of its subclasses says what is known.
    """

    def read(self, *spans: Span) -> Reading:
        """Return the entries of all spans at one revision, with a single call."""

    def read_all(self, *spans: Span) -> Reading:
        """Return the entries of all spans at one revision, in as many calls as they need."""

    def write(self, compares: tuple[Compare, ...], operations: tuple[Put | Delete, ...]) -> bool:
        """Do all operations if every condition holds; return whether they were done."""

    def watch(self, span: Span, revision: int) -> Iterator[tuple[Change, ...]]:
        """Yield the changes from a revision on as they come.

        The first item is empty and says that the watch stands.  Ends when nothing came for so
        long that the stream may have gone silent; the caller then opens a new one.
        """
