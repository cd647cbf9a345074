"""The history of changes, and the outcome of a change whose reply was lost."""

import enum

import attrs

from rosedyke.configuration import ports, storage


class State(enum.Enum):
    """Whether a change took effect."""

    ACCEPTED = "accepted"
    # Another change created the next generation, so this one can't take effect.
    SUPERSEDED = "never"
    # The base generation is still the newest, so the change may still take effect.
    PENDING = "open"


@attrs.frozen
class Resolution:
    """Outcome of a change whose reply was lost.

    Attributes
    ----------
    state : State
        Whether it took effect.
    generation : int
        Generation that the change created, otherwise the newest.
    record : ChangeRecord or None
        Record of the change, or of the one that was accepted instead.
    """

    state: State
    generation: int
    record: storage.ChangeRecord | None = None


def read(store: ports.Store, keys: storage.Keys, first: int) -> tuple[storage.ChangeRecord, ...]:
    """Return the records from generation ``first`` on, oldest first."""
    key_range = ports.KeyRange(keys.change(max(first, 1)), keys.changes.end)
    entries = store.read_all(key_range).entries
    return tuple(storage.decode(entry.value, storage.ChangeRecord) for entry in entries)


def resolve_change(store: ports.Store, keys: storage.Keys, change_id: str, base: int) -> Resolution:
    """Determine the outcome of a change that is based on generation ``base``.

    The change is conditional on ``base`` being the newest generation.  So once another change is
    stored after it, a copy of the write that is still in flight can't take effect either.
    """
    records = read(store, keys, base + 1)
    for record in records:
        if record.change_id == change_id:
            return Resolution(State.ACCEPTED, record.generation, record)
    if records:
        return Resolution(State.SUPERSEDED, records[-1].generation, records[0])
    return Resolution(State.PENDING, base)
