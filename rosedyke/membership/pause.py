"""Notices that the own loop stood still: stopped by a signal, by the host or by a long call."""

from rosedyke.membership import core


class PauseWatch:
    """Compares how long a tick took with how long it should have taken."""

    def __init__(self, shared: core.Core):
        self.core = shared
        self.last_tick = shared.runtime.now()

    def begin(self) -> None:
        """Start to measure from now."""
        self.last_tick = self.core.runtime.now()

    def run(self) -> None:
        """Measure every tick."""
        while self.core.is_running:
            self.core.runtime.sleep(self.core.options.tick_s)
            self.check()

    def check(self) -> bool:
        """Re-join if the loop stood still for longer than the bound; return whether it did.

        While it stood still, the peers may have declared this instance dead and given its work
        to others.  Whatever must not happen twice checks this first, since after a stop any
        task may run before the one that watches.
        """
        now = self.core.runtime.now()
        late = now - self.last_tick
        self.last_tick = now
        if late > self.core.options.probe_timeout_s + self.core.options.tick_s:
            self.core.last_stall = now
        if late <= self.core.options.pause_bound_s or not self.core.is_running:
            return False
        self.core.rejoin("paused")
        return True
