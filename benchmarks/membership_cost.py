"""Cost of the membership for each node, and how fast a killed node is found.

Starts instances as plain processes on loopback, each with the real transport (with a key) and
membership, measures a quiet window, kills one process by its id and waits until the others hold
it dead.  Prints a table and least-squares slopes, and writes them to benchmarks/results/.

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
KEY = "benchmark"
ADVERT_BYTES = 40
ADVERT_PERIOD_S = 1.0
WINDOW_S = 8.0
DETECTION_S = 5.0
START_S = 5.0
START_S_PER_NODE = 0.08

app = cyclopts.App(help=__doc__)


@attrs.frozen
class Shape:
    """How many data centres, and instances in each."""

    data_centres: int
    size: int

    @property
    def nodes(self) -> int:
        """All instances."""
        return self.data_centres * self.size


SHAPES = (Shape(1, 6), Shape(1, 12), Shape(1, 24), Shape(1, 48), Shape(2, 12), Shape(4, 12))


@attrs.frozen
class Schedule:
    """Moments in monotonic seconds, which all processes of a machine share."""

    begin: float
    end: float
    exit: float


@attrs.frozen
class Row:
    """The means over the nodes of one shape."""

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
    """Return the bytes that passed the loopback device, of all processes of the machine."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    raise RuntimeError("no loopback device")


# One node


@app.command(show=False)
def node(name: str, data_centre: str, seed: str = "", *, shape: Shape, schedule: Schedule) -> None:
    """Run one instance and print what it measured, as a line of JSON."""
    from rosedyke.daemon import eventlet_runtime
    from rosedyke.membership import member, settings, swim
    from rosedyke.wire import settings as wire_settings
    from rosedyke.wire import transport

    runtime = eventlet_runtime.GreenRuntime()
    peers = transport.Transport(
        wire_settings.TransportSettings(name, data_centre, "127.0.0.1:0", KEY), runtime
    )
    peers.start()
    options = settings.MembershipSettings(seeds=(seed,) if seed else ())
    membership = swim.SwimMembership(options, runtime, peers)
    deaths: dict[str, float] = {}

    def note(old, new):
        for found in new.members:
            if found.state is member.State.DEAD:
                deaths.setdefault(found.name, time.monotonic())

    def advertise():
        while True:
            runtime.sleep(ADVERT_PERIOD_S)
            membership.advertise("load", str(time.monotonic()).zfill(ADVERT_BYTES).encode())

    def ages():
        values = [membership.advertised(m.name, "load") for m in membership.view.members]
        return [time.monotonic() - float(value) for value in values if value]

    membership.subscribe(note)
    membership.start()
    runtime.spawn(advertise)
    print(peers.own.address, flush=True)
    runtime.sleep(schedule.begin - time.monotonic())
    states = {m.name: m.state.value for m in membership.view.members}
    cpu, traffic = time.process_time(), attrs.evolve(peers.traffic)
    runtime.sleep(schedule.end - time.monotonic())
    seconds = WINDOW_S
    cpu = time.process_time() - cpu
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    measured = {
        "states": states,
        "cpu_percent": 100 * cpu / seconds,
        "sent": (peers.traffic.bytes_sent - traffic.bytes_sent) / seconds,
        "received": (peers.traffic.bytes_received - traffic.bytes_received) / seconds,
        "messages": (peers.traffic.messages_sent - traffic.messages_sent) / seconds,
        "age": statistics.fmean(ages()),
        "resident": pages * PAGE_BYTES,
    }
    runtime.sleep(schedule.exit - time.monotonic())
    print(json.dumps({**measured, "deaths": deaths}), flush=True)
    os._exit(0)


# All nodes


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
    """Run one shape and return its means."""
    begin = time.monotonic() + START_S + START_S_PER_NODE * shape.nodes
    schedule = Schedule(begin, begin + WINDOW_S, begin + WINDOW_S + DETECTION_S)
    started = [start_node(0, "", shape, schedule)]
    try:
        seed = started[0].stdout.readline().strip()
        started += [start_node(n, seed, shape, schedule) for n in range(1, shape.nodes)]
        time.sleep(max(0.0, schedule.begin - time.monotonic()))
        before = loopback_bytes()
        time.sleep(max(0.0, schedule.end - time.monotonic()))
        loopback = (loopback_bytes() - before) / WINDOW_S
        victim, killed_at = started[-1], time.monotonic()
        victim.kill()
        reports = [json.loads(each.stdout.readlines()[-1]) for each in started[:-1]]
    finally:
        for each in started:
            each.kill()
            each.wait()
    return summarise(shape, reports, killed_at, loopback)


def summarise(shape: Shape, reports: list[dict], killed_at: float, loopback: float) -> Row:
    """Return the means over the reports of the nodes that were not killed."""
    for report in reports:
        live = [name for name, state in report["states"].items() if state == "live"]
        if len(live) != shape.nodes:
            others = {n: s for n, s in report["states"].items() if s != "live"}
            raise RuntimeError(f"{len(live)} of {shape.nodes} live at the start, {others}")
    victim = f"node-{shape.nodes - 1:03}"
    neighbours = reports[-(shape.size - 1) :]
    found = [r["deaths"][victim] - killed_at for r in neighbours if victim in r["deaths"]]
    false_deaths = sum(len(set(r["deaths"]) - {victim}) for r in reports)

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
        round(min(found), 2) if found else float("nan"),
        round(max(found), 2) if found else float("nan"),
        len(found),
        false_deaths,
        round(loopback / shape.nodes / 1000, 2),
    )


COSTS = (
    "cpu_percent",
    "kilobytes_sent_s",
    "kilobytes_received_s",
    "messages_sent_s",
    "resident_mb",
    "loopback_kilobytes_s",
)


def slopes(rows: list[Row], position: str) -> dict[str, dict[str, float]]:
    """Return intercept and slope of each cost over the size or the number of data centres."""
    found = {}
    for cost in COSTS:
        line = statistics.linear_regression(
            [getattr(row, position) for row in rows], [getattr(row, cost) for row in rows]
        )
        found[cost] = {"intercept": round(line.intercept, 4), "slope": round(line.slope, 5)}
    return found


def show(rows: list[Row]) -> None:
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
    """Measure every shape, print the table and keep the result."""
    rows = []
    for shape in SHAPES:
        rows.append(measure(shape))
        show(rows[-1:])
    print()
    show(rows)
    by_size = slopes([row for row in rows if row.data_centres == 1], "size")
    twelve = [row for row in rows if row.size == 12]
    by_data_centres = slopes(twelve, "data_centres")
    for title, lines in (("member", by_size), ("data centre of 12", by_data_centres)):
        for cost, line in lines.items():
            print(f"{cost}: {line['intercept']} + {line['slope']} for each {title}")
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
