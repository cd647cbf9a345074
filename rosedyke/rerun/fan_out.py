"""Asks several instances at once."""

import functools
from collections.abc import Callable, Iterable
from typing import Any

from rosedyke import runtime as runtime_module
from rosedyke.rerun import messages
from rosedyke.wire import peer


def request_all(
    runtime: runtime_module.Runtime,
    peers: peer.Peers,
    instances: Iterable[messages.Instance],
    message: Any,
    timeout_s: float,
) -> list[Any]:
    """Return the answers of all that answer within the time; the others are left out.

    Silence is no answer here: how long an instance has been silent is judged, and logged, by the
    renewals.
    """
    answers: list[Any] = []

    def send(instance):
        try:
            answers.append(peers.request(peer.at_address(instance.address), message, timeout_s))
        except peer.PeerError:
            return

    run_concurrently(
        runtime, [functools.partial(send, instance) for instance in instances], timeout_s
    )
    return answers


def run_concurrently(
    runtime: runtime_module.Runtime, functions: Iterable[Callable[[], None]], timeout_s: float
) -> None:
    """Run functions side by side and block until all have ended, each for so long at most."""
    for task in [runtime.spawn(function) for function in functions]:
        task.wait(timeout_s)
