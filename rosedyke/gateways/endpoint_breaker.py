"""Circuit breaker that suspends failed endpoints of the key-value service."""

from rosedyke import runtime as runtime_module
from rosedyke.gateways import settings


class EndpointBreaker:
    """Suspends failed endpoints with exponential backoff and jitter."""

    def __init__(self, store_settings: settings.StoreSettings, runtime: runtime_module.Runtime):
        self.settings = store_settings
        self.runtime = runtime
        self.failure_counts = dict.fromkeys(store_settings.endpoints, 0)
        self.suspended_until = dict.fromkeys(store_settings.endpoints, 0.0)

    def available_endpoints(self) -> list[str]:
        """Return the endpoints that are not suspended, in the order of the settings.

        If there are none, calls fail at once instead of waiting for the timeout of each endpoint.
        """
        now = self.runtime.now()
        return [url for url in self.settings.endpoints if self.suspended_until[url] <= now]

    def retry_delay_s(self) -> float:
        """Return the seconds until an endpoint is available."""
        return max(0.0, min(self.suspended_until.values()) - self.runtime.now())

    def record_success(self, url: str) -> None:
        """Record that an endpoint answered."""
        self.failure_counts[url] = 0
        self.suspended_until[url] = 0.0

    def record_failure(self, url: str) -> None:
        """Record a failed call, which suspends the endpoint."""
        doublings = min(self.failure_counts[url], 16)
        self.failure_counts[url] += 1
        backoff_s = min(self.settings.backoff_limit_s, self.settings.backoff_base_s * 2**doublings)
        self.suspended_until[url] = self.runtime.now() + backoff_s * (0.5 + self.runtime.random())
