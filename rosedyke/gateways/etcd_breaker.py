"""Which of several endpoints to use next, so that a dead one isn't asked again and again."""

from rosedyke import runtime as runtime_module
from rosedyke.gateways import settings


class Breaker:
    """Keeps failed endpoints apart for a growing, jittered time."""

    def __init__(self, own_settings: settings.StoreSettings, runtime: runtime_module.Runtime):
        self.settings = own_settings
        self.runtime = runtime
        self.failures = dict.fromkeys(own_settings.endpoints, 0)
        self.open_until = dict.fromkeys(own_settings.endpoints, 0.0)

    def usable(self) -> list[str]:
        """Return the endpoints to try now, in the order of the settings.

        Empty while all of them are kept apart: a call then fails at once instead of waiting
        for one timeout after the other.
        """
        now = self.runtime.now()
        return [url for url in self.settings.endpoints if self.open_until[url] <= now]

    def next_s(self) -> float:
        """Return in how many seconds an endpoint may be tried."""
        return max(0.0, min(self.open_until.values()) - self.runtime.now())

    def succeeded(self, url: str) -> None:
        """Record an answer."""
        self.failures[url] = 0
        self.open_until[url] = 0.0

    def failed(self, url: str) -> None:
        """Record a failure."""
        doublings = min(self.failures[url], 16)
        self.failures[url] += 1
        pause_s = min(self.settings.backoff_limit_s, self.settings.backoff_base_s * 2**doublings)
        self.open_until[url] = self.runtime.now() + pause_s * (0.5 + self.runtime.random())
