"""Measure the cost of membership per node, and the detection time of a killed node.

Starts instances as processes on loopback, each with the real (encrypted) transport and membership,
measures a steady-state window, kills one process and waits until the others declare it dead.
Prints a table and a linear regression, and writes them to benchmarks/results/.

    .venv/bin/python benchmarks/membership_cost.py
"""

import datetime
import json
import os
import pathlib
import resource
import statistics
import subprocess
import sys
import time
from typing import Annotated

import attrs
import cyclopts

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "results"
PAGE_BYTES = resource.getpagesize()
MB = 1_000_000
TRANSPORT_KEY = "benchmark"
ADVERT_BYTES = 40
ADVERT_PERIOD_S = 1.0
MEASUREMENT_S = 8.0
DETECTION_PERIOD_S = 5.0
BASE_START_S = 5.0
START_S_PER_NODE = 0.08

app = cyclopts.App(help=__doc__)


@attrs.frozen
class Shape:
    """Number of data centres, and of instances in each."""

    data_centres: int
    size: int

    @property
    def nodes(self) -> int:
        """Total number of instances."""
        return self.data_centres * self.size


SHAPES = (Shape(1, 6), Shape(1, 12), Shape(1, 24), Shape(1, 48), Shape(2, 12), Shape(4, 12))


@attrs.frozen
class Schedule:
    """Times on the monotonic clock, which all processes of a machine share."""

    begin: float
    end: float
    exit: float


@attrs.frozen
class Row:
    """Means over the nodes of one fleet shape."""

    data_centres: int
    size: int
    cpu_percent: float
    kilobytes_sent_s: float
    kilobytes_received_s: float
    messages_sent_s: float
    resident_mb: float
    advert_age_s: float
    detection_first_s: float
    detection_last_s: float
    detected_by: int
    false_deaths: int
    loopback_kilobytes_s: float


