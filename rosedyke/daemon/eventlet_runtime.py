"""Implementation of the runtime on eventlet: green threads, monotonic time, one-shot signals."""

import logging
import os
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.event
import greenlet

from rosedyke.observe import event, events, service

_logger = logging.getLogger("rosedyke")


class GreenSignal:
    """A one-shot event for green threads."""

    def __init__(self):
        self.value: Any = None
        self.event = eventlet.event.Event()

    def set(self, value: Any = None) -> None:
        """Wake all waiters; further calls have no effect."""
        if not self.event.ready():
            self.value = value
            self.event.send(True)

    def is_set(self) -> bool:
        """Return whether ``set`` was called."""
        return self.event.ready()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until set or until the timeout; return whether it was set."""
        if self.event.ready():
            return True
        return bool(self.event.wait(timeout=timeout_s))


class GreenTask:
    """A function that runs in a green thread."""

    def __init__(self, function: Callable[..., Any], arguments: tuple):
        self.is_ended = False
        # Created only by ``wait``, because most tasks are never waited for.
        self.ended: GreenSignal | None = None
        self.thread = eventlet.spawn_n(self._run, function, arguments)

    def _run(self, function, arguments):
        try:
            function(*arguments)
        except greenlet.GreenletExit:
            pass
        except Exception:
            _logger.exception(
                "unhandled exception in a green thread of %s",
                getattr(function, "__qualname__", function),
            )
        finally:
            self._end()

    def _end(self):
        self.is_ended = True
        if self.ended is not None:
            self.ended.set()

    def cancel(self) -> None:
        """Stop the task at its next blocking call."""
        if not self.is_ended:
            eventlet.kill(self.thread)
            self._end()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until the task has ended or until the timeout; return whether it has ended."""
        if self.is_ended:
            return True
        if self.ended is None:
            self.ended = GreenSignal()
        return self.ended.wait(timeout_s)


class GreenRuntime:
    """Implements ``runtime.Runtime`` on eventlet."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Let other green threads run for ``seconds``."""
        eventlet.sleep(seconds)

    def spawn(self, function: Callable[..., Any], *arguments: Any) -> GreenTask:
        """Run a function in a green thread; an unhandled exception is logged."""
        return GreenTask(function, arguments)

    def spawn_service(self, function: Callable[..., Any], *arguments: Any) -> GreenTask:
        """Run a function in a green thread, again after each unhandled exception."""
        return GreenTask(service.run, (self, function, arguments))

    def end_process(self, reason: str) -> None:
        """Send SIGTERM to this process, whose handler begins the shutdown."""
        event.log(events.PROCESS_ENDS, reason=reason)
        os.kill(os.getpid(), signal.SIGTERM)

    def signal(self) -> GreenSignal:
        """Return a new signal."""
        return GreenSignal()

    def random(self) -> float:
        """Return a random number in [0, 1)."""
        return random.random()
