"""A small deployment on loopback for the cases of the review.

The instances are real processes, started with the command and the environment of the deploy file.
The store and the backend servers are the project's own stand-ins, in this process.
"""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

import attrs
import eventlet
import eventlet.hubs

from adapter import fake_platform
from rosedyke.daemon import eventlet_runtime
from rosedyke.rerunnable_jobs import job

ROOT = pathlib.Path(__file__).resolve().parents[1]
ADVERTISED_VARIABLE = "ROSEDYKE_ADVERTISED_PEER_ADDRESS"
POLL_S = 0.005
READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 40.0
CHUNK_BYTES = 64 * 1024
# Seconds, as of the small sites' ``bounds``.
CONTACT_S, CANCEL_S, CONFIG_APPLY_S = 3.0, 3.0, 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SERVICE, HOST, PREFIX = "pressline", "nony24.example", "/lohu930/"
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "pathPrefix": PREFIX,
    "kind": "non_idempotent",
    "timeoutMs": 60000,
    "service": SERVICE,
    "priority": 0,
    "maxAttempts": 2,
    "latencyFactor": 1.6,
    "targetLatencyMs": 10000,
}
SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "qalyubia"
portRange = [{range_first}, {range_last}]
seeds = [{seeds}]
bootstrap = true
heartbeatMs = 1500
controlMode = "call"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainTimeoutMs = 2000
graceS = 6
configApplyMs = 2000
maxSkewMs = 5000
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
leaseMs = 3000
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


class CannotRun(Exception):
    """The case could not be run."""


