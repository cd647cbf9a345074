"""Fencing of an instance after a process pause.

A process that is paused (SIGSTOP, a suspended machine, a long stall) gets no notification.  Its
peers may declare it dead meanwhile and answer its callers accordingly.  After it resumes, it must
not send tasks that were still waiting, as that could contradict those answers.
"""

from collections.abc import Callable

from rosedyke import runtime
from rosedyke.job import job, settings


class Fence:
    """Detects process pauses by a heartbeat of the event loop, and blocks sending after one.

    Parameters
    ----------
    job_settings : JobSettings
        Heartbeat interval and thresholds.
    clock : Runtime
        Monotonic clock.
    on_pause : callable
        Called once for each detected pause.
    is_confirmed_alive : callable
        Returns whether this incarnation is a serving member according to the membership.
    """

    def __init__(
        self,
        job_settings: settings.JobSettings,
        clock: runtime.Runtime,
        on_pause: Callable[[], None],
        is_confirmed_alive: Callable[[], bool],
    ):
        self.job_settings = job_settings
        self.clock = clock
        self.on_pause = on_pause
        self.is_confirmed_alive = is_confirmed_alive
        self.closed_at = 0.0
        self.last_heartbeat = clock.now()
        self.is_closed = False
        self.is_stopped = False

    def run(self) -> None:
        """Record heartbeats until stopped."""
        while not self.is_stopped:
            self.clock.sleep(self.job_settings.pulse_s)
            self.detect_pause()
            self.last_heartbeat = self.clock.now()
            self.reopen()

    def detect_pause(self) -> None:
        """Close the fence if the time since the last heartbeat exceeds the limit."""
        pause_s = self.clock.now() - self.last_heartbeat
        if pause_s > self.job_settings.pause_bound_s and not self.is_closed:
            self.close()

    def close(self) -> None:
        """Block sending until the fence is opened."""
        self.is_closed = True
        self.closed_at = self.clock.now()
        self.on_pause()

    def reopen(self) -> None:
        """Open the fence after a pause that the membership did not detect.

        Such a pause causes no rejoin, so the instance would otherwise refuse jobs permanently.
        All jobs of the time before the pause have been failed.
        """
        closed_for_s = self.clock.now() - self.closed_at
        is_clear = closed_for_s > self.job_settings.pause_clear_s and self.is_confirmed_alive()
        if self.is_closed and is_clear:
            self.open()

    def open(self) -> None:
        """Allow sending again."""
        self.is_closed = False
        self.last_heartbeat = self.clock.now()

    def check(self) -> None:
        """Raise Fenced if the fence is closed."""
        self.detect_pause()
        if self.is_closed:
            raise job.Fenced("process was paused and the instance has not rejoined")
