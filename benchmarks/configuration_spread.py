"""Measure the propagation time of configuration changes and the load on the store.

    python -m benchmarks.configuration_spread

runs the stand-in store and 6, 12 and 24 instances in three data centres as processes on loopback.
Measured for each fleet size: the time from the acceptance of a change until each instance has
applied it, the store calls per second when idle and per change, and the time that instances
started during a store outage need to get the newest generation from their peers.
"""

import argparse
import json
import math
import pathlib
import platform
import sys
import tempfile
import time

import urllib3

from benchmarks import report
from rosedyke.configuration import change, file_parser, plan, storage
from rosedyke.daemon import eventlet_runtime
from rosedyke.gateways import etcd, settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402

RESULT = ROOT / "benchmarks" / "results" / "configuration_spread.json"
DATA_CENTRES = 3
TEAMS = 8
SERVERS_PER_TEAM = 40
PROPAGATION_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 60.0


class Fleet:
    """The store and the instances of one fleet size."""

    def __init__(self, group: processes.Group, size: int):
        self.group = group
        address = f"127.0.0.1:{processes.free_port()}"
        self.store_url = f"http://{address}"
        self.http = urllib3.PoolManager(retries=False)
        group.start("store", "rosedyke.standins.store", "--address", address)
        self.addresses = [f"127.0.0.1:{processes.free_port()}" for _ in range(size)]
        self.nodes: list[processes.ManagedProcess] = []
        self.runtime = eventlet_runtime.GreenRuntime()
        store_settings = settings.StoreSettings((self.store_url,))
        self.store = etcd.EtcdStore(store_settings, self.runtime)
        self.keys = storage.Keys()
        processes.wait_until(self.is_store_up, READY_TIMEOUT_S, "the store")

    def is_store_up(self) -> bool:
        """Return whether the store answers."""
        try:
            return self.http.request("GET", self.store_url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def start(self, name: str, number: int, address: str) -> processes.ManagedProcess:
        """Start one instance."""
        return self.group.start(
            name,
            "benchmarks.configuration_node",
            *("--name", name, "--data-centre", f"dc{number % DATA_CENTRES + 1}"),
            *("--address", address, "--seeds", ",".join(self.addresses[:DATA_CENTRES])),
            *("--store", self.store_url),
        )

    def start_all(self) -> None:
        """Start every instance and wait until all have applied the first generation."""
        for number, address in enumerate(self.addresses):
            self.nodes.append(self.start(f"node-{number}", number, address))
        self.wait_for_generation(1, self.nodes, READY_TIMEOUT_S)

    def wait_for_generation(self, generation: int, nodes, timeout_s: float) -> list[float]:
        """Wait until all instances have applied a generation; return when each did."""
        applied_at = [None] * len(nodes)

        def all_applied():
            for index, node in enumerate(nodes):
                if node.process.poll() is not None:
                    raise RuntimeError(f"{node.name} ended: {node.tail()}")
                applied_at[index] = applied_at[index] or first_applied_at(node, generation)
            return all(applied_at)

        processes.wait_until(all_applied, timeout_s, f"generation {generation}")
        return applied_at

    def count_store_calls(self) -> int:
        """Return the number of calls that the store has answered."""
        return sum(json.loads(self.http.request("GET", self.store_url).data).values())

    def set_faults(self, **faults) -> None:
        """Set or clear the faults of the store."""
        self.http.request("POST", f"{self.store_url}/faults", body=json.dumps(faults))

    def apply(self, round_number: int) -> change.Accepted:
        """Apply a change to one team's file."""
        text = team_file(round_number % TEAMS, round_number)
        proposal = plan.Proposal((file_parser.parse("bench", text.encode()),), (), "bench", "")
        outcome = change.apply(self.store, self.keys, self.runtime, proposal)
        if not isinstance(outcome, change.Accepted):
            raise RuntimeError(f"not accepted: {outcome}")
        return outcome


def team_file(team: int, quota: int) -> str:
    """Return a team's file of typical size."""
    return f"""
team = "team-{team}"
quota = {quota}
[[services]]
name = "service-{team}"
[[services.tasks]]
name = "task"
run_time_s = 0.1
[[services.servers]]
name = "team-{team}-{{n}}"
address = "127.9.{team}.{{n}}:8100"
data_centre = "dc1"
count = {SERVERS_PER_TEAM}
"""


def read_records(node: processes.ManagedProcess) -> list[dict]:
    """Return the records that an instance has printed."""
    output_lines = node.log.read_text().splitlines()
    return [json.loads(line) for line in output_lines if line.startswith('{"at"')]


def first_applied_at(node: processes.ManagedProcess, generation: int) -> float | None:
    """Return when an instance first applied that generation or a newer one; None if not yet."""
    return next(
        (record["at"] for record in read_records(node) if record["generation"] >= generation), None
    )


def quantile(values: list[float], share: float) -> float:
    """Return the nearest-rank quantile; ``share`` is in (0, 1]."""
    sorted_values = sorted(values)
    return sorted_values[math.ceil(share * len(sorted_values)) - 1]


def summary(values: list[float]) -> dict[str, float]:
    """Return quantiles in seconds."""
    shares = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "max": 1.0}
    return {name: round(quantile(values, share), 4) for name, share in shares.items()}


