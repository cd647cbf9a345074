"""Sends a request to several instances concurrently."""

import functools
from collections.abc import Callable, Iterable
from typing import Any

from rosedyke import runtime as runtime_module
from rosedyke.rerunnable_jobs import messages
from rosedyke.wire import peer


def request_all(
    runtime: runtime_module.Runtime,
    peers: peer.Peers,
    instances: Iterable[messages.Instance],
    message: Any,
    timeout_s: float,
) -> list[Any]:
    """Return the replies that arrive within the timeout; failed requests are left out.

    Unresponsive instances are detected and logged by the renewals, not here.
    """
    replies: list[Any] = []

    def send(instance):
        try:
            replies.append(peers.request(peer.at_address(instance.address), message, timeout_s))
        except peer.PeerError:
            return

    run_concurrently(
        runtime, [functools.partial(send, instance) for instance in instances], timeout_s
    )
    return replies


def run_concurrently(
    runtime: runtime_module.Runtime, functions: Iterable[Callable[[], None]], timeout_s: float
) -> None:
    """Run functions concurrently and wait for each of them for at most ``timeout_s``."""
    for task in [runtime.spawn(function) for function in functions]:
        task.wait(timeout_s)
