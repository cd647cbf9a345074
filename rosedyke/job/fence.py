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
    """

    def __init__(
        self, limits: settings.JobSettings, clock: runtime.Runtime, on_pause: Callable[[], None]
    ):
        self.limits = limits
        self.clock = clock
        self.on_pause = on_pause
        self.last_beat = clock.now()
        self.is_closed = False
        self.is_stopped = False

    def run(self) -> None:
        """Beat until stopped."""
        while not self.is_stopped:
            self.clock.sleep(self.limits.pulse_s)
            self.look()
            self.last_beat = self.clock.now()

    def look(self) -> None:
        """Close the fence if the loop stood still since the last beat."""
        stood_s = self.clock.now() - self.last_beat
        if stood_s > self.limits.pause_bound_s and not self.is_closed:
            self.close()

    def close(self) -> None:
        """Let nothing be sent until ``open`` is called."""
        self.is_closed = True
        self.on_pause()

    def open(self) -> None:
        """Let tasks be sent again: the instance has joined with a new incarnation."""
        self.is_closed = False
        self.last_beat = self.clock.now()

    def check(self) -> None:
        """Raise Fenced if nothing may be sent."""
        self.look()
        if self.is_closed:
            raise job.Fenced("this instance stood still and has not re-joined")
