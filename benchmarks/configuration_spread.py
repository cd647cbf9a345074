"""How fast a generation is in force everywhere, and what that costs the store.

    python -m benchmarks.configuration_spread

runs real processes on loopback: the stand-in store and 6, 12 and 24 instances in three data
centres.  Each round of a size gives the seconds from an accepted change to its being in force
at each instance, the store's calls a second without and with changes, and the seconds that
instances started during an outage of the store need to get the newest from their peers.
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
from rosedyke.configuration import change, file, plan, stored
from rosedyke.daemon import green
from rosedyke.gateways import etcd, settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402

RESULT = ROOT / "benchmarks" / "results" / "configuration_spread.json"
DATA_CENTRES = 3
TEAMS = 8
SERVERS_IN_FILE = 40
IN_FORCE_LIMIT_S = 30.0
READY_LIMIT_S = 60.0


class Fleet:
    """The store and the instances of one size."""

    def __init__(self, group: processes.Group, size: int):
        self.group = group
        address = f"127.0.0.1:{processes.free_port()}"
        self.store_url = f"http://{address}"
        self.http = urllib3.PoolManager(retries=False)
        group.start("store", "rosedyke.standins.store", "--address", address)
        self.addresses = [f"127.0.0.1:{processes.free_port()}" for _ in range(size)]
        self.nodes: list[processes.Started] = []
        self.runtime = green.GreenRuntime()
        own = settings.StoreSettings((self.store_url,))
        self.store = etcd.EtcdStore(own, self.runtime)
        self.keys = stored.Keys()
        processes.wait_until(self.store_answers, READY_LIMIT_S, "the store")

    def store_answers(self) -> bool:
        """Return whether the store is up."""
        try:
            return self.http.request("GET", self.store_url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def start(self, name: str, number: int, address: str) -> processes.Started:
        """Start one instance."""
        return self.group.start(
            name,
            "benchmarks.configuration_node",
            *("--name", name, "--data-centre", f"dc{number % DATA_CENTRES + 1}"),
            *("--address", address, "--seeds", ",".join(self.addresses[:DATA_CENTRES])),
            *("--store", self.store_url),
        )

    def start_all(self) -> None:
        """Start every instance and wait until all have the first generation."""
        for number, address in enumerate(self.addresses):
            self.nodes.append(self.start(f"node-{number}", number, address))
        self.wait_for(1, self.nodes, READY_LIMIT_S)

    def wait_for(self, generation: int, nodes, limit_s: float) -> list[float]:
        """Return when the generation came into force at each instance."""
        times = [None] * len(nodes)

        def all_have():
            for index, node in enumerate(nodes):
                if node.process.poll() is not None:
                    raise RuntimeError(f"{node.name} ended: {node.tail()}")
                times[index] = times[index] or first_at(node, generation)
            return all(times)

        processes.wait_until(all_have, limit_s, f"generation {generation}")
        return times

    def calls(self) -> int:
        """Return the calls that the store has answered."""
        return sum(json.loads(self.http.request("GET", self.store_url).data).values())

    def set_faults(self, **faults) -> None:
        """Make the store fail, or mend it."""
        self.http.request("POST", f"{self.store_url}/faults", body=json.dumps(faults))

    def apply(self, round_number: int) -> change.Accepted:
        """Change one team's file."""
        text = team_file(round_number % TEAMS, round_number)
        proposal = plan.Proposal((file.parse("bench", text.encode()),), (), "bench", "")
        outcome = change.apply(self.store, self.keys, self.runtime, proposal)
        if not isinstance(outcome, change.Accepted):
            raise RuntimeError(f"not accepted: {outcome}")
        return outcome


