"""Finding out that this instance stood still, before it does harm.

A stopped process (SIGSTOP, a suspended machine, a long stall) doesn't notice by itself.  Its
peers declare it dead meanwhile and tell callers what that means.  When it goes on, it must send
nothing that was still waiting: whoever relies on its death would be contradicted.
"""

from collections.abc import Callable

from rosedyke import runtime
from rosedyke.job import job, settings


class Fence:
    """Compares the clock with a beat that only a running loop gives.

    Parameters
    ----------
    limits : JobSettings
        The interval and the bound.
    clock : Runtime
        Monotonic time.
    on_pause : callable
        Called once for each pause that is found.
    is_counted_alive : callable
        Returns whether the membership has this incarnation as a serving member.
    """

    def __init__(
        self,
        limits: settings.JobSettings,
        clock: runtime.Runtime,
        on_pause: Callable[[], None],
        is_confirmed_alive: Callable[[], bool],
    ):
        self.limits = limits
        self.clock = clock
        self.on_pause = on_pause
        self.is_confirmed_alive = is_confirmed_alive
        self.closed_at = 0.0
        self.last_heartbeat = clock.now()
        self.is_closed = False
        self.is_stopped = False

    def run(self) -> None:
        """Beat until stopped."""
        while not self.is_stopped:
            self.clock.sleep(self.limits.pulse_s)
            self.detect_pause()
            self.last_heartbeat = self.clock.now()
            self.reopen()

    def detect_pause(self) -> None:
        """Close the fence if the loop stood still since the last beat."""
        pause_s = self.clock.now() - self.last_heartbeat
        if pause_s > self.limits.pause_bound_s and not self.is_closed:
            self.close()

    def close(self) -> None:
        """Let nothing be sent until ``open`` is called."""
        self.is_closed = True
        self.closed_at = self.clock.now()
        self.on_pause()

    def reopen(self) -> None:
        """Open after a pause that was too short for the peers to declare a death.

        Without this, an instance whose membership measured a little less than the bound would
        refuse every job for ever.  What waited when the fence closed has been ended.
        """
        closed_for_s = self.clock.now() - self.closed_at
        is_clear = closed_for_s > self.limits.pause_clear_s and self.is_confirmed_alive()
        if self.is_closed and is_clear:
            self.open()

    def open(self) -> None:
        """Let tasks be sent again: the instance has joined with a new incarnation."""
        self.is_closed = False
        self.last_heartbeat = self.clock.now()

    def check(self) -> None:
        """Raise Fenced if nothing may be sent."""
        self.detect_pause()
        if self.is_closed:
            raise job.Fenced("this instance stood still and has not re-joined")
