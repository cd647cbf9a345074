"""Runs a function for as long as the process lives, and notices if it fails.

docs/design/services.md lists which functions run as services and why.
"""

from collections.abc import Callable
from typing import Any

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, events, metric, metrics

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# A service that ran at least this long before it failed is started again with the first backoff.
STEADY_S = 30.0


def run(
    runtime: runtime_module.Runtime, function: Callable[..., Any], arguments: tuple[Any, ...]
) -> None:
    """Call a function until it returns, again with backoff after each unexpected error."""
    backoff_s = INITIAL_BACKOFF_S
    while True:
        started_at = runtime.now()
        try:
            function(*arguments)
            return
        except Exception as error:
            record_failure(function, error)
        if runtime.now() - started_at >= STEADY_S:
            backoff_s = INITIAL_BACKOFF_S
        runtime.sleep(backoff_s * (0.5 + runtime.random()))
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def record_failure(function: Callable[..., Any], error: Exception) -> None:
    """Log and count the exception that is being handled as the failure of a service."""
    metric.count(metrics.SERVICE_FAILURES)
    name = getattr(function, "__qualname__", repr(function))
    event.log(events.SERVICE_FAILED, exc_info=True, service=name, error=repr(error))
