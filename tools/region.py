"""A whole region as plain processes on loopback: store, backend servers and entry instances.

The demo, the benchmarks and the tests with real processes run the product through it.  Every
instance has a loopback address of its own; ports come from the kernel.
"""

import collections
import json
import pathlib
import subprocess
import sys

import attrs
import processes
import urllib3

READY_LIMIT_S = 30.0


@attrs.define
class EntryInstance:
    """One entry instance and where it listens (``ip:port`` each)."""

    name: str
    data_centre: str
    caller: str
    operator: str
    peer: str
    process: processes.Started | None = None


@attrs.define
class BackendServers:
    """Stand-in backend servers that one process serves."""

    name: str
    addresses: tuple[str, ...]
    speeds: tuple[float, ...]
    process: processes.Started | None = None


class Region:
    """Everything that runs between and around the callers and the operators.

    Parameters
    ----------
    group : processes.Group
        Ends all the processes.
    data_centres : tuple of str
        Their names.
    instances_each : int
        Entry instances in each data centre.
    options : tuple of str
        Further flags for every ``rosedyked``.
    """

    def __init__(self, group, data_centres, instances_each, options=()):
        self.group = group
        self.data_centres = tuple(data_centres)
        self.options = tuple(options)
        self.http = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(10.0))
        self.store_address = f"127.0.0.1:{processes.free_port()}"
        self.store = None
        self.backends: list[BackendServers] = []
        self.instances: list[EntryInstance] = []
        for index, data_centre in enumerate(self.data_centres):
            for number in range(1, instances_each + 1):
                self.plan(f"{data_centre}-{number}", data_centre, f"127.0.{10 + index}.{number}")

    def plan(self, name, data_centre, ip) -> EntryInstance:
        """Give a new instance its addresses; ``start_instance`` starts it."""
        places = [f"{ip}:{processes.free_port(ip)}" for _ in range(3)]
        instance = EntryInstance(name, data_centre, *places)
        self.instances.append(instance)
        return instance

    def instance(self, name) -> EntryInstance:
        """Return the instance of that name."""
        return next(one for one in self.instances if one.name == name)

    def start_store(self) -> None:
        """Start the stand-in of the platform's key-value service."""
        self.store = self.group.start(
            "store", "rosedyke.standins.store", "--address", self.store_address
        )
        self.wait_http(f"http://{self.store_address}/health", "the store", any_status=True)

    def start_backends(self, name, addresses, speeds, slots=8, connections=64) -> BackendServers:
        """Start one process that serves several stand-in backend servers."""
        words = ["rosedyke.standins.backend", "--slots", str(slots)]
        words += ["--connections", str(connections)]
        for address in addresses:
            words += ["--address", address]
        for speed in speeds:
            words += ["--speed", str(speed)]
        backends = BackendServers(name, tuple(addresses), tuple(speeds))
        backends.process = self.group.start(name, *words)
        self.backends.append(backends)
        for address in addresses:
            self.wait_http(f"http://{address}/healthz", f"backend server {address}")
        return backends

    def start_instance(self, instance: EntryInstance) -> None:
        """Start one ``rosedyked``; does not wait until it is ready."""
        seeds = ",".join(one.peer for one in self.instances if one is not instance)
        instance.process = self.group.start(
            instance.name,
            "rosedyke.daemon.main",
            *("--name", instance.name, "--region", "loopback"),
            *("--data-centre", instance.data_centre),
            *("--data-centres", ",".join(self.data_centres)),
            *("--caller-address", instance.caller, "--operator-address", instance.operator),
            *("--peer-address", instance.peer, "--seeds", seeds),
            *("--store", f"http://{self.store_address}"),
            *self.options,
        )

    def start_instances(self) -> None:
        """Start every planned instance."""
        for instance in self.instances:
            self.start_instance(instance)

    def wait_ready(self, instances=None) -> None:
        """Block until the instances take callers."""
        for one in instances or self.instances:
            self.wait_http(f"http://{one.caller}/readyz", f"readiness of {one.name}")

    def wait_http(self, url, what, any_status=False) -> None:
        """Block until a URL answers 200, or anything at all."""

        def answers():
            try:
                status = self.http.request("GET", url).status
            except urllib3.exceptions.HTTPError:
                return False
            return any_status or status == 200

        processes.wait_until(answers, READY_LIMIT_S, what)

    def command(self, *words, check=True) -> subprocess.CompletedProcess:
        """Run ``rosedyke`` with the region's store and running instances, and return its output."""
        running = [one.operator for one in self.instances if is_running(one)]
        environment = {
            "ROSEDYKE_STORE": f"http://{self.store_address}",
            "ROSEDYKE_INSTANCES": ",".join(running),
            "PATH": str(pathlib.Path(sys.executable).parent),
            "COLUMNS": "110",
        }
        return subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "rosedyke.command.main", *words],
            env=environment,
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            check=check,
            timeout=60,
        )

    def get_json(self, url):
        """Return a JSON document."""
        return json.loads(self.http.request("GET", url).data)

    def server_counts(self) -> collections.Counter:
        """Return what all running backend servers counted, added up."""
        total = collections.Counter()
        for address in self.server_addresses():
            total.update(self.get_json(f"http://{address}/v1/count"))
        return total

    def double_starts(self) -> dict[str, int]:
        """Return the tasks that started more than once on any servers, with how often."""
        starts = collections.Counter()
        for address in self.server_addresses():
            starts.update(self.get_json(f"http://{address}/v1/starts"))
        return {key: count for key, count in starts.items() if count > 1}

    def server_addresses(self) -> list[str]:
        """Return the addresses of all stand-in servers whose process runs."""
        running = [one for one in self.backends if one.process.process.poll() is None]
        return [address for one in running for address in one.addresses]


def is_running(instance: EntryInstance) -> bool:
    """Return whether an instance's process runs."""
    return instance.process is not None and instance.process.process.poll() is None