class Link:
    """A TCP proxy in front of one address.

    Parameters
    ----------
    names : tuple of str
        Instances whose connections are told apart by the sender's name in their first message.

    Attributes
    ----------
    cut_from : set of str
        Instances that are partitioned from the target.  Their bytes wait; those of a connection
        that its sender closes meanwhile are lost.
    """

    def __init__(self, ip, target, names=()):
        self.target = target
        self.names = [name.encode() for name in names]
        self.cut_from: set[str] = set()
        self.connections: set[_Connection] = set()
        self.listener = eventlet.listen((ip, 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        eventlet.spawn_n(self._accept)

    def silence(self):
        """Make the open connections silent for good, without a reset; new ones work."""
        for connection in list(self.connections):
            connection.is_silent = True

    def break_callers_side(self):
        """Reset the open connections on the side of their callers; the other side goes silent."""
        for connection in list(self.connections):
            connection.is_silent = True
            _reset(connection.client)

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            eventlet.spawn_n(_Connection(self, client).run)


class _Connection:
    """One proxied connection."""

    def __init__(self, link, client):
        self.link, self.client, self.target = link, client, None
        self.source = ""
        self.is_silent = self.is_lost = False
        link.connections.add(self)

    def is_held(self):
        """Return whether its bytes have to wait."""
        return self.source in self.link.cut_from

    def run(self):
        """Connect to the target and forward in both directions."""
        try:
            host, port = self.link.target.rsplit(":", 1)
            self.target = eventlet.connect((host, int(port)))
        except OSError:
            _reset(self.client)
            return
        for end in (self.client, self.target):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        eventlet.spawn_n(self._pump, self.client, self.target, True)
        self._pump(self.target, self.client, False)

    def _pump(self, source, sink, is_request):
        waiting, ended = [], []
        writer = eventlet.spawn(self._write, waiting, ended, sink)
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
            except (OSError, EOFError):
                data = b""
            if not data:
                break
            if is_request and not self.source:
                self._recognise(data)
            if not self.is_silent:
                waiting.append(data)
        self.is_lost |= self.is_held()
        ended.append(True)
        writer.wait()

    def _recognise(self, data):
        found = [(data.find(name), name) for name in self.link.names if name in data]
        if found:
            self.source = min(found)[1].decode()

    def _write(self, waiting, ended, sink):
        while waiting or not ended:
            if waiting and not self.is_held() and not self.is_silent:
                data = waiting.pop(0)
                if not self.is_lost:
                    with contextlib.suppress(OSError):
                        sink.sendall(data)
                continue
            if self.is_silent:
                waiting.clear()
            eventlet.sleep(POLL_S / 5)
        while self.is_held():
            eventlet.sleep(POLL_S)
        if self.is_silent:
            return
        self.link.connections.discard(self)
        _reset(sink) if self.is_lost else _shut(sink)


def _reset(connection):
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()


def _shut(connection):
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)


@attrs.define(eq=False)
class Instance:
    """An instance and its process."""

    name: str
    zone: str
    ip: str
    ports: dict[str, int]
    store_link: Link
    peers_link: Link | None = None
    process: subprocess.Popen | None = None

    def address(self, port):
        """Return one of its addresses."""
        return f"{self.ip}:{self.ports[port]}"


class Deployment(contextlib.AbstractContextManager):
    """Stand-ins of the platform, and instances; ends every process that it started.

    Parameters
    ----------
    folder : pathlib.Path
        Where ``record.txt`` is written.
    """

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        number = os.getpid()
        self.ip_base = f"127.{100 + number // 250 % 100}.{1 + number % 250}"
        self.platform = fake_platform.FakePlatform(
            eventlet_runtime.GreenRuntime(), f"{self.ip_base}.250"
        )
        self.instances: dict[str, Instance] = {}
        # Time, task, run and server of each start.
        self.starts: list[tuple[float, str, int, str]] = []
        self._record_runs()
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def record(self, text):
        """Write a line to the record."""
        self.record_file.write(f"{self.now():8.3f} {text}\n")
        self.record_file.flush()

    def _record_runs(self):
        backend = self.platform.backend
        check_start, check_end = backend.on_start, backend.on_end

        def on_start(server, run):
            self.starts.append((self.now(), run.task, run.number, server.listed.id))
            self.record(f"run  {run.task} run {run.number} begins on {server.listed.id}")
            check_start(server, run)

        def on_end(server, run, result):
            how = "lost with its server" if result is None else result.value
            self.record(f"run  {run.task} run {run.number} ends on {server.listed.id}: {how}")
            check_end(server, run, result)

        backend.on_start, backend.on_end = on_start, on_end

    def add_instances(self, zones, has_peer_links=False):
        """Prepare instances; ``zones`` maps the name of each to its zone."""
        for number, (name, zone) in enumerate(zones.items(), 1):
            ip = f"{self.ip_base}.{number}"
            ports = _free_ports(ip, ("front", "readiness", "control", "first"))
            link = Link(f"{self.ip_base}.250", self.platform.store_address)
            self.instances[name] = Instance(name, zone, ip, ports, link)
            if has_peer_links:
                self.instances[name].peers_link = Link(
                    f"{self.ip_base}.251", self.instances[name].address("control"), tuple(zones)
                )

    def start(self):
        """Start all instances and wait until they are ready."""
        for instance in self.instances.values():
            self.start_instance(instance)
        for instance in self.instances.values():
            self.wait_until_ready(instance)
        self.record("all instances are ready")

    def start_instance(self, instance):
        """Start the process of an instance with the command of the deploy file."""
        file = self.folder / f"{instance.name}.toml"
        seeds = [other.address("control") for other in self.instances.values()][:3]
        file.write_text(
            SETTINGS.format(
                name=instance.name,
                zone=instance.zone,
                ip=instance.ip,
                store=instance.store_link.address,
                seeds=",".join(f'"{seed}"' for seed in seeds),
                range_first=instance.ports["first"],
                range_last=instance.ports["first"],
                **{key: instance.ports[key] for key in ("front", "readiness", "control")},
            )
        )
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= self.role["env"]
        environment["ROSEDYKE_BOOT"] = str(file)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        if instance.peers_link is not None:
            environment[ADVERTISED_VARIABLE] = instance.peers_link.address
        with (self.folder / f"{instance.name}.log").open("ab") as output:
            instance.process = subprocess.Popen(
                self.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record(f"start of {instance.name}")

    def is_ready(self, instance):
        """Probe the readiness address of an instance."""
        try:
            return call(instance.address("readiness"), "GET", "/rosedyke/ready", timeout_s=1.0)[0]
        except (OSError, http.client.HTTPException, eventlet.Timeout):
            return 0

    def wait_until_ready(self, instance):
        """Wait until an instance is ready or raise ``CannotRun``."""
        with eventlet.Timeout(READY_TIMEOUT_S, CannotRun(f"{instance.name} is not ready")):
            while self.is_ready(instance) != 200:
                if instance.process.poll() is not None:
                    raise CannotRun(f"{instance.name} ended: {self.log_of(instance)[-500:]}")
                eventlet.sleep(0.05)

    def log_of(self, instance):
        """Return the output of an instance."""
        return (self.folder / f"{instance.name}.log").read_text(errors="replace")

    def cut(self, instance, is_cut):
        """Cut an instance off from the others, or end that; it keeps its callers and the store."""
        self.record(f"{instance.name} is {'cut off' if is_cut else 'in reach again'}")
        for other in self.instances.values():
            if other is instance:
                continue  # it still reaches itself
            if is_cut:
                other.peers_link.cut_from.add(instance.name)
                instance.peers_link.cut_from.add(other.name)
            else:
                other.peers_link.cut_from.discard(instance.name)
                instance.peers_link.cut_from.discard(other.name)

    def send(self, instance, method, path, body=None, timeout_ms=30000, address=None):
        """Send a caller's request, record it, and return the status or the error's name."""
        self.record(f"sent {method} {path} to {instance.name}")
        address = address or instance.address("front")
        try:
            status, text = call(address, method, path, body, timeout_ms)
        except (OSError, http.client.HTTPException, eventlet.Timeout) as error:
            status, text = type(error).__name__, ""
        self.record(f"answer to {method} {path} from {instance.name}: {status} {text}")
        return status

    def signal(self, instance, number):
        """Send a signal to the process of an instance."""
        self.record(f"{signal.Signals(number).name} to {instance.name}")
        instance.process.send_signal(number)

    def __exit__(self, *exception):
        """End all processes."""
        processes = [instance.process for instance in self.instances.values() if instance.process]
        for process in processes:
            process.kill()  # without effect on one that has ended
        for process in processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            for instance in self.instances.values():
                pathlib.Path(os.environ["KEEP_LOGS"], f"{instance.name}.log").write_text(
                    self.log_of(instance)
                )
        self.record_file.close()
        self.temporary.cleanup()


def call(address, method, path, body=None, timeout_ms=30000, timeout_s=CALL_TIMEOUT_S):
    """Send an HTTP request on a new connection and return status and body of the answer."""
    with eventlet.Timeout(timeout_s):
        connection = http.client.HTTPConnection(address)
        with contextlib.closing(connection):
            headers = {"Host": HOST, "X-Rosedyke-Timeout-Ms": str(timeout_ms)}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read().decode(errors="replace")


def job_body(count, cpu=4000, estimated_ms=500):
    """Return the body of a job of one step that need not be kept."""
    step = {"count": count, "cpu": cpu, "memMb": 64, "estimatedMs": estimated_ms}
    return json.dumps({"spec": "seal", "steps": [step], "bestEffort": True})


def set_duration(deployment, job_id, seconds, cpu=4000):
    """Set how long the tasks of a job take on the simulated servers."""
    deployment.platform.backend.durations[job_id] = seconds
    deployment.platform.backend.demands[job_id] = job.Demand(cpu, 64)


def _free_ports(ip, names):
    """Return a free port of an address for each name."""
    listeners = {name: socket.socket() for name in names}
    for listener in listeners.values():
        listener.bind((ip, 0))
    ports = {name: listener.getsockname()[1] for name, listener in listeners.items()}
    for listener in listeners.values():
        listener.close()
    return ports


def run_case(case, folder):
    """Run ``case(deployment, has_trouble)``, which returns the violations; return the exit code.

    The first argument of the program is 0 for a run without the disruption.
    """
    has_trouble = sys.argv[1:] != ["0"]
    # Ends the processes also when ``run.sh`` is over its time.
    signal.signal(signal.SIGTERM, _exit)
    try:
        with Deployment(folder) as deployment:
            try:
                violations = case(deployment, has_trouble)
            except CannotRun as error:
                deployment.record(f"could not run: {error}")
                return 2
            for violation in violations[:20]:
                deployment.record(f"VIOLATION {violation}")
            deployment.record(f"{len(violations)} violations")
            print(f"{len(violations)} violations", *violations[:3], sep="\n")
            return 1 if violations else 0
    except OSError as error:
        print(f"could not run: {error!r}")
        return 2


def _exit(number, frame):
    raise SystemExit(2)
