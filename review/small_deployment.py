"""A small deployment for the cases of the second review: real processes beside stand-ins.

Each instance runs the command of the deploy file, with the variables of the deploy file and a
settings file like those that the platform writes.  The store and the workers are the project's own
stand-ins.  Everything is on loopback addresses and the real clock.
"""

import contextlib
import http.client
import ipaddress
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable

import eventlet

eventlet.monkey_patch()

from adapter import fake_platform  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[1]
# ``run.sh`` turns them into its own exit codes.
HELD, BROKEN, NOT_RUN = 0, 10, 2
# All processes that were started, for the case that this one is told to exit.
PROCESSES: list[subprocess.Popen] = []
# Figures of the pages for a small site.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 1000,
    "stopTimeoutMs": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "retryMs": 1300,
}
SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
portRange = [{ports[3]}, {ports[4]}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
controlMode = "call"
[listen]
front = "{ip}:{ports[0]}"
readiness = "{ip}:{ports[1]}"
control = "{ip}:{ports[2]}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
STORE = "store"
SERVICE = "desk"
HOST = "desk.example"
PREFIX = "/jobs/"
ROUTE = {
    "name": "q-1",
    "host": HOST,
    "pathPrefix": PREFIX,
    "service": SERVICE,
    "priority": 0,
    "maxAttempts": 2,
    "latencyFactor": 1.6,
    "targetLatencyMs": 500,
}
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02


class NotRunnable(Exception):
    """The case could not run, so it shows nothing."""


def is_troubled() -> bool:
    """Return whether the disruption takes place; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_address() -> str:
    """Return a loopback address that hardly any other program uses."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind((ip, 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path):
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> float:
        """Write a line, and return its time."""
        now = self.now()
        self.file.write(f"{now:8.3f} {text}\n")
        self.file.flush()
        return now


class Platform(fake_platform.FakePlatform):
    """The platform's stand-ins, and cuts between them, the instances and the workers.

    A cut holds back all bytes between the two sides, and they arrive after it, as with TCP.

    Attributes
    ----------
    isolated : set of str
        Names of the instances, and ids of the workers, that are cut off together.
    orders : dict of str to (float, int)
        By instance: when a worker last carried out an order of it, and its generation number.
    last_senders : dict of str to str
        By worker: the instance whose order it carried out last.
    """

    def __init__(self, runtime, ip: str):
        self.instances: list[Instance] = []
        self.isolated: set[str] = set()
        self.orders: dict[str, tuple[float, int]] = {}
        self.last_senders: dict[str, str] = {}
        super().__init__(runtime, ip)

    def cut(self, instances: list["Instance"], server_ids: list[str]) -> None:
        """Cut instances and workers off from all others, and the instances from the store."""
        self.isolated = {instance.name for instance in instances} | set(server_ids)

    def heal(self) -> None:
        """End the cut."""
        self.isolated = set()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two parties are on different sides of the cut."""
        return (one in self.isolated) != (other in self.isolated)

    def owner(self, among: "list[Instance] | None" = None) -> "Instance":
        """Return the instance that last gave an order, out of some or all."""
        candidates = self.instances if among is None else among
        known = [instance for instance in candidates if instance.name in self.orders]
        if not known:
            raise NotRunnable("no instance gives orders")
        return max(known, key=lambda instance: self.orders[instance.name])

    def store_address_for(self, instance: "Instance") -> str:
        """Return the address at which an instance reaches the store."""

        def handle(method, path, query, body):
            if self.is_cut(instance.name, STORE):
                raise fake_platform.NoResponse
            reply = self._handle_store(method, path, query, body)
            if self.is_cut(instance.name, STORE):
                raise fake_platform.NoResponse
            return reply

        return self._listen(handle)

    def _handle_server(self, server_id, method, path, query, body):
        # The generation number tells who sends an order, by the address.
        sender = next(
            (
                instance.name
                for instance in self.instances
                if body["fencingToken"] & 0xFFFFFF == instance.number
            ),
            "",
        )
        if self.is_cut(sender, server_id):
            raise fake_platform.NoResponse
        status, reply = super()._handle_server(server_id, method, path, query, body)
        if self.is_cut(sender, server_id):
            raise fake_platform.NoResponse
        if sender and status == 200:
            self.orders[sender] = (time.monotonic(), body["fencingToken"])
            self.last_senders[server_id] = sender
        return status, reply


class PeerLink:
    """A proxy before the address at which other instances reach one."""

    def __init__(self, platform: Platform, target: "Instance"):
        self.platform, self.target = platform, target
        self.listener = eventlet.listen((target.ip, 0), backlog=100)
        self.address = f"{target.ip}:{self.listener.getsockname()[1]}"
        eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            client, address = self.listener.accept()
            eventlet.spawn(self._serve, client, address[1])

    def _serve(self, client, client_port):
        source = self._source(client_port)
        self._wait(source)
        try:
            server = eventlet.connect((self.target.ip, self.target.ports[2]))
        except OSError:
            client.close()
            return
        backward = eventlet.spawn(self._pump, source, server, client)
        self._pump(source, client, server)
        backward.wait()
        for connection in (client, server):
            connection.close()

    def _source(self, client_port):
        """Return the name of the instance whose process has opened a connection."""
        own_port = int(self.address.rpartition(":")[2])
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            ports = [int(field.rpartition(":")[2], 16) for field in fields[1:3]]
            if ports == [client_port, own_port]:
                for instance in self.platform.instances:
                    if instance.process is not None and instance.has_socket(fields[9]):
                        return instance.name
        return ""

    def _wait(self, source):
        while self.platform.is_cut(source, self.target.name):
            eventlet.sleep(POLL_S)

    def _pump(self, source, reader, writer):
        try:
            while data := reader.recv(65536):
                self._wait(source)
                writer.sendall(data)
        except OSError:
            pass
        self._wait(source)
        for connection, way in ((writer, socket.SHUT_WR), (reader, socket.SHUT_RD)):
            with contextlib.suppress(OSError):
                connection.shutdown(way)


class Instance:
    """One instance: its settings file, and the process that runs at present."""

    def __init__(self, deployment: "Deployment", name: str, zone: str):
        self.deployment = deployment
        self.name, self.zone = name, zone
        self.ip = loopback_address()
        self.number = int(ipaddress.ip_address(self.ip)) & 0xFFFFFF
        self.ports = free_ports(self.ip, 5)
        self.settings_file = deployment.folder / f"{name}.toml"
        self.log = deployment.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.store_address = deployment.platform.store_address_for(self)
        self.peer_link = PeerLink(deployment.platform, self)

    def has_socket(self, inode: str) -> bool:
        """Return whether the process has a socket open."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
        for descriptor in folder.glob("*"):
            with contextlib.suppress(OSError):
                if os.readlink(descriptor) == f"socket:[{inode}]":
                    return True
        return False

    def address(self, index: int) -> str:
        """Return the address of one of its ports."""
        return f"{self.ip}:{self.ports[index]}"

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file as the platform does."""
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        self.settings_file.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                ports=self.ports,
                seeds=json.dumps(seeds),
                bounds=bounds,
                store=self.store_address,
            )
        )

    def start(self) -> None:
        """Start a process with the command of the deploy file, unless the case has ended."""
        if self.deployment.is_ended:
            return
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.deployment.command,
                cwd=ROOT,
                env={
                    **self.deployment.variables,
                    "ROSEDYKE_BOOT": str(self.settings_file),
                    "ROSEDYKE_ADVERTISED_PEER_ADDRESS": self.peer_link.address,
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        PROCESSES.append(self.process)
        self.deployment.record.write(f"{self.name}: process {self.process.pid} started")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            name = signal.Signals(number).name
            self.deployment.record.write(f"{self.name}: {name} sent to {self.process.pid}")

    def is_ready(self) -> bool:
        """Ask the readiness address."""
        try:
            with eventlet.Timeout(1.0):
                connection = http.client.HTTPConnection(self.address(1))
                with contextlib.closing(connection):
                    connection.request("GET", "/rosedyke/ready")
                    return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException, eventlet.Timeout):
            return False

    def wait_until_ready(self) -> None:
        """Return once the instance takes jobs."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline:
                tail = "\n".join(self.log.read_text(errors="replace").splitlines()[-5:])
                raise NotRunnable(f"{self.name} does not get ready:\n{tail}")
            eventlet.sleep(POLL_S)

    def end(self) -> None:
        """End the process, whatever state it is in."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment(contextlib.AbstractContextManager):
    """Instances, workers and a store; leaving the context ends every process.

    Parameters
    ----------
    zones : dict of str to (int, int)
        The number of instances and of workers of each zone.
    """

    def __init__(self, record: Record, zones: dict[str, tuple[int, int]]):
        self.record = record
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        self.command = role["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        libraries = {"PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONWARNINGS": "ignore"}
        self.variables = {**kept, **libraries, **role.get("env", {})}
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.runtime = eventlet_runtime.GreenRuntime()
        self.platform = Platform(self.runtime, loopback_address())
        self.platform.configure(3, [ROUTE])
        self.instances = self.platform.instances
        self.seeds: list[str] = []
        self.is_ended = False
        for zone, (instance_count, worker_count) in zones.items():
            for number in range(worker_count):
                self.platform.add_server(f"w-{zone}-{number}", zone, SERVICE, rack=f"r-{zone}")
            for number in range(instance_count):
                self.instances.append(Instance(self, f"e-{zone}-{number}", zone))
        self._record_runs()

    def __exit__(self, *error) -> None:
        """End every process that was started."""
        self.is_ended = True
        for instance in self.instances:
            instance.end()
        self.temporary.cleanup()

    def start(self) -> None:
        """Start all instances, and return once they take jobs."""
        self.seeds = [instance.peer_link.address for instance in self.instances[:3]]
        for instance in self.instances:
            instance.write_settings(self.seeds)
            instance.start()
        for instance in self.instances:
            instance.wait_until_ready()
        self.record.write("all instances are ready")

    def _record_runs(self):
        """Record the begin and the end of each run on a worker."""
        self.starts: list[tuple[float, str, str]] = []
        backend, check_start = self.platform.backend, self.platform.backend.on_start

        def on_start(server, run):
            at = self.record.write(f"{server.listed.id}: run {run.number} of {run.task} begins")
            self.starts.append((at, run.task, server.listed.id))
            check_start(server, run)

        def on_end(server, run, result):
            how = "lost with the worker" if result is None else result.value
            self.record.write(f"{server.listed.id}: run {run.number} of {run.task} ends: {how}")

        backend.on_start, backend.on_end = on_start, on_end


def _end_at_once(number, frame):
    """End all processes and this one, which has run for too long."""
    for process in PROCESSES:
        with contextlib.suppress(OSError):
            process.kill()
    os._exit(NOT_RUN)


def run_case(
    file: str, zones: dict[str, tuple[int, int]], play: Callable[[Deployment], int]
) -> int:
    """Run a case that starts a deployment, and return its exit code."""
    return run_round(Record(pathlib.Path(file).resolve().parent), zones, play)


def run_round(
    record: Record, zones: dict[str, tuple[int, int]], play: Callable[[Deployment], int]
) -> int:
    """Run a case, or a round of it, with a record that is open."""
    signal.signal(signal.SIGTERM, _end_at_once)
    try:
        with Deployment(record, zones) as deployment:
            return play(deployment)
    except Exception:
        record.write(f"could not run: {traceback.format_exc()}")
        return NOT_RUN


def job_body(count: int, estimated_ms: int) -> str:
    """Return the body of a job that need not be stored."""
    step = {"count": count, "cpu": 1000, "memMb": 64, "estimatedMs": estimated_ms}
    return json.dumps({"spec": "{}", "steps": [step], "bestEffort": True})


def send(
    deployment: Deployment,
    instance: Instance,
    method: str,
    path: str,
    body: str | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, str]:
    """Send a request as a client, and return its status and body; 0 without an answer."""
    record = deployment.record
    record.write(f"client: {method} {path} to {instance.name}")
    try:
        with eventlet.Timeout(timeout_s):
            connection = http.client.HTTPConnection(instance.address(0))
            with contextlib.closing(connection):
                headers = {"Host": HOST, "X-Rosedyke-Timeout-Ms": str(int(timeout_s * 1000))}
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                answer = response.status, response.read().decode()
    except (OSError, http.client.HTTPException, eventlet.Timeout) as error:
        record.write(f"client: no answer to {method} {path}: {error!r}")
        return 0, ""
    record.write(f"client: {method} {path} answered {answer[0]} {answer[1]}")
    return answer
