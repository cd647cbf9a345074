"""Time, tasks and events as the aggregates see them.

The daemon runs on eventlet, which is deprecated upstream.  The aggregates take this interface
instead, so that the choice can change without them, and so that tests can run the same code on
a virtual clock with an order of steps that they choose.
"""

from collections.abc import Callable
from typing import Any, Protocol


class Signal(Protocol):
    """A one-shot event that tasks can wait for."""

    def set(self, value: Any = None) -> None:
        """Wake every waiter and let later waits return at once.  A second call does nothing."""

    def is_set(self) -> bool:
        """Return whether ``set`` was called."""

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set and return true, or return false after ``timeout_s`` seconds."""

    @property
    def value(self) -> Any:
        """The value given to ``set``, None before."""


class Task(Protocol):
    """A running task."""

    def cancel(self) -> None:
        """Stop the task at its next blocking call.  A finished task is left alone."""

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until the task has ended and return true, or return false after the timeout."""


class Runtime(Protocol):
    """What an aggregate needs from the process that it runs in."""

    def now(self) -> float:
        """Return monotonic seconds; only differences have a meaning."""

    def sleep(self, seconds: float) -> None:
        """Block the calling task."""

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> Task:
        """Run ``function`` as a task of its own.  An escaping exception is logged."""

    def spawn_service(self, function: Callable[..., Any], *arguments: Any) -> Task:
        """Run a function that has to run as long as the process.

        An escaping exception is logged as an event and counted, and the function is started again
        with backoff.
        """

    def end_process(self, reason: str) -> None:
        """Shut the process down because a part of it failed that can't be started again."""

    def signal(self) -> Signal:
        """Return a new signal."""

    def random(self) -> float:
        """Return a number in [0, 1) for jitter and choice of peers."""