def loopback_bytes() -> int:
    """Return the bytes received on the loopback device by all processes of the machine."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    raise RuntimeError("no loopback device")


@app.command(show=False)
def node(name: str, data_centre: str, seed: str = "", *, shape: Shape, schedule: Schedule) -> None:
    """Run one instance and print its measurements as a JSON line."""
    from rosedyke.daemon import eventlet_runtime
    from rosedyke.membership import member, settings, swim
    from rosedyke.wire import settings as wire_settings
    from rosedyke.wire import transport

    runtime = eventlet_runtime.GreenRuntime()
    peers = transport.Transport(
        wire_settings.TransportSettings(name, data_centre, "127.0.0.1:0", TRANSPORT_KEY), runtime
    )
    peers.start()
    membership_settings = settings.MembershipSettings(seeds=(seed,) if seed else ())
    membership = swim.SwimMembership(membership_settings, runtime, peers)
    deaths: dict[str, float] = {}

    def record_deaths(old, new):
        for listed_member in new.members:
            if listed_member.state is member.State.DEAD:
                deaths.setdefault(listed_member.name, time.monotonic())

    def advertise():
        while True:
            runtime.sleep(ADVERT_PERIOD_S)
            membership.advertise("load", str(time.monotonic()).zfill(ADVERT_BYTES).encode())

    def advert_ages_s():
        values = [
            membership.advertised(listed_member.name, "load")
            for listed_member in membership.view.members
        ]
        return [time.monotonic() - float(value) for value in values if value]

    membership.subscribe(record_deaths)
    membership.start()
    runtime.spawn(advertise)
    print(peers.own.address, flush=True)
    runtime.sleep(schedule.begin - time.monotonic())
    states = {
        listed_member.name: listed_member.state.value for listed_member in membership.view.members
    }
    cpu_s, traffic_before = time.process_time(), attrs.evolve(peers.traffic)
    runtime.sleep(schedule.end - time.monotonic())
    window_s = MEASUREMENT_S
    cpu_s = time.process_time() - cpu_s
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    measurements = {
        "states": states,
        "cpu_percent": 100 * cpu_s / window_s,
        "sent": (peers.traffic.bytes_sent - traffic_before.bytes_sent) / window_s,
        "received": (peers.traffic.bytes_received - traffic_before.bytes_received) / window_s,
        "messages": (peers.traffic.messages_sent - traffic_before.messages_sent) / window_s,
        "age": statistics.fmean(advert_ages_s()),
        "resident": pages * PAGE_BYTES,
    }
    runtime.sleep(schedule.exit - time.monotonic())
    print(json.dumps({**measurements, "deaths": deaths}), flush=True)
    os._exit(0)


def start_node(number: int, seed: str, shape: Shape, schedule: Schedule) -> subprocess.Popen:
    """Start one instance as a process."""
    data_centre = f"dc{number // shape.size}"
    command = [sys.executable, "-W", "ignore", __file__, "node", f"node-{number:03}", data_centre]
    command += ["--seed", seed] if seed else []
    for key, value in {**attrs.asdict(schedule)}.items():
        command += [f"--schedule.{key}", str(value)]
    for key, value in {**attrs.asdict(shape)}.items():
        command += [f"--shape.{key.replace('_', '-')}", str(value)]
    return subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, cwd=ROOT, text=True
    )


def measure(shape: Shape) -> Row:
    """Run a fleet of one shape and return its means."""
    begin = time.monotonic() + BASE_START_S + START_S_PER_NODE * shape.nodes
    schedule = Schedule(begin, begin + MEASUREMENT_S, begin + MEASUREMENT_S + DETECTION_PERIOD_S)
    node_processes = [start_node(0, "", shape, schedule)]
    try:
        seed = node_processes[0].stdout.readline().strip()
        node_processes += [
            start_node(number, seed, shape, schedule) for number in range(1, shape.nodes)
        ]
        time.sleep(max(0.0, schedule.begin - time.monotonic()))
        bytes_before = loopback_bytes()
        time.sleep(max(0.0, schedule.end - time.monotonic()))
        loopback_bytes_per_s = (loopback_bytes() - bytes_before) / MEASUREMENT_S
        killed, killed_at = node_processes[-1], time.monotonic()
        killed.kill()
        reports = [
            json.loads(node_process.stdout.readlines()[-1]) for node_process in node_processes[:-1]
        ]
    finally:
        for node_process in node_processes:
            node_process.kill()
            node_process.wait()
    return summarise(shape, reports, killed_at, loopback_bytes_per_s)


def summarise(
    shape: Shape, reports: list[dict], killed_at: float, loopback_bytes_per_s: float
) -> Row:
    """Return the means over the reports of the nodes that were not killed."""
    for report in reports:
        live = [name for name, state in report["states"].items() if state == "live"]
        if len(live) != shape.nodes:
            others = {other: value for other, value in report["states"].items() if value != "live"}
            raise RuntimeError(f"{len(live)} of {shape.nodes} live at the start, {others}")
    killed = f"node-{shape.nodes - 1:03}"
    same_data_centre = reports[-(shape.size - 1) :]
    detection_times_s = [
        node_report["deaths"][killed] - killed_at
        for node_report in same_data_centre
        if killed in node_report["deaths"]
    ]
    false_deaths = sum(len(set(node_report["deaths"]) - {killed}) for node_report in reports)

    def mean(key):
        return statistics.fmean(report[key] for report in reports)

    return Row(
        shape.data_centres,
        shape.size,
        round(mean("cpu_percent"), 3),
        round(mean("sent") / 1000, 2),
        round(mean("received") / 1000, 2),
        round(mean("messages"), 2),
        round(mean("resident") / MB, 1),
        round(mean("age"), 2),
        round(min(detection_times_s), 2) if detection_times_s else float("nan"),
        round(max(detection_times_s), 2) if detection_times_s else float("nan"),
        len(detection_times_s),
        false_deaths,
        round(loopback_bytes_per_s / shape.nodes / 1000, 2),
    )


COST_FIELDS = (
    "cpu_percent",
    "kilobytes_sent_s",
    "kilobytes_received_s",
    "messages_sent_s",
    "resident_mb",
    "loopback_kilobytes_s",
)


def fit_costs(rows: list[Row], position: str) -> dict[str, dict[str, float]]:
    """Fit each cost linearly over the size or the number of data centres."""
    regressions = {}
    for cost in COST_FIELDS:
        regression = statistics.linear_regression(
            [getattr(row, position) for row in rows], [getattr(row, cost) for row in rows]
        )
        regressions[cost] = {
            "intercept": round(regression.intercept, 4),
            "slope": round(regression.slope, 5),
        }
    return regressions


def print_table(rows: list[Row]) -> None:
    """Print the rows as a table."""
    names = [field.name for field in attrs.fields(Row)]
    widths = [max(len(name), 6) for name in names]
    print(" ".join(names))
    for row in rows:
        values = [str(getattr(row, name)) for name in names]
        print(" ".join(value.rjust(width) for value, width in zip(values, widths, strict=True)))


@app.default
def main(
    write: Annotated[bool, cyclopts.Parameter(help="Keep the result under results/.")] = True,
) -> None:
    """Measure every shape, print the table and write the results."""
    rows = []
    for shape in SHAPES:
        rows.append(measure(shape))
        print_table(rows[-1:])
    print()
    print_table(rows)
    by_size = fit_costs([row for row in rows if row.data_centres == 1], "size")
    sizes_of_12 = [row for row in rows if row.size == 12]
    by_data_centres = fit_costs(sizes_of_12, "data_centres")
    for title, regressions in (("member", by_size), ("data centre of 12", by_data_centres)):
        for cost, regression in regressions.items():
            print(f"{cost}: {regression['intercept']} + {regression['slope']} for each {title}")
    if write:
        RESULTS.mkdir(exist_ok=True)
        commit = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True
        ).stdout.strip()
        result = {
            "commit": commit,
            "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
            "rows": [attrs.asdict(row) for row in rows],
            "by_size": by_size,
            "by_data_centres": by_data_centres,
        }
        path = RESULTS / "membership_cost.json"
        path.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    app()
