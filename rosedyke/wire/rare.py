"""Log events that a stranger could cause at will, at most one of a kind in a while.

Without the limit, whoever can reach the port could fill the logs; the metrics count every case.
"""

import time

from rosedyke.observe import event

INTERVAL_S = 60.0


class RareLog:
    """Writes each kind of event at most once in ``INTERVAL_S``."""

    def __init__(self):
        self.last: dict[int, float] = {}

    def log(self, kind: event.Event, **fields: object) -> None:
        """Write the event unless one of its kind was written a moment ago."""
        now = time.monotonic()
        if now - self.last.get(kind.number, -INTERVAL_S) >= INTERVAL_S:
            self.last[kind.number] = now
            event.log(kind, **fields)
