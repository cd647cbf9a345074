"""Signals as calls of ordinary tasks."""

import os
import signal
from collections.abc import Callable, Mapping

import eventlet.hubs


def watch(actions: Mapping[int, Callable[[], None]]) -> None:
    """Call the action of each signal that arrives.

    A handler runs inside whatever the process does, also inside the event loop's wait, which it
    can't end.  So the handler does nothing, and the signal's number comes through a pipe that the
    loop waits for like for a socket.
    """
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    os.set_blocking(writing, False)
    for number in actions:
        signal.signal(number, lambda received, frame: None)
    signal.set_wakeup_fd(writing)
    while True:
        eventlet.hubs.trampoline(reading, read=True)
        for number in os.read(reading, 16):
            if number in actions:
                actions[number]()