def team_file(team: int, quota: int) -> str:
    """Return a team's file of usual size."""
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
count = {SERVERS_IN_FILE}
"""


def lines(node: processes.Started) -> list[dict]:
    """Return what an instance has printed."""
    texts = node.log.read_text().splitlines()
    return [json.loads(text) for text in texts if text.startswith('{"at"')]


def first_at(node: processes.Started, generation: int) -> float | None:
    """Return when an instance first had at least that generation."""
    return next((line["at"] for line in lines(node) if line["generation"] >= generation), None)


def quantile(values: list[float], share: float) -> float:
    """Return the smallest value that at least that share does not exceed."""
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1]


def summary(values: list[float]) -> dict[str, float]:
    """Return quantiles in seconds."""
    shares = {"p50": 0.5, "p90": 0.9, "p99": 0.99, "max": 1.0}
    return {name: round(quantile(values, share), 4) for name, share in shares.items()}


def measure(size: int, rounds: int, idle_s: float, started_late: int) -> dict:
    """Return the figures of one size."""
    with tempfile.TemporaryDirectory() as folder, processes.Group(pathlib.Path(folder)) as group:
        fleet = Fleet(group, size)
        fleet.apply(0)
        fleet.start_all()
        time.sleep(5)  # the start's own reads are not what is measured
        before, began = fleet.calls(), time.monotonic()
        time.sleep(idle_s)
        idle = (fleet.calls() - before) / (time.monotonic() - began)
        spread, changes_before, began = [], fleet.calls(), time.monotonic()
        for number in range(1, rounds + 1):
            generation = fleet.apply(number).generation
            accepted = time.monotonic()
            times = fleet.wait_for(generation, fleet.nodes, IN_FORCE_LIMIT_S)
            spread.extend(max(0.0, at - accepted) for at in times)
        seconds = time.monotonic() - began
        # Reading the set and writing it are the operator's calls, not the instances'.
        operators = rounds * (fleet_read_calls() + 1)
        calls = fleet.calls() - changes_before - operators - idle * seconds
        newest = generation
        late = outage(fleet, newest, started_late)
        return {
            "instances": size,
            "data_centres": DATA_CENTRES,
            "changes": rounds,
            "in_force_s": summary(spread),
            "store_calls_a_second_idle": round(idle, 2),
            "store_calls_a_change": round(calls / rounds, 2),
            "started_in_outage": len(late),
            "started_in_outage_s": summary(late),
        }


def fleet_read_calls() -> int:
    """Return how many calls ``read_intent`` makes: the head, and the files in pages."""
    return 1 + math.ceil(TEAMS / etcd.PAGE_ENTRIES)


def outage(fleet: Fleet, newest: int, count: int) -> list[float]:
    """Return the seconds from start to in force of instances that start without a store."""
    fleet.set_faults(is_down=True)
    late = []
    for number in range(count):
        address = f"127.0.0.1:{processes.free_port()}"
        late.append(fleet.start(f"late-{number}", number, address))
    times = fleet.wait_for(newest, late, READY_LIMIT_S)
    return [at - lines(node)[0]["at"] for at, node in zip(times, late, strict=True)]


def main() -> None:
    """Measure every size, print the figures and keep them."""
    parser = argparse.ArgumentParser(description="Spread of configuration changes.")
    parser.add_argument("--sizes", type=int, nargs="+", default=[6, 12, 24])
    parser.add_argument("--rounds", type=int, default=60)
    parser.add_argument("--idle-s", type=float, default=30.0)
    parser.add_argument("--late", type=int, default=6)
    parser.add_argument("--output", type=pathlib.Path, default=RESULT)
    given = parser.parse_args()
    results = []
    for size in given.sizes:
        results.append(measure(size, given.rounds, given.idle_s, given.late))
        print(json.dumps(results[-1]), flush=True)
    document = {
        "commit": report.commit(),
        "machine": f"{platform.machine()}, python {platform.python_version()}",
        "how": "real processes on loopback, stand-in store",
        "results": results,
    }
    given.output.parent.mkdir(parents=True, exist_ok=True)
    given.output.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
