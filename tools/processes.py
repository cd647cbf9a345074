"""Start the project's own programs as plain processes on loopback, and end just those, by id.

The demo, the tests with real processes and the benchmarks share it.  The product itself starts no
process.
"""

import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLL_S = 0.05
STOP_LIMIT_S = 15.0


@attrs.define
class Started:
    """One running process.

    Attributes
    ----------
    name : str
        For messages.
    process : subprocess.Popen
        The process itself.
    log : pathlib.Path
        Where its output goes.
    """

    name: str
    process: subprocess.Popen
    log: pathlib.Path

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        self.process.send_signal(number)

    def stop(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Ask it to stop, kill it after ``limit_s`` seconds, and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            return self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """End it at once and return its exit code."""
        if self.process.poll() is None:
            self.process.kill()
        return self.process.wait()

    def tail(self, lines: int = 20) -> str:
        """Return the end of its output."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


class Group(contextlib.AbstractContextManager):
    """Processes that end together, however the block that started them is left.

    Parameters
    ----------
    folder : pathlib.Path
        Where the output of each is written.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.started: list[Started] = []

    def start(self, name: str, *arguments: str, **environment: str) -> Started:
        """Start ``python -W ignore -m <arguments>`` and return it."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env={**os.environ, **environment},
            )
        started = Started(name, process, log)
        self.started.append(started)
        return started

    def __exit__(self, *exception) -> None:
        """End all that still run: politely, all at once, then by force."""
        running = [one for one in self.started if one.process.poll() is None]
        for one in running:
            one.signal(signal.SIGCONT)
            one.process.terminate()
        for one in running:
            one.stop()


_blocks = itertools.count()


def own_loopback() -> str:
    """Return a loopback address that nothing else on this machine uses.

    A port that the kernel gave out as free can be taken before the process that it is meant for
    has bound it: by another call, or as the source of any connection from 127.0.0.1.  Its instance
    then doesn't start, or talks to the wrong one.  On an address of its own nobody else binds.
    """
    number = os.getpid() * 64 + next(_blocks) % 64
    return f"127.{1 + number // 65536 % 254}.{number // 256 % 256}.{number % 256}"


_given: set[tuple[str, int]] = set()


def free_port(address: str = "127.0.0.1") -> int:
    """Return a port that the kernel gives out as free on a loopback address, each only once.

    The kernel may give the same one again while the process that it is meant for has not bound it
    yet; an instance then found two of its addresses equal.
    """
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            found = probe.getsockname()
        if found not in _given:
            _given.add(found)
            return found[1]


def wait_until(condition: Callable[[], bool], limit_s: float, what: str) -> None:
    """Poll until a condition holds.

    Raises
    ------
    TimeoutError
        It did not hold within ``limit_s`` seconds; names ``what`` was waited for.
    """
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what} did not come within {limit_s} s")
        time.sleep(POLL_S)
