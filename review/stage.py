"""A small deployment on loopback for the cases of the third review.

The instances are the project's own processes, started with the command of ``deploy/system.toml``.
The platform's store and the backend servers are the project's stand-ins
(``adapter.fake_platform``), and each link goes through a proxy (``soak.proxy``).
"""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import attrs
import eventlet
import eventlet.green.http.client

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT), str(ROOT / "tools")]

import processes  # noqa: E402

from adapter import fake_platform  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402
from rosedyke.rerunnable_jobs import fencing_token, job  # noqa: E402
from soak import proxy  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST, PREFIX, SERVICE, QUEUE = "scales.example", "/tags/", "weighing", "r-1"
ROUTE = {
    "name": QUEUE,
    "host": HOST,
    "pathPrefix": PREFIX,
    "service": SERVICE,
    "priority": 0,
    "maxAttempts": 2,
    "latencyFactor": 1.6,
    "targetLatencyMs": 500,
}
SEEDS = 3
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
MEASURED_DELAY_S = 0.005
MAX_DELAY_S = 0.25
# Shortest time between two readings of the table of connections.
CLIENTS_READ_S = 0.25
# The bounds of the pages' example of a settings file.
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "north"
portRange = [{ports[3]}, {ports[4]}]
seeds = {seeds}
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
controlMode = "call"
[listen]
front = "{ip}:{ports[0]}"
readiness = "{ip}:{ports[1]}"
control = "{ip}:{ports[2]}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainTimeoutMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
retryMs = 1300
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class NotRun(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with the time of each line."""

    def __init__(self, folder: pathlib.Path):
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        print(f"{time.monotonic() - self.started_at:8.3f} {text}", file=self.file, flush=True)


@attrs.define(eq=False)
class RecordedRun:
    """A run on a backend server; ``ended_at`` is None while it is in progress."""

    task: str
    number: int
    server_id: str
    began_at: float
    ended_at: float | None = None


@attrs.define(eq=False)
class Reply:
    """A reply to a request; status 0 if there was none."""

    status: int
    body: bytes = b""
    retry_after: str = ""


class Instance:
    """One instance, its process, and its links."""

    def __init__(self, stage: "Stage", name: str, zone: str):
        self.stage, self.name, self.zone = stage, name, zone
        self.ip = processes.unique_loopback_address()
        self.ports = [processes.free_port(self.ip) for _ in range(5)]
        self.callers_link = stage.link(f"{self.ip}:{self.ports[0]}")
        self.store_link = stage.link(stage.platform.store_address)
        self.store_link.holds = lambda port: stage.is_platform_cut(name, "store")
        self.peers_link = stage.link(f"{self.ip}:{self.ports[2]}")
        self.peers_link.holds = lambda port: stage.is_peer_cut(self, port)
        self.process: subprocess.Popen | None = None
        self.seeds: list[str] = []

    @property
    def log(self) -> pathlib.Path:
        """File with the output of its processes."""
        return self.stage.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        file = self.stage.folder / f"{self.name}.toml"
        settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            ports=self.ports,
            seeds=json.dumps(self.seeds),
            store=self.store_link.address,
        )
        file.write_text(settings)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= role.get("env", {}) | {
            "ROSEDYKE_BOOT": str(file),
            "ROSEDYKE_METRICS_PORT": str(self.ports[4]),
            "ROSEDYKE_ADVERTISED_PEER_ADDRESS": self.peers_link.address,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.stage.record.write(f"{self.name}: process {self.process.pid} started")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.stage.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Ask the readiness address."""
        reply = request(f"{self.ip}:{self.ports[1]}", "GET", "/rosedyke/ready", timeout_s=0.5)
        return reply.status == 200

    def sockets(self) -> list[str]:
        """Return the inodes of the sockets of the process."""
        inodes = []
        for descriptor in pathlib.Path(f"/proc/{self.process.pid}/fd").glob("*"):
            with contextlib.suppress(OSError):
                target = os.readlink(descriptor)
                if target.startswith("socket:["):
                    inodes.append(target.removeprefix("socket:[").removesuffix("]"))
        return inodes


class Stage(contextlib.AbstractContextManager):
    """The deployment; ends all processes at the end of the block.

    Parameters
    ----------
    folder : pathlib.Path
        The folder of the case, for ``record.txt``.
    zones : dict of str to (int, int)
        Number of instances and of backend servers of each zone.

    Attributes
    ----------
    groups : list of set of str
        While not empty, instances, servers (by id) and "store" reach only those of their own set;
        those in no set reach each other.
    """

    def __init__(self, folder: pathlib.Path, zones: dict[str, tuple[int, int]]):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.runtime = eventlet_runtime.GreenRuntime()
        self.ip = processes.unique_loopback_address()
        self.platform = fake_platform.FakePlatform(self.runtime, self.ip)
        self.platform.is_reachable = self._is_reachable
        self.backend = self.platform.backend
        self.groups: list[set[str]] = []
        self.cuts_instances_only = False
        # The instance that opened each connection, by its port and the other end's.
        self.clients: dict[tuple[int, int], str] = {}
        self.clients_read_at = float("-inf")
        self.runs: list[RecordedRun] = []
        self._record_runs()
        self.links: list[proxy.Proxy] = []
        self.instances: dict[str, Instance] = {}
        self.version = 10
        self.longest_delay_s = 0.0
        self.runtime.spawn(self._measure_delay)
        self.configure([ROUTE])
        for zone, (instances, servers) in zones.items():
            for number in range(servers):
                self.platform.add_server(f"{zone}-s{number}", zone, SERVICE)
            for number in range(instances):
                name = f"{zone}-{number}"
                self.instances[name] = Instance(self, name, zone)
        seeds = [one.peers_link.address for one in self.instances.values()][:SEEDS]
        for instance in self.instances.values():
            instance.seeds = seeds

    def _measure_delay(self):
        while True:
            before = time.monotonic()
            eventlet.sleep(MEASURED_DELAY_S)
            delay_s = time.monotonic() - before - MEASURED_DELAY_S
            self.longest_delay_s = max(self.longest_delay_s, delay_s)

    def _record_runs(self):
        check = self.backend.on_start

        def on_start(server, run):
            check(server, run)
            server_id = server.listed.id
            self.record.write(f"server {server_id}: started {run.task} run {run.number}")
            self.runs.append(RecordedRun(run.task, run.number, server_id, time.monotonic()))

        def on_end(server, run, result):
            how = "lost" if result is None else result.value
            server_id = server.listed.id
            self.record.write(f"server {server_id}: ended {run.task} run {run.number} {how}")
            for recorded in self.runs:
                key = (recorded.task, recorded.number, recorded.server_id)
                if key == (run.task, run.number, server_id) and recorded.ended_at is None:
                    recorded.ended_at = time.monotonic()

        self.backend.on_start, self.backend.on_end = on_start, on_end

    def link(self, address: str) -> proxy.Proxy:
        """Return a new link to an address."""
        host, _, port = address.rpartition(":")
        self.links.append(proxy.Proxy(host, int(port), self.ip))
        return self.links[-1]

    def start(self) -> None:
        """Start all instances and wait until they are ready."""
        for instance in self.instances.values():
            instance.start()
        self.wait_until(
            lambda: all(one.is_ready() for one in self.instances.values()), "instances are ready"
        )

    def wait_until(self, condition, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait for a condition; raises ``NotRun`` if it does not come true."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise NotRun(f"not in time: {what}")
            eventlet.sleep(POLL_INTERVAL_S)

    def configure(self, routes: list[dict]) -> None:
        """Write a configuration with a higher version."""
        self.version += 3
        self.platform.configure(self.version, routes)
        self.record.write(f"operator: version {self.version} acknowledged")

    def cut(self, *groups: set[str], between_instances_only: bool = False) -> None:
        """Cut the links between groups; without any, all links are whole again.

        Parameters
        ----------
        between_instances_only : bool
            All instances still reach the store and the servers.
        """
        self._read_clients()
        self.groups, self.cuts_instances_only = list(groups), between_instances_only
        self.record.write(f"cut: {[sorted(group) for group in groups] or 'over'}")

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two ends can't reach each other."""
        return self._group_of(one) != self._group_of(other)

    def is_platform_cut(self, instance: str, end: str) -> bool:
        """Return whether an instance can't reach the store, or a server."""
        return not self.cuts_instances_only and self.is_cut(instance, end)

    def _group_of(self, name):
        return next((number for number, group in enumerate(self.groups) if name in group), -1)

    def is_peer_cut(self, target: Instance, port: int) -> bool:
        """Return whether the connection from a port to an instance is cut."""
        if not self.groups:
            return False
        own_port = int(target.peers_link.address.rpartition(":")[2])
        key = (port, own_port)
        if key not in self.clients and time.monotonic() - self.clients_read_at > CLIENTS_READ_S:
            self._read_clients()
        # One that has just been opened waits until its client is known.
        return key not in self.clients or self.is_cut(self.clients[key], target.name)

    def _read_clients(self):
        """Find out which instance has opened each connection."""
        names = {inode: name for name, one in self.instances.items() for inode in one.sockets()}
        self.clients = {}
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in names:
                ports = [int(end.rpartition(":")[2], 16) for end in fields[1:3]]
                self.clients[ports[0], ports[1]] = names[fields[9]]
        self.clients_read_at = time.monotonic()

    def _is_reachable(self, token, server_id):
        number = token & ((1 << fencing_token.INSTANCE_BITS) - 1)
        for name, instance in self.instances.items():
            if fencing_token.instance_number(instance.ip) == number:
                return not self.is_platform_cut(name, server_id)
        return not self.groups or self.cuts_instances_only

    def set_duration(self, job_id: str, seconds: float, millicores: int = 1000) -> None:
        """Set how long the tasks of a job take, and what they need."""
        self.backend.durations[job_id] = seconds
        self.backend.demands[job_id] = job.Demand(millicores)

    def concurrent_runs(self) -> list[str]:
        """Return the pairs of runs of one task that were in progress at the same time."""
        pairs, now = [], time.monotonic()
        for number, one in enumerate(self.runs):
            for other in self.runs[number + 1 :]:
                ends = [run.ended_at or now for run in (one, other)]
                common_s = min(ends) - max(one.began_at, other.began_at)
                if one.task == other.task and common_s > 0:
                    pairs.append(
                        f"{one.task}: run {one.number} on {one.server_id} and run {other.number} "
                        f"on {other.server_id} for {common_s:.3f} s"
                    )
        return pairs

    def finish(self, violations: list[str]) -> int:
        """Record the result and return the exit code.

        A disruption that stand-ins with a slow event loop may not have played proves nothing if
        no rule was broken.
        """
        for violation in violations:
            self.record.write(f"BROKEN {violation}")
        self.record.write(f"stand-ins: longest delay {self.longest_delay_s:.3f} s")
        if not violations and has_trouble() and self.longest_delay_s > MAX_DELAY_S:
            raise NotRun("the stand-ins were too slow")
        self.record.write(f"result: {'broken' if violations else 'held'}")
        return BROKEN if violations else HELD

    def __exit__(self, *exception) -> None:
        """Kill all processes and stop all links."""
        for instance in self.instances.values():
            instance.kill()
        if os.environ.get("KEEP_LOGS"):
            for instance in self.instances.values():
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / instance.log.name
                target.write_bytes(instance.log.read_bytes())
        for link in self.links:
            link.stop()
        self.temporary.cleanup()


def job_body(count: int, estimated_ms: int, cpu: int = 1000) -> str:
    """Return the body of a job that need not be kept."""
    step = {"count": count, "cpu": cpu, "memMb": 64, "estimatedMs": estimated_ms}
    return json.dumps({"spec": "{}", "steps": [step], "bestEffort": True})


def request(
    address: str,
    method: str,
    path: str,
    body: str | None = None,
    budget_ms: int = 1500,
    timeout_s: float = 10.0,
) -> Reply:
    """Send a request on a new connection and return the reply."""
    connection = eventlet.green.http.client.HTTPConnection(address)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "X-Rosedyke-Timeout-Ms": str(budget_ms),
    }
    try:
        with eventlet.Timeout(timeout_s):
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return Reply(response.status, response.read(), response.getheader("Retry-After", ""))
    except (OSError, http.client.HTTPException, eventlet.Timeout):
        return Reply(0)
    finally:
        connection.close()


def run(folder: pathlib.Path, zones: dict[str, tuple[int, int]], play) -> int:
    """Play a case and return its exit code.

    Parameters
    ----------
    play : callable
        ``play(stage)`` returns the violations that were seen.
    """
    with Stage(folder, zones) as stage:
        try:
            stage.start()
            return stage.finish(play(stage))
        except (NotRun, OSError) as error:
            stage.record.write(f"not run: {error}")
            return NOT_RUN
