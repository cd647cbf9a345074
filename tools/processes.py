"""Start the project's programs as processes on loopback, and terminate exactly those.

Shared by the demo, the tests with real processes and the benchmarks.
"""

import contextlib
import itertools
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable

import attrs
import process_report

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 15.0
# A stack takes milliseconds; a process without a processor writes none at all.
STACK_TIMEOUT_S = 2.0


@attrs.define
class ManagedProcess:
    """A process that was started by ``Group``.

    Attributes
    ----------
    name : str
        Name in error messages.
    process : subprocess.Popen
        Handle of the process.
    log : pathlib.Path
        File with its output.
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

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate it, kill it after ``timeout_s`` seconds, and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Kill it and return its exit code."""
        if self.process.poll() is None:
            self.process.kill()
        return self.process.wait()

    def tail(self, lines: int = 20) -> str:
        """Return the last lines of its output."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])

    def describe(self) -> str:
        """Return its exit code, or its state and use of the processor."""
        exit_code = self.process.poll()
        if exit_code is not None:
            return f"exit code {exit_code}"
        return process_report.describe_process(self.pid)

    def abort_if_silent(self) -> None:
        """End it by SIGABRT if it has written nothing; ``faulthandler`` then writes its stacks."""
        if self.process.poll() is None and not self.log.stat().st_size:
            # SIGABRT would otherwise leave a core file in the working copy.
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(self.pid, resource.RLIMIT_CORE, (0, 0))
            self.process.send_signal(signal.SIGABRT)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(STACK_TIMEOUT_S)


class Group(contextlib.AbstractContextManager):
    """Context manager that terminates the processes started in it.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the output files.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.members: list[ManagedProcess] = []

    def start(self, name: str, *arguments: str, **environment: str) -> ManagedProcess:
        """Start ``python -X faulthandler -W ignore -m <arguments>`` and return it."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-X", "faulthandler", "-W", "ignore", "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env={**os.environ, **environment},
            )
        started = ManagedProcess(name, process, log)
        self.members.append(started)
        return started

    def report(self) -> str:
        """Return what tells why a member is late, for all members; ends those without output."""
        descriptions = [member.describe() for member in self.members]
        lines = [process_report.describe_machine()]
        for member, description in zip(self.members, descriptions, strict=True):
            member.abort_if_silent()
            lines.append(f"{member.name}: {description}\n{member.tail()}")
        return "\n".join(lines)

    def __exit__(self, *exception) -> None:
        """Terminate all running processes at once, and kill those that do not exit."""
        running = [member for member in self.members if member.process.poll() is None]
        for member in running:
            member.signal(signal.SIGCONT)
            member.process.terminate()
        for member in running:
            member.stop()


_address_numbers = itertools.count()


def unique_loopback_address() -> str:
    """Return a loopback address that is used by one process only.

    A free port of 127.0.0.1 may be taken before the intended process binds it, by another process
    or as the source port of a connection.  On an address of its own there is no such race.
    """
    number = os.getpid() * 64 + next(_address_numbers) % 64
    return f"127.{1 + number // 65536 % 254}.{number // 256 % 256}.{number % 256}"


_allocated_ports: set[tuple[str, int]] = set()


def free_port(address: str = "127.0.0.1") -> int:
    """Return a free port of a loopback address; never returns the same port twice.

    The kernel may assign a port again before the intended process has bound it.
    """
    while True:
        with socket.socket() as listener:
            listener.bind((address, 0))
            bound_address = listener.getsockname()
        if bound_address not in _allocated_ports:
            _allocated_ports.add(bound_address)
            return bound_address[1]


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Poll until a condition holds.

    Raises
    ------
    TimeoutError
        The condition did not hold within ``timeout_s`` seconds; the message names ``what``, the
        number of polls and the longest time between two.  A long one says that this process itself
        was paused.
    """
    started_s = polled_s = time.monotonic()
    polls, longest_gap_s = 0, 0.0
    while not condition():
        now_s = time.monotonic()
        polls, longest_gap_s, polled_s = polls + 1, max(longest_gap_s, now_s - polled_s), now_s
        if now_s > started_s + timeout_s:
            raise TimeoutError(
                f"timed out after {timeout_s} s waiting for: {what}"
                f" ({polls} polls, at most {longest_gap_s:.2f} s apart)"
            )
        time.sleep(POLL_INTERVAL_S)
