"""Fakes of the configuration and the membership, for tests of the daemon."""

from rosedyke.configuration import intent
from rosedyke.membership import member


class FakeCurrent:
    """A configuration that the test sets."""

    def __init__(self, configuration: intent.Configuration | None = None):
        self.configuration = configuration
        self.callbacks = []
        self.leaving: set[str] = set()

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the test listed the server as leaving."""
        return server_name in self.leaving

    def subscribe(self, callback) -> None:
        """Keep the callback."""
        self.callbacks.append(callback)

    def step(self, configuration: intent.Configuration) -> None:
        """Bring a configuration into force."""
        self.configuration = configuration
        for callback in self.callbacks:
            callback(configuration)


class FakeMembership:
    """A view that the test sets."""

    def __init__(self, own: member.Member, *others: member.Member):
        self.own = own
        self.view = member.View(tuple(sorted((own, *others), key=lambda one: one.name)))
        self.confirmed = True

    def is_confirmed(self) -> bool:
        """Return what the test set."""
        return self.confirmed


class FakeServerUsage:
    """Two slots in use on every server."""

    def in_use(self, server_name: str) -> int:
        """Return two."""
        return 2

    def state(self, server_name: str) -> str:
        """Return that all is well."""
        return "ok"
