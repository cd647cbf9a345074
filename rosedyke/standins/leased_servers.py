"""Simulated backend servers that run tasks under leases, with checks of the invariants.

The servers enforce the protocol only.  They also accept starts that exceed their capacity or that
run a task a second time, and these are recorded in ``violations``.
"""

from collections.abc import Callable

import attrs

from rosedyke.overload import own_delay
from rosedyke.rerunnable_jobs import job, ports, server_commands
from rosedyke.standins import virtual

NETWORK_DELAY_S = 0.0005
MS_PER_S = 1000
# How long a stopped run continues after the reply to the stop command.
STOP_DELAY_S = 0.05
# Connections, as of ``gateways.http_client``.
CONNECT_TIMEOUT_S = 0.15
MAX_IDLE_S = 2.5
MAX_IDLE_CONNECTIONS = 6
# Size of a command without a payload, and of its reply.
COMMAND_BYTES = 250
# When TCP sends lost bytes again, counted from the first time.  The sender need not be waiting.
RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0)


@attrs.define(eq=False)
class RunInProgress:
    """A run in progress."""

    task: str
    number: int
    payload: str
    began_at: float
    duration_s: float


class LeasedServer:
    """One backend server.

    Parameters
    ----------
    world : SimulatedBackend
        The simulation that the server belongs to.
    listed : Server
        The server's entry in the platform's registry.
    speed : float
        Divides the duration of tasks.
    """

    def __init__(self, world: "SimulatedBackend", listed: ports.Server, speed: float = 1.0):
        self.world = world
        self.runtime = world.runtime
        self.listed = listed
        self.speed = speed
        self.is_up = True
        self.is_hanging = False
        self.fails_all = False
        self.born_ms = listed.born_ms or 1
        self.clock_zero_s = -7.0
        self.highest_token = 0
        self.lease_end_s = 0.0
        self.runs: dict[tuple[str, int], RunInProgress] = {}
        self.ended: list[ports.EndedRun] = []
        self.count = 0
        self.excluded: dict[str, int] = {}
        self.tokens: dict[int, str] = {}
        self.run_ended = self.runtime.signal()
        self.runtime.spawn(self._watch_lease)

    def clock_ms(self) -> int:
        """Return the server's monotonic clock."""
        return int((self.runtime.now() - self.clock_zero_s) * MS_PER_S)

    def crash(self) -> None:
        """Stop responding and lose all runs."""
        self.is_up = False
        for run in self.runs.values():
            self.world.on_end(self, run, None)
        self.runs.clear()

    def restart(self) -> None:
        """Start again with empty state under the same id."""
        self.born_ms += 1000
        self.is_up = True
        self.clock_zero_s = self.runtime.now()
        self.highest_token = self.count = 0
        self.lease_end_s = 0.0
        self.ended, self.excluded = [], {}

    def _check(self, token, sender):
        if token < self.highest_token:
            raise ports.CommandRefused(ports.RefusalReason.FENCED)
        self.highest_token = token
        owner = self.tokens.setdefault(token, sender)
        if token and owner != sender:
            self.world.violations.append(f"token {token} of {owner} used by {sender}")

    def start(self, command: ports.StartCommand, sender: str) -> None:
        """Start a run, also after the command's deadline if the server's lease is still valid."""
        self._check(command.token, sender)
        self._extend(command.lease_end_ms)
        key = (command.task, command.run)
        if key in self.runs:
            return
        if command.run <= self.excluded.get(command.task, 0):
            raise ports.CommandRefused(ports.RefusalReason.OLD_RUN)
        if self.runtime.now() >= self.lease_end_s:
            raise ports.CommandRefused(ports.RefusalReason.LATE)
        duration_s = self.world.duration_s(command.task) / self.speed
        run = RunInProgress(*key, command.payload, self.runtime.now(), duration_s)
        self.world.on_start(self, run)
        self.runs[key] = run
        self.runtime.spawn(self._run, run)

    def _run(self, run):
        self.runtime.sleep(0.01 if self.fails_all else run.duration_s)
        while self.is_hanging:
            self.runtime.sleep(0.05)
        if self.runs.get((run.task, run.number)) is run:
            result = ports.RunResult.FAILED if self.fails_all else ports.RunResult.DONE
            self._end(run, result)

    def _end(self, run, result):
        del self.runs[(run.task, run.number)]
        self.world.on_end(self, run, result)
        if result is ports.RunResult.DONE:
            self.world.completed.add(run.task)
        self.excluded[run.task] = max(run.number, self.excluded.get(run.task, 0))
        self.count += 1
        self.ended.append(ports.EndedRun(self.count, run.task, run.number, result))
        self.run_ended.set()
        self.run_ended = self.runtime.signal()

    def stop(self, task: str, number: int, token: int, sender: str) -> None:
        """Exclude a run from starting later, and end it soon if it is in progress."""
        self._check(token, sender)
        self.excluded[task] = max(number, self.excluded.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None:
            self.runtime.spawn(self._end_stopped, run)

    def _end_stopped(self, run):
        self.runtime.sleep(STOP_DELAY_S)
        if self.runs.get((run.task, run.number)) is run:
            self._end(run, ports.RunResult.STOPPED)

    def renew_lease(self, token, acknowledged, lease_end_ms, wait_s, sender) -> ports.RunListing:
        """Renew the lease and list the active and ended runs."""
        self._check(token, sender)
        if lease_end_ms is not None:
            self._extend(lease_end_ms)
        self.ended = [ended_run for ended_run in self.ended if ended_run.number > acknowledged]
        if not self.ended and wait_s:
            self.run_ended.wait(wait_s)
        now = self.runtime.now()
        running = tuple(
            ports.ActiveRun(run.task, run.number, self._percent(run, now))
            for run in self.runs.values()
        )
        return ports.RunListing(self.clock_ms(), self.born_ms, running, tuple(self.ended))

    def _percent(self, run, now):
        if self.is_hanging:
            return 0
        return min(99, int(100 * (now - run.began_at) / run.duration_s))

    def _extend(self, lease_end_ms):
        now = self.runtime.now()
        requested_end_s = now + (lease_end_ms - self.clock_ms()) / MS_PER_S
        self.lease_end_s = max(self.lease_end_s, min(requested_end_s, now + self.world.max_lease_s))

    def _watch_lease(self):
        while True:
            self.runtime.sleep(0.01)
            if self.runtime.now() > self.lease_end_s:
                for run in list(self.runs.values()):
                    self._end(run, ports.RunResult.STOPPED)


class SimulatedBackend:
    """All backend servers of a simulation, and the invariant violations they detected.

    Attributes
    ----------
    violations : list of str
        Tasks with concurrent runs, servers over capacity, tokens used by two owners.
    starts : list of (float, str, str)
        Time, task and server id of every start.
    completed : set of str
        Tasks of which a run was completed.
    durations : dict of str to float
        Duration of a job's tasks at speed 1, by job id.
    partitioned : set of (str, str)
        Pairs of instance and server id that are partitioned.
    fault_injector : callable
        ``fault_injector(kind, instance, server)`` returns None to deliver a command normally, or
        the delay in seconds after which it is executed without a reply.
    """

    def __init__(self, runtime: virtual.VirtualRuntime, max_lease_s: float = 1.0):
        self.runtime = runtime
        self.max_lease_s = max_lease_s
        self.servers: dict[str, LeasedServer] = {}
        self.violations: list[str] = []
        self.starts: list[tuple[float, str, str]] = []
        self.completed: set[str] = set()
        self.durations: dict[str, float] = {}
        self.demands: dict[str, job.Demand] = {}
        self.partitioned: set[tuple[str, str]] = set()
        self.fault_injector: Callable[[str, str, str], float | None] = (
            lambda kind, instance, server: None
        )

    def add(self, listed: ports.Server, speed: float = 1.0) -> LeasedServer:
        """Add a server."""
        self.servers[listed.id] = LeasedServer(self, listed, speed)
        return self.servers[listed.id]

    def duration_s(self, task: str) -> float:
        """Return a task's duration at speed 1."""
        return self.durations.get(job.job_id(task), 0.1)

    def on_start(self, server: LeasedServer, run: RunInProgress) -> None:
        """Record a start and check the invariants before it takes effect."""
        now = self.runtime.now()
        self.starts.append((now, run.task, server.listed.id))
        for other in self.servers.values():
            for live in other.runs.values():
                if live.task == run.task:
                    self.violations.append(
                        f"{now:.3f}: {run.task} runs on {other.listed.id} and {server.listed.id}"
                    )
        used = self._demand(run)
        for live in server.runs.values():
            used = used.plus(self._demand(live))
        if not job.Demand().fits(used, server.listed.capacity):
            self.violations.append(f"{now:.3f}: {server.listed.id} is over its capacity")

    def on_end(
        self, server: LeasedServer, run: RunInProgress, result: ports.RunResult | None
    ) -> None:
        """Do nothing; replaced by those who record the ends of runs.

        ``result`` is None if the server crashed.
        """

    def _demand(self, run):
        return self.demands.get(job.job_id(run.task), job.Demand(1000))


@attrs.define(eq=False)
class Exchange:
    """One command and its reply."""

    ended: virtual.VirtualSignal
    reply: ports.RunListing | None = None
    refusal: ports.CommandRefused | None = None


class SimulatedGateway:
    """Implements ``ports.ServerGateway`` for one instance.

    Parameters
    ----------
    delay : OwnDelay or None
        The instance's link, None if it is unlimited.

    Attributes
    ----------
    idle_connections : dict of str to list of float
        When each idle connection was last used, by server id.
    """

    def __init__(
        self, world: SimulatedBackend, instance: str, delay: own_delay.OwnDelay | None = None
    ):
        self.world = world
        self.runtime = world.runtime
        self.delay = delay or own_delay.OwnDelay(world.runtime)
        self.instance = instance
        self.idle_connections: dict[str, list[float]] = {}

    def start(self, server: ports.Server, command: ports.StartCommand, timeout_s: float) -> None:
        """Start a run."""
        self._send(
            "start",
            server,
            timeout_s,
            lambda target: target.start(command, self.instance),
            server_commands.START_HEADER_BYTES + len(command.payload),
        )

    def stop(self, server, task: str, run: int, token: int, timeout_s: float) -> None:
        """Stop a run."""
        self._send(
            "stop", server, timeout_s, lambda target: target.stop(task, run, token, self.instance)
        )

    def renew_lease(
        self, server, token, acknowledged, lease_end_ms, wait_s, timeout_s
    ) -> ports.RunListing:
        """Renew the lease and list the active and ended runs."""
        return self._send(
            "hold",
            server,
            timeout_s,
            lambda target: target.renew_lease(
                token, acknowledged, lease_end_ms, wait_s, self.instance
            ),
        )

    def disconnect(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        self.idle_connections.pop(server_id, None)

    def _send(self, kind, server, timeout_s, action, size=COMMAND_BYTES):
        """Send a command over TCP and wait for its reply.

        Without an idle connection a command to an unreachable server is not sent.  On an idle one
        its bytes are sent again until they arrive, whether or not the sender still waits.
        """
        target = self.world.servers[server.id]
        deadline = self.runtime.now() + timeout_s
        delay_s = self.world.fault_injector(kind, self.instance, server.id)
        self._acquire_connection(server.id, timeout_s)
        exchange = Exchange(self.runtime.signal())
        self.delay.record_sent(size)
        if delay_s is not None:
            self.runtime.spawn(self._execute_late, target, delay_s, action)
        else:
            self.runtime.spawn(self._deliver, target, action, exchange)
        if not exchange.ended.wait(max(0.0, deadline - self.runtime.now())):
            raise ports.NoReply(f"no reply from {server.id}")
        self._release_connection(server.id)
        if exchange.refusal is not None:
            raise exchange.refusal
        return exchange.reply

    def _acquire_connection(self, server_id, timeout_s):
        """Use an idle connection, or connect."""
        idle_connections = self.idle_connections.get(server_id, [])
        while idle_connections:
            if self.runtime.now() - idle_connections.pop() <= MAX_IDLE_S:
                return
        if not self._is_reachable(server_id):
            self.runtime.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise ports.ConnectionFailed(f"{server_id} unreachable")

    def _release_connection(self, server_id):
        idle_connections = self.idle_connections.setdefault(server_id, [])
        if len(idle_connections) < MAX_IDLE_CONNECTIONS:
            idle_connections.append(self.runtime.now())

    def _deliver(self, target, action, exchange):
        """Execute a command, and deliver its reply."""
        born_ms = target.born_ms
        self._wait_for_link(self.delay.outgoing)
        if not self._transfer(target, born_ms):
            return
        try:
            exchange.reply = action(target)
        except ports.CommandRefused as refusal:
            exchange.refusal = refusal
        if self._transfer(target, born_ms):
            self.delay.record_received(COMMAND_BYTES)
            self._wait_for_link(self.delay.incoming)
            exchange.ended.set()

    def _wait_for_link(self, direction):
        if backlog_s := direction.backlog_s(self.runtime.now()):
            self.runtime.sleep(backlog_s)

    def _transfer(self, target, born_ms):
        """Wait until bytes have arrived; return False if the connection is lost before."""
        self.runtime.sleep(NETWORK_DELAY_S)
        sent_at = self.runtime.now()
        for retransmitted_s in RETRANSMISSIONS_S:
            if target.born_ms != born_ms:
                return False
            if self._is_reachable(target.listed.id):
                return True
            self.runtime.sleep(sent_at + retransmitted_s - self.runtime.now())
        return self._is_reachable(target.listed.id) and target.born_ms == born_ms

    def _is_reachable(self, server_id):
        is_partitioned = (self.instance, server_id) in self.world.partitioned
        return self.world.servers[server_id].is_up and not is_partitioned

    def _execute_late(self, target, delay_s, action):
        self.runtime.sleep(delay_s)
        try:
            if target.is_up:
                action(target)
        except ports.CommandRefused:
            return  # a delayed command that the server rejects has no effect
