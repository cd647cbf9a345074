"""Fake backend servers on the virtual clock, without sockets."""

import collections
from collections.abc import Callable

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import ports


@attrs.define(eq=False)
class FakeServer:
    """State of one backend server.

    Attributes
    ----------
    speed : float
        Divides run times.
    fault : Exception or None
        Raised for each task before it starts.
    is_leaving : bool
        Rejects new tasks and reports that it is leaving.
    is_half_open : bool
        Requests are lost: no task starts and no reply arrives.
    running, most_running : int
        Current and peak number of running tasks.
    """

    speed: float = 1.0
    fault: Exception | None = None
    is_leaving: bool = False
    is_half_open: bool = False
    running: int = 0
    most_running: int = 0


class FakeGateway:
    """Implements ``dispatch.ports.BackendGateway``.

    Parameters
    ----------
    runtime : Runtime
        The virtual clock.
    run_time_s : callable
        ``run_time_s(server, call)`` in seconds at speed 1.
    connect_s : float
        Upper bound on the random time to connect.
    """

    def __init__(
        self, runtime, run_time_s: Callable = lambda server, call: 0.1, connect_s: float = 0.0
    ):
        self.runtime = runtime
        self.run_time_s = run_time_s
        self.connect_s = connect_s
        self.servers: dict[str, FakeServer] = collections.defaultdict(FakeServer)
        self.starts: collections.Counter[tuple[str, int]] = collections.Counter()
        self.started: list[tuple[float, str, str, int]] = []
        self.excess = 0
        self.refused = 0

    def set_instance_count(self, instances: int) -> None:
        """Do nothing: there is no connection pool."""

    def run_task(
        self, server: intent.BackendServer, call: ports.BackendCall, timeout_s: float
    ) -> ports.TaskReply:
        """Run a task in virtual time."""
        state = self.servers[server.name]
        if self.connect_s:
            self.runtime.sleep(self.connect_s * self.runtime.random())
        if state.fault is not None:
            self.refused += 1
            raise state.fault
        if state.is_half_open:
            self.runtime.sleep(timeout_s)
            raise ports.MayHaveRun("no answer in time", is_timeout=True)
        if state.is_leaving:
            self.refused += 1
            raise ports.NotStarted("leaving", is_leaving=True, is_reached=True)
        if state.running >= server.slots:
            self.excess += 1
            raise ports.NotStarted("every slot is taken", is_reached=True)
        self.starts[call.job_id, call.index] += 1
        self.started.append((self.runtime.now(), server.name, call.job_id, call.index))
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        run_s = self.run_time_s(server, call) / state.speed
        if run_s > timeout_s:
            self.runtime.spawn(self._finish_later, state, run_s)
            self.runtime.sleep(timeout_s)
            raise ports.MayHaveRun("no answer in time", is_timeout=True)
        self.runtime.sleep(run_s)
        state.running -= 1
        return ports.TaskReply(b'"done"', state.is_leaving)

    def probe(self, server: intent.BackendServer, timeout_s: float) -> ports.ProbeReply:
        """Return the number of running tasks."""
        self.runtime.sleep(0.001)
        state = self.servers[server.name]
        return ports.ProbeReply(state.running, state.is_leaving)

    def _finish_later(self, state, run_s):
        self.runtime.sleep(run_s)
        state.running -= 1
