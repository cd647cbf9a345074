"""What other packages may ask of the configuration, and what it asks of the store."""

from collections.abc import Callable
from typing import Protocol

from rosedyke.configuration import intent


class Current(Protocol):
    """The configuration in force at this instance."""

    @property
    def configuration(self) -> intent.Configuration | None:
        """The newest generation, None before the first.  Never goes back."""

    def subscribe(self, callback: Callable[[intent.Configuration], None]) -> None:
        """Call ``callback(new)`` after each step forward; it must not block."""

    def is_leaving(self, server_name: str) -> bool:
        """Return whether the platform lists the backend server as leaving."""
