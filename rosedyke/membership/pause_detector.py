"""Detects pauses of this process: by a signal, by the host or by a blocking call."""

from rosedyke.membership import core


class PauseDetector:
    """Measures the time between ticks and re-joins after a long pause."""

    def __init__(self, shared_state: core.Core):
        self.core = shared_state
        self.last_tick_at = shared_state.runtime.now()

    def reset(self) -> None:
        """Start measuring from now."""
        self.last_tick_at = self.core.runtime.now()

    def run(self) -> None:
        """Check for a pause at every tick."""
        while self.core.is_running:
            self.core.runtime.sleep(self.core.options.tick_s)
            self.check()

    def check(self) -> bool:
        """Re-join if the process was paused for longer than the bound; return whether it was.

        During the pause the peers may have declared this instance dead and taken over its work.
        Operations that must not happen twice call this first, since after a pause any task may
        run before ``run`` does.
        """
        now = self.core.runtime.now()
        elapsed_s = now - self.last_tick_at
        self.last_tick_at = now
        if elapsed_s > self.core.options.probe_timeout_s + self.core.options.tick_s:
            self.core.last_stall_at = now
        if elapsed_s <= self.core.options.pause_bound_s or not self.core.is_running:
            return False
        self.core.rejoin("paused")
        return True
