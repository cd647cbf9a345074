"""Fakes of the ports that the daemon uses."""

from rosedyke.configuration import intent
from rosedyke.membership import member


class FakeCurrent:
    """A preset configuration."""

    def __init__(self, configuration: intent.Configuration | None = None):
        self.configuration = configuration
        self.callbacks = []
        self.leaving: set[str] = set()

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the server is in ``leaving``."""
        return server_name in self.leaving

    def subscribe(self, callback) -> None:
        """Register a callback for configuration changes."""
        self.callbacks.append(callback)

    def step(self, configuration: intent.Configuration) -> None:
        """Activate a configuration and notify the subscribers."""
        self.configuration = configuration
        for callback in self.callbacks:
            callback(configuration)


class FakeMembership:
    """A membership with a preset view."""

    def __init__(self, own: member.Member, *others: member.Member):
        self.own = own
        self.view = member.View(tuple(sorted((own, *others), key=lambda listed: listed.name)))
        self.confirmed = True

    def is_confirmed(self) -> bool:
        """Return the preset value."""
        return self.confirmed


class FakeServerUsage:
    """Reports two slots in use on every server."""

    def in_use(self, server_name: str) -> int:
        """Return 2."""
        return 2

    def state(self, server_name: str) -> str:
        """Return "ok"."""
        return "ok"