def measure(size: int, rounds: int, idle_s: float, instances_started_in_outage: int) -> dict:
    """Run the measurements for one fleet size."""
    with tempfile.TemporaryDirectory() as folder, processes.Group(pathlib.Path(folder)) as group:
        fleet = Fleet(group, size)
        fleet.apply(0)
        fleet.start_all()
        time.sleep(5)  # excludes the store calls of the start
        calls_before, started = fleet.count_store_calls(), time.monotonic()
        time.sleep(idle_s)
        idle_calls_per_s = (fleet.count_store_calls() - calls_before) / (time.monotonic() - started)
        propagation_s, changes_before, started = [], fleet.count_store_calls(), time.monotonic()
        for number in range(1, rounds + 1):
            generation = fleet.apply(number).generation
            accepted_at = time.monotonic()
            applied_at = fleet.wait_for_generation(generation, fleet.nodes, PROPAGATION_TIMEOUT_S)
            propagation_s.extend(
                max(0.0, instance_applied_at - accepted_at) for instance_applied_at in applied_at
            )
        elapsed_s = time.monotonic() - started
        # Excludes the calls by which this process applies the changes.
        operator_calls = rounds * (calls_per_intent_read() + 1)
        calls = (
            fleet.count_store_calls()
            - changes_before
            - operator_calls
            - idle_calls_per_s * elapsed_s
        )
        newest_generation = generation
        start_times_s = measure_start_in_outage(
            fleet, newest_generation, instances_started_in_outage
        )
        return {
            "instances": size,
            "data_centres": DATA_CENTRES,
            "changes": rounds,
            "in_force_s": summary(propagation_s),
            "store_calls_a_second_idle": round(idle_calls_per_s, 2),
            "store_calls_a_change": round(calls / rounds, 2),
            "started_in_outage": len(start_times_s),
            "started_in_outage_s": summary(start_times_s),
        }


def calls_per_intent_read() -> int:
    """Return the number of calls in ``read_intent``: the head, and the pages of files."""
    return 1 + math.ceil(TEAMS / etcd.PAGE_ENTRIES)


def measure_start_in_outage(fleet: Fleet, newest_generation: int, count: int) -> list[float]:
    """Return the seconds that instances started in a store outage need to apply the newest."""
    fleet.set_faults(is_down=True)
    nodes = []
    for number in range(count):
        address = f"127.0.0.1:{processes.free_port()}"
        nodes.append(fleet.start(f"late-{number}", number, address))
    applied_at = fleet.wait_for_generation(newest_generation, nodes, READY_TIMEOUT_S)
    return [
        node_applied_at - read_records(node)[0]["at"]
        for node_applied_at, node in zip(applied_at, nodes, strict=True)
    ]


def main() -> None:
    """Measure every fleet size, print the results and write them to a file."""
    parser = argparse.ArgumentParser(description="Spread of configuration changes.")
    parser.add_argument("--sizes", type=int, nargs="+", default=[6, 12, 24])
    parser.add_argument("--rounds", type=int, default=60)
    parser.add_argument("--idle-s", type=float, default=30.0)
    parser.add_argument("--late", type=int, default=6)
    parser.add_argument("--output", type=pathlib.Path, default=RESULT)
    arguments = parser.parse_args()
    results = []
    for size in arguments.sizes:
        results.append(measure(size, arguments.rounds, arguments.idle_s, arguments.late))
        print(json.dumps(results[-1]), flush=True)
    document = {
        "commit": report.commit(),
        "machine": f"{platform.machine()}, python {platform.python_version()}",
        "how": "real processes on loopback, stand-in store",
        "results": results,
    }
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    arguments.output.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
