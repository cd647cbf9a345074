"""The history of changes, and what became of one whose answer was lost."""

import enum

import attrs

from rosedyke.configuration import ports, stored


class State(enum.Enum):
    """What is known about the change."""

    ACCEPTED = "accepted"
    NEVER = "never"  # another change made the next generation, so it can't take effect any more
    OPEN = "open"  # the generation it was made on is still the newest


@attrs.frozen
class Settled:
    """What became of a change.

    Attributes
    ----------
    state : State
        Whether it took effect.
    generation : int
        The one that it made, or the newest.
    record : ChangeRecord or None
        Of the change itself or of the one that came first.
    """

    state: State
    generation: int
    record: stored.ChangeRecord | None = None


def read(store: ports.Store, keys: stored.Keys, first: int) -> tuple[stored.ChangeRecord, ...]:
    """Return the records from a generation on, oldest first."""
    span = ports.Span(keys.change(max(first, 1)), keys.changes.end)
    entries = store.read_all(span).entries
    return tuple(stored.decode(entry.value, stored.ChangeRecord) for entry in entries)


def settle(store: ports.Store, keys: stored.Keys, change_id: str, base: int) -> Settled:
    """Look for a change that was made on top of generation ``base``.

    Its write holds only as long as that is the newest generation.  So once another change stands
    above it, a copy that is still on its way can't take effect either.
    """
    records = read(store, keys, base + 1)
    for record in records:
        if record.change_id == change_id:
            return Settled(State.ACCEPTED, record.generation, record)
    if records:
        return Settled(State.NEVER, records[-1].generation, records[0])
    return Settled(State.OPEN, base)
