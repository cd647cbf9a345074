"""Ends a wait for a reply once its deadline has passed."""

from collections.abc import Callable

import eventlet.hubs
import greenlet

# A deadline that moves to an earlier time is noticed within this.
CHECK_INTERVAL_S = 0.5


class Deadline:
    """Context manager that raises an exception in its green thread at a deadline.

    The event loop runs timers before it looks at sockets.  After a delay of the loop, a reply that
    has arrived in time is therefore given one more pass.

    Parameters
    ----------
    now : callable
        Returns the time in seconds.
    expires_at : callable
        Returns the deadline by the same clock; asked again now and then, since it may move.
    error : type of exception
        What is raised.
    """

    def __init__(
        self,
        now: Callable[[], float],
        expires_at: Callable[[], float],
        error: type[Exception],
    ):
        self.now = now
        self.expires_at = expires_at
        self.error = error
        self.is_last_pass = False
        self.thread = self.timer = None

    def __enter__(self):
        self.thread = greenlet.getcurrent()
        self._schedule(self.expires_at() - self.now())
        return self

    def __exit__(self, *exception):
        self.timer.cancel()

    def _schedule(self, delay_s):
        hub = eventlet.hubs.get_hub()
        delay_s = min(max(0.0, delay_s), CHECK_INTERVAL_S)
        self.timer = hub.schedule_call_global(delay_s, self._on_timer)

    def _on_timer(self):
        remaining_s = self.expires_at() - self.now()
        if remaining_s > 0:
            self.is_last_pass = False
            self._schedule(remaining_s)
        elif not self.is_last_pass:
            self.is_last_pass = True
            self._schedule(0.0)
        else:
            self.thread.throw(self.error())
