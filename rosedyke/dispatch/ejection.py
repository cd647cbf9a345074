"""Ejects failing backend servers and ramps them up again afterwards.

A server that fails every task immediately always has free slots and so would attract most of the
load.  It is ejected after a few consecutive failures.  After an ejection it gets one task at a
time, doubled with each success, so that a server that still fails costs only one task.
"""

import attrs

from rosedyke.dispatch import settings


@attrs.define
class ServerHealth:
    """Failure history of one server, kept by its pool's owner.

    Attributes
    ----------
    failures : int
        Consecutive failed or lost tasks.
    refusals : int
        Consecutive tasks that the server did not start.
    suspended_until : float
        Monotonic seconds before which the server gets no new work.
    ejections : int
        Ejections since the server was last allowed to use all its slots.
    slot_allowance : int or None
        Slots that it may use while it ramps up; None for all of them.
    """

    failures: int = 0
    refusals: int = 0
    suspended_until: float = 0.0
    ejections: int = 0
    slot_allowance: int | None = None

    def is_suspended(self, now: float) -> bool:
        """Return whether the server currently gets no work."""
        return now < self.suspended_until

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is suspended because of failed tasks."""
        return self.is_suspended(now) and self.ejections > 0

    def record_success(self, slots: int) -> None:
        """Record a successful task."""
        self.failures = 0
        self.refusals = 0
        if self.slot_allowance is None:
            return
        self.slot_allowance *= 2
        if self.slot_allowance >= slots:
            self.slot_allowance = None
            self.ejections = 0

    def record_failure(
        self, now: float, options: settings.DispatchSettings, may_eject: bool
    ) -> bool:
        """Record a failed or lost task and return whether the server is ejected for it."""
        self.failures += 1
        is_ramping_up = self.slot_allowance is not None
        if self.is_suspended(now) or not may_eject:
            return False
        if self.failures < options.eject_after and not is_ramping_up:
            return False
        self.ejections += 1
        suspension_s = options.eject_s * 2 ** (self.ejections - 1)
        self.suspended_until = now + min(suspension_s, options.eject_limit_s)
        self.slot_allowance = 1
        return True

    def record_refusal(self, now: float, options: settings.DispatchSettings) -> None:
        """Record a task that did not start: server busy, unreachable or shutting down."""
        self.refusals += 1
        suspension_s = options.refused_s * 2 ** (self.refusals - 1)
        self.suspended_until = max(
            self.suspended_until, now + min(suspension_s, options.refused_limit_s)
        )
