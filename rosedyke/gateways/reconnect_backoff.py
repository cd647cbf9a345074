"""Delays new connections to an address after failed exchanges on new connections.

On a slow link each new connection costs packets, and the exchange on it fails for the same reason
as the one before.
"""

from rosedyke import runtime as runtime_module

FIRST_WAIT_S = 0.02
MAX_WAIT_S = 0.5
# Failures after which the wait no longer grows.
MAX_DOUBLINGS = 5


class ReconnectBackoff:
    """Exponential backoff with full jitter for each address.

    Attributes
    ----------
    failures : dict of str to int
        Consecutive failures on new connections, by address.
    retry_at : dict of str to float
        When a new connection may be opened, by address.
    """

    def __init__(self, runtime: runtime_module.Runtime):
        self.runtime = runtime
        self.failures: dict[str, int] = {}
        self.retry_at: dict[str, float] = {}

    def must_wait(self, address: str) -> bool:
        """Return whether no new connection to an address may be opened now."""
        return self.runtime.now() < self.retry_at.get(address, 0.0)

    def record_failure(self, address: str) -> None:
        """Record that a connection was not opened, or that the first exchange on it failed."""
        failures = self.failures.get(address, 0)
        self.failures[address] = min(failures + 1, MAX_DOUBLINGS)
        longest_s = min(MAX_WAIT_S, FIRST_WAIT_S * 2**failures)
        self.retry_at[address] = self.runtime.now() + self.runtime.random() * longest_s

    def reset(self, address: str) -> None:
        """Forget the failures of an address after a success."""
        self.failures.pop(address, None)
        self.retry_at.pop(address, None)
