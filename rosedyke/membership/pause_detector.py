"""Detects pauses of this process: by a signal, by the host or by a blocking call."""

from rosedyke.membership import protocol_state


class PauseDetector:
    """Measures the time between ticks and re-joins after a long pause."""

    def __init__(self, shared_state: protocol_state.ProtocolState):
        self.protocol = shared_state
        self.last_tick_at = shared_state.runtime.now()

    def reset(self) -> None:
        """Start measuring from now."""
        self.last_tick_at = self.protocol.runtime.now()

    def run(self) -> None:
        """Check for a pause at every tick."""
        while self.protocol.is_running:
            self.protocol.runtime.sleep(self.protocol.options.tick_s)
            self.check()

    def check(self) -> bool:
        """Re-join if the process was paused for longer than the bound; return whether it was.

        During the pause the peers may have declared this instance dead and taken over its work.
        Operations that must not happen twice call this first, since after a pause any task may
        run before ``run`` does.
        """
        now = self.protocol.runtime.now()
        elapsed_s = now - self.last_tick_at
        self.last_tick_at = now
        if elapsed_s > self.protocol.options.probe_timeout_s + self.protocol.options.tick_s:
            self.protocol.last_stall_at = now
        if elapsed_s <= self.protocol.options.pause_bound_s or not self.protocol.is_running:
            return False
        self.protocol.rejoin("paused")
        return True
