"""What a whole entry instance spends on control while no caller asks anything of it.

    python -m benchmarks.control_cost [SIZES ...]

Starts so many real ``rosedyked`` on loopback around a stand-in store with the demo's
configuration, waits until all are ready, and reads processor time, memory and the counters of
messages over a while.  Fits straight lines over the number of instances.
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
SIZES = (6, 12, 24)
DATA_CENTRES = ("dc1", "dc2", "dc3")
SETTLE_S = 4.0
LENGTH_S = 15.0
TICKS_PER_S = 100
PAGE_BYTES = resource.getpagesize()


@attrs.frozen
class Row:
    """What one instance spends, as the mean over all of a size.

    Attributes
    ----------
    instances : int
        How many ran.
    cpu_percent : float
        Of one core.
    resident_mb : float
        Memory.
    kilobytes_s : float
        Sent to other instances.
    messages_s : float
        Sent to other instances.
    """

    instances: int
    cpu_percent: float
    resident_mb: float
    kilobytes_s: float
    messages_s: float


@attrs.frozen
class Sample:
    """Readings of one instance at one moment."""

    time: float
    cpu_s: float
    bytes_sent: float
    messages_sent: float


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return a process's resident megabytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def take(region: region_module.Region, instance: region_module.EntryInstance) -> Sample:
    """Read one instance."""
    counters = region.get_json(f"http://{instance.operator}/v1/operator/status")["counters"]
    return Sample(
        time.monotonic(),
        read_cpu_s(instance.process.pid),
        counters.get("wire.bytes_sent", 0),
        counters.get("wire.messages_sent", 0),
    )


def measure(size: int, folder: pathlib.Path) -> Row:
    """Run so many instances and return what one of them spends."""
    with processes.Group(folder) as group:
        region = region_module.Region(group, DATA_CENTRES, size // len(DATA_CENTRES))
        region.start_store()
        demo = processes.ROOT / "examples" / "demo"
        region.command("apply", str(demo / "weighbridge.toml"), str(demo / "press-line.toml"))
        region.start_instances()
        region.wait_ready()
        time.sleep(SETTLE_S)
        before = [take(region, one) for one in region.instances]
        time.sleep(LENGTH_S)
        after = [take(region, one) for one in region.instances]
        pairs = list(zip(before, after, strict=True))

        def rate(name):
            return statistics.mean(
                (getattr(b, name) - getattr(a, name)) / (b.time - a.time) for a, b in pairs
            )

        return Row(
            size,
            round(100 * rate("cpu_s"), 3),
            round(
                statistics.mean(read_resident_mb(one.process.pid) for one in region.instances), 1
            ),
            round(rate("bytes_sent") / 1000, 2),
            round(rate("messages_sent"), 2),
        )


def slope(rows: list[Row], name: str) -> tuple[float, float]:
    """Return intercept and slope of a figure over the number of instances (least squares)."""
    line = statistics.linear_regression(
        [row.instances for row in rows], [getattr(row, name) for row in rows]
    )
    return round(line.intercept, 4), round(line.slope, 5)


def main() -> None:
    """Measure all sizes, print them and keep the result."""
    sizes = [int(word) for word in sys.argv[1:]] or list(SIZES)
    rows = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(measure(size, pathlib.Path(folder)))
        print(rows[-1], flush=True)
    lines = {}
    if len(rows) > 1:
        names = ("cpu_percent", "resident_mb", "kilobytes_s", "messages_s")
        lines = {name: slope(rows, name) for name in names}
        print(lines)
    kept = {"commit": report.commit(), "rows": [attrs.asdict(row) for row in rows], "lines": lines}
    RESULT.write_text(json.dumps(kept, indent=2) + "\n")


if __name__ == "__main__":
    main()
