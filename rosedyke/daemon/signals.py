"""Dispatches Unix signals to green threads."""

import os
import signal
from collections.abc import Callable, Mapping, Sequence

import eventlet.hubs

from rosedyke.observe import service


def watch(
    actions: Mapping[int, Callable[[], None]],
    on_arrival: Callable[[int], None] = lambda _: None,
    early: Sequence[int] = (),
) -> None:
    """Call the action of each signal that arrives; does not return.

    A signal handler may interrupt any code, and can't wake the event loop.  The handlers
    therefore do no more than ``on_arrival``: the wake-up file descriptor delivers the signal's
    number through a pipe that the event loop polls.

    Parameters
    ----------
    on_arrival : callable
        Called with the signal's number by its handler, also while the event loop is busy.
    early : sequence of int
        Signals that arrived before this call, to a handler that adds to it.
    """
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    os.set_blocking(write_fd, False)
    # Before the handlers are replaced, so that no signal is missed in between.
    signal.set_wakeup_fd(write_fd)
    for signal_number in actions:
        signal.signal(signal_number, lambda received, frame: on_arrival(received))
    for signal_number in set(early) & set(actions):
        _act(actions[signal_number])
    while True:
        eventlet.hubs.trampoline(read_fd, read=True)
        for signal_number in os.read(read_fd, 16):
            if signal_number in actions:
                _act(actions[signal_number])


def _act(action):
    """Call an action; its error must not keep later signals from having an effect."""
    try:
        action()
    except Exception as error:
        service.record_failure(action, error)
