"""Measure the idle cost of an entry instance: CPU, memory and messages without any job.

    python -m benchmarks.control_cost [SIZES ...]

Starts that many ``rosedyked`` processes on loopback with a stand-in store and the demo
configuration, waits until all are ready, and samples CPU time, memory and message counters over
``SAMPLE_PERIOD_S`` seconds.  Fits a linear regression over the number of instances.
"""

import json
import pathlib
import resource
import statistics
import sys
import tempfile
import time

import attrs

from benchmarks import report

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tools"))

import processes  # noqa: E402
import region as region_module  # noqa: E402

RESULT = pathlib.Path(__file__).resolve().parent / "results" / "control_cost.json"
FLEET_SIZES = (6, 12, 24)
DATA_CENTRES = ("dc1", "dc2", "dc3")
SETTLE_S = 4.0
SAMPLE_PERIOD_S = 15.0
TICKS_PER_S = 100
PAGE_BYTES = resource.getpagesize()


@attrs.frozen
class MeanCost:
    """Mean idle cost of an instance in a fleet of one size.

    Attributes
    ----------
    instances : int
        Fleet size.
    cpu_percent : float
        CPU time as a percentage of one core.
    resident_mb : float
        Resident memory.
    kilobytes_s : float
        Kilobytes per second sent to other instances.
    messages_s : float
        Messages per second sent to other instances.
    """

    instances: int
    cpu_percent: float
    resident_mb: float
    kilobytes_s: float
    messages_s: float


@attrs.frozen
class Sample:
    """Counters of one instance at one time."""

    time: float
    cpu_s: float
    bytes_sent: float
    messages_sent: float


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def take_sample(region: region_module.Region, instance: region_module.EntryInstance) -> Sample:
    """Sample the counters of one instance."""
    counters = region.get_json(f"http://{instance.operator_address}/v1/operator/status")["counters"]
    return Sample(
        time.monotonic(),
        read_cpu_s(instance.process.pid),
        counters.get("wire.bytes_sent", 0),
        counters.get("wire.messages_sent", 0),
    )


def measure(size: int, folder: pathlib.Path) -> MeanCost:
    """Run a fleet of ``size`` instances and return the mean cost of one."""
    with processes.Group(folder) as group:
        region = region_module.Region(group, DATA_CENTRES, size // len(DATA_CENTRES))
        region.start_store()
        demo = processes.ROOT / "examples" / "demo"
        region.run_command("apply", str(demo / "weighbridge.toml"), str(demo / "press-line.toml"))
        region.start_instances()
        region.wait_ready()
        time.sleep(SETTLE_S)
        before = [take_sample(region, instance) for instance in region.instances]
        time.sleep(SAMPLE_PERIOD_S)
        after = [take_sample(region, instance) for instance in region.instances]
        pairs = list(zip(before, after, strict=True))

        def mean_rate(name):
            return statistics.mean(
                (getattr(last, name) - getattr(first, name)) / (last.time - first.time)
                for first, last in pairs
            )

        return MeanCost(
            size,
            round(100 * mean_rate("cpu_s"), 3),
            round(
                statistics.mean(
                    read_resident_mb(instance.process.pid) for instance in region.instances
                ),
                1,
            ),
            round(mean_rate("bytes_sent") / 1000, 2),
            round(mean_rate("messages_sent"), 2),
        )


def slope(rows: list[MeanCost], name: str) -> tuple[float, float]:
    """Return intercept and slope of a cost over the number of instances (least squares)."""
    line = statistics.linear_regression(
        [row.instances for row in rows], [getattr(row, name) for row in rows]
    )
    return round(line.intercept, 4), round(line.slope, 5)


def main() -> None:
    """Measure all fleet sizes, print the results and write them to a file."""
    sizes = [int(argument) for argument in sys.argv[1:]] or list(FLEET_SIZES)
    rows = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(measure(size, pathlib.Path(folder)))
        print(rows[-1], flush=True)
    regressions = {}
    if len(rows) > 1:
        cost_names = ("cpu_percent", "resident_mb", "kilobytes_s", "messages_s")
        regressions = {name: slope(rows, name) for name in cost_names}
        print(regressions)
    document = {
        "commit": report.commit(),
        "rows": [attrs.asdict(row) for row in rows],
        "lines": regressions,
    }
    RESULT.write_text(json.dumps(document, indent=2) + "\n")


if __name__ == "__main__":
    main()
