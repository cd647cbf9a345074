"""Rate limit for log events that an unauthenticated client can trigger.

Without it, any client that can reach the port could fill the logs; the metrics count every case.
"""

import time

from rosedyke.observe import event

MIN_INTERVAL_S = 60.0


class RateLimitedLog:
    """Logs each event type at most once per ``MIN_INTERVAL_S``."""

    def __init__(self):
        self.last_logged_at: dict[int, float] = {}

    def log(self, event_type: event.Event, **fields: object) -> None:
        """Log the event unless the same type was logged less than ``MIN_INTERVAL_S`` ago."""
        now = time.monotonic()
        if now - self.last_logged_at.get(event_type.number, -MIN_INTERVAL_S) >= MIN_INTERVAL_S:
            self.last_logged_at[event_type.number] = now
            event.log(event_type, **fields)
