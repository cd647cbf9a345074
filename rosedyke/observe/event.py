"""Numbered log events, which operators can look up by number in docs/EVENTS.md.

Each package defines its events in its module ``events``, in its own range of numbers.
"""

import logging

import attrs

catalogue: dict[int, "Event"] = {}


@attrs.frozen
class Event:
    """One kind of log line.

    Attributes
    ----------
    number : int
        Unique and never reused.
    name : str
        Lower case with underscores.
    level : int
        Severity as in ``logging``.
    meaning : str
        What happened and what an operator should do, for the catalogue in the docs.
    """

    number: int
    name: str
    level: int
    meaning: str


def define(number: int, name: str, level: int, meaning: str) -> Event:
    """Add an event to the catalogue and return it."""
    if number in catalogue:
        raise ValueError(f"event {number} is defined twice")
    catalogue[number] = Event(number, name, level, meaning)
    return catalogue[number]


_logger = logging.getLogger("rosedyke")


def log(event: Event, *, exc_info: bool = False, **fields: object) -> None:
    """Log one event with its fields through the standard ``logging`` module.

    ``exc_info`` adds the traceback of the exception that is being handled.
    """
    if _logger.isEnabledFor(event.level):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        _logger.log(
            event.level,
            "E%d %s %s",
            event.number,
            event.name,
            text,
            exc_info=exc_info,
            extra={"event": event.number, "event_name": event.name, "fields": fields},
        )
