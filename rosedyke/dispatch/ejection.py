"""Keeps work away from backend servers that fail it, and lets them return slowly.

A server that fails everything at once is always free, so it would draw more load than any other
and fail it too.  It is ejected after a few failures in a row.  It returns with one task at a time
and doubles with each success, so that a server still broken costs one task for each return.
"""

import attrs

from rosedyke.dispatch import settings


@attrs.define
class ServerHealth:
    """What a pool's owner remembers about one server's failures.

    Attributes
    ----------
    failures : int
        Failed or lost tasks since the last success.
    refusals : int
        Tasks not started since the last one that started.
    suspended_until : float
        No new work before this monotonic second.
    ejections : int
        Ejections since the server was last trusted with all its slots.
    slot_allowance : int or None
        Slots that it may use while it returns; None is all of them.
    """

    failures: int = 0
    refusals: int = 0
    suspended_until: float = 0.0
    ejections: int = 0
    slot_allowance: int | None = None

    def is_held(self, now: float) -> bool:
        """Return whether the server gets no work now."""
        return now < self.suspended_until

    def is_ejected(self, now: float) -> bool:
        """Return whether that is for failed tasks."""
        return self.is_held(now) and self.ejections > 0

    def record_success(self, slots: int) -> None:
        """Take in a task that ended well."""
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
        """Take in a failed or lost task and return whether the server is ejected for it."""
        self.failures += 1
        is_returning = self.slot_allowance is not None
        if self.is_held(now) or not may_eject:
            return False
        if self.failures < options.eject_after and not is_returning:
            return False
        self.ejections += 1
        suspension_s = options.eject_s * 2 ** (self.ejections - 1)
        self.suspended_until = now + min(suspension_s, options.eject_limit_s)
        self.slot_allowance = 1
        return True

    def record_refusal(self, now: float, options: settings.DispatchSettings) -> None:
        """Take in a task that did not start: busy, not reached, or closing."""
        self.refusals += 1
        suspension_s = options.refused_s * 2 ** (self.refusals - 1)
        self.suspended_until = max(
            self.suspended_until, now + min(suspension_s, options.refused_limit_s)
        )
