"""A region of processes on loopback: store, backend servers and entry instances.

Shared by the demo, the benchmarks and the tests with real processes.  Every program has a loopback
address of its own, also among regions that run at the same time; the kernel assigns the ports.
"""

import collections
import json
import pathlib
import subprocess
import sys

import attrs
import processes
import urllib3

READY_TIMEOUT_S = 30.0


@attrs.define
class EntryInstance:
    """An entry instance and its listening addresses (``ip:port``)."""

    name: str
    data_centre: str
    caller_address: str
    operator_address: str
    peer_address: str
    process: processes.ManagedProcess | None = None


@attrs.define
class BackendServers:
    """Stand-in backend servers that run in one process."""

    name: str
    addresses: tuple[str, ...]
    speeds: tuple[float, ...]
    process: processes.ManagedProcess | None = None


class Region:
    """Processes of one region.

    Parameters
    ----------
    group : processes.Group
        Group that terminates the processes.
    data_centres : tuple of str
        Names of the data centres.
    instances_each : int
        Entry instances in each data centre.
    options : tuple of str
        Additional flags for every ``rosedyked``.
    """

    def __init__(self, group, data_centres, instances_each, options=()):
        self.group = group
        self.data_centres = tuple(data_centres)
        self.options = tuple(options)
        self.http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(10.0))
        store_ip = processes.unique_loopback_address()
        self.store_address = f"{store_ip}:{processes.free_port(store_ip)}"
        self.store = None
        self.backends: list[BackendServers] = []
        self.instances: list[EntryInstance] = []
        for data_centre in self.data_centres:
            for number in range(1, instances_each + 1):
                self.add_instance(f"{data_centre}-{number}", data_centre)

    def add_instance(self, name, data_centre) -> EntryInstance:
        """Add an instance and assign its addresses, without starting it."""
        ip = processes.unique_loopback_address()
        addresses = [f"{ip}:{processes.free_port(ip)}" for _ in range(3)]
        instance = EntryInstance(name, data_centre, *addresses)
        self.instances.append(instance)
        return instance

    def instance(self, name) -> EntryInstance:
        """Return the instance of that name."""
        return next(candidate for candidate in self.instances if candidate.name == name)

    def start_store(self) -> None:
        """Start the stand-in for the platform's key-value service."""
        self.store = self.group.start(
            "store", "rosedyke.standins.store", "--address", self.store_address
        )
        self.wait_http(f"http://{self.store_address}/health", "the store", any_status=True)

    def start_backends(self, name, addresses, speeds, slots=8, connections=64) -> BackendServers:
        """Start one process with several stand-in backend servers."""
        arguments = ["rosedyke.standins.backend", "--slots", str(slots)]
        arguments += ["--connections", str(connections)]
        for address in addresses:
            arguments += ["--address", address]
        for speed in speeds:
            arguments += ["--speed", str(speed)]
        backends = BackendServers(name, tuple(addresses), tuple(speeds))
        backends.process = self.group.start(name, *arguments)
        self.backends.append(backends)
        for address in addresses:
            self.wait_http(f"http://{address}/healthz", f"backend server {address}")
        return backends

    def start_instance(self, instance: EntryInstance) -> None:
        """Start one ``rosedyked`` without waiting until it is ready."""
        seeds = ",".join(other.peer_address for other in self.instances if other is not instance)
        instance.process = self.group.start(
            instance.name,
            "rosedyke.daemon.main",
            *("--name", instance.name, "--region", "loopback"),
            *("--data-centre", instance.data_centre),
            *("--data-centres", ",".join(self.data_centres)),
            *(
                "--caller-address",
                instance.caller_address,
                "--operator-address",
                instance.operator_address,
            ),
            *("--peer-address", instance.peer_address, "--seeds", seeds),
            *("--store", f"http://{self.store_address}"),
            *self.options,
        )

    def start_instances(self) -> None:
        """Start every instance."""
        for instance in self.instances:
            self.start_instance(instance)

    def wait_ready(self, instances=None) -> None:
        """Block until the instances are ready."""
        for instance in instances or self.instances:
            self.wait_http(
                f"http://{instance.caller_address}/readyz", f"readiness of {instance.name}"
            )

    def wait_http(self, url, what, any_status=False) -> None:
        """Block until a URL returns status 200, or any status with ``any_status``."""

        def is_answering():
            try:
                status = self.http.request("GET", url).status
            except urllib3.exceptions.HTTPError:
                return False
            return any_status or status == 200

        try:
            processes.wait_until(is_answering, READY_TIMEOUT_S, what)
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.group.report()}") from error

    def run_command(self, *arguments, check=True) -> subprocess.CompletedProcess:
        """Run ``rosedyke`` against the region's store and running instances."""
        running = [instance.operator_address for instance in self.instances if is_running(instance)]
        environment = {
            "ROSEDYKE_STORE": f"http://{self.store_address}",
            "ROSEDYKE_INSTANCES": ",".join(running),
            "PATH": str(pathlib.Path(sys.executable).parent),
            "COLUMNS": "110",
        }
        return subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "rosedyke.command.main", *arguments],
            env=environment,
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            check=check,
            timeout=60,
        )

    def get_json(self, url):
        """Fetch and parse a JSON document."""
        return json.loads(self.http.request("GET", url).data)

    def server_counts(self) -> collections.Counter:
        """Return the sum of the counters of all running backend servers."""
        total = collections.Counter()
        for address in self.server_addresses():
            total.update(self.get_json(f"http://{address}/v1/count"))
        return total

    def double_starts(self) -> dict[str, int]:
        """Return the number of starts of each task that started more than once."""
        starts = collections.Counter()
        for address in self.server_addresses():
            starts.update(self.get_json(f"http://{address}/v1/starts"))
        return {key: count for key, count in starts.items() if count > 1}

    def server_addresses(self) -> list[str]:
        """Return the addresses of all stand-in servers whose process is running."""
        running = [
            server_group
            for server_group in self.backends
            if server_group.process.process.poll() is None
        ]
        return [address for server_group in running for address in server_group.addresses]


def is_running(instance: EntryInstance) -> bool:
    """Return whether the process of an instance is running."""
    return instance.process is not None and instance.process.process.poll() is None
