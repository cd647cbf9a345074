"""Measure what one entry instance costs: processor time a task, and the round trip it adds.

    .venv/bin/python benchmarks/entry_cost.py

Starts a stand-in store, stand-in backend servers and one entry instance on loopback, and ends them
by id.  Only the instance's own processor time counts (/proc/<pid>/stat), less what it spends idle
in the same time.  The added round trip is the median through the instance less the median of the
same task asked of the stand-in server directly, by the same kind of connection, in the same run.
"""

import concurrent.futures
import http.client
import json
import os
import pathlib
import platform
import statistics
import subprocess
import sys
import tempfile
import time

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results" / "entry_cost.json"
SERVERS = 24
RUN_S = 0.05
IDLE_S = 4.0
READY_LIMIT_S = 30.0
TICKS = os.sysconf("SC_CLK_TCK")

LARGE_TASKS = 300
LARGE_JOBS = 40
LARGE_CALLERS = 2
SMALL_JOBS = 3000
SMALL_CALLERS = 16
ROUND_TRIPS = 200


@attrs.frozen
class Fleet:
    """The processes under measurement.

    Attributes
    ----------
    instance : Started
        The entry instance.
    caller_address : str
        Its interface for callers.
    server_address : str
        One stand-in backend server.
    """

    instance: processes.Started
    caller_address: str
    server_address: str


def team_file(addresses):
    """Return the configuration for the stand-in servers."""
    lines = [
        'team = "bench"',
        "[[services]]",
        'name = "bench"',
        "[[services.tasks]]",
        'name = "work"',
        f"run_time_s = {RUN_S}",
    ]
    for number, address in enumerate(addresses):
        lines += [
            "[[services.servers]]",
            f'name = "bench-{number}"',
            f'address = "{address}"',
            'data_centre = "north"',
        ]
    return "\n".join(lines) + "\n"


def free_address():
    """Return an ip:port that only the process it is given to will bind."""
    address = processes.own_loopback()
    return f"{address}:{processes.free_port(address)}"


def start(group, folder):
    """Start everything and return it when the instance is ready."""
    store, caller, operator, peer = (free_address() for _ in range(4))
    servers = [free_address() for _ in range(SERVERS)]
    group.start("store", "rosedyke.standins.store", "--address", store)
    flags = [word for address in servers for word in ("--address", address)]
    group.start("servers", "rosedyke.standins.backend", *flags)
    instance = group.start(
        "instance",
        "rosedyke.daemon.main",
        *("--name", "north-1", "--region", "valley"),
        *("--data-centre", "north", "--data-centres", "north"),
        *("--caller-address", caller, "--operator-address", operator, "--peer-address", peer),
        *("--store", f"http://{store}", "--log-level", "warning"),
    )
    path = folder / "bench.toml"
    path.write_text(team_file(servers))
    command = [sys.executable, "-W", "ignore", "-m", "rosedyke.command.main", "apply", str(path)]
    environment = {**os.environ, "ROSEDYKE_STORE": f"http://{store}"}
    processes.wait_until(
        lambda: subprocess.run(command, env=environment, cwd=ROOT, capture_output=True).returncode
        == 0,
        READY_LIMIT_S,
        "the configuration",
    )
    processes.wait_until(lambda: is_ready(caller), READY_LIMIT_S, "the instance")
    return Fleet(instance, caller, servers[0])


def is_ready(address):
    """Return whether an instance is ready."""
    connection = http.client.HTTPConnection(address, timeout=2)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def processor_s(pid):
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    raise RuntimeError(f"{pid} has no resident memory")


def job_body(job_id, tasks):
    """Return a job whose tasks run for RUN_S seconds."""
    payloads = [
        {"name": "work", "payload": {"run_s": RUN_S, "basket": number, "kg": 11.4}}
        for number in range(tasks)
    ]
    return json.dumps({"job_id": job_id, "tasks": payloads, "timeout_s": 60}).encode()


def call(connection, path, body, headers):
    """Post a body and return the answer's status, with all of it read."""
    connection.request("POST", path, body, headers)
    response = connection.getresponse()
    response.read()
    return response.status


def submit_all(address, prefix, jobs, tasks, callers):
    """Submit jobs from several callers at a time; return how many were answered whole."""

    def run(caller):
        connection = http.client.HTTPConnection(address, timeout=90)
        headers = {"Rosedyke-Attempt": "1", "Content-Type": "application/json"}
        whole = 0
        for number in range(caller, jobs, callers):
            body = job_body(f"{prefix}-{number}", tasks)
            whole += call(connection, "/v1/services/bench/jobs", body, headers) == 200
        connection.close()
        return whole

    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        return sum(pool.map(run, range(callers)))


def cost(fleet, name, jobs, tasks, callers):
    """Return the processor milliseconds a task, less those of an idle instance."""
    submit_all(fleet.caller_address, f"warm-{name}", callers * 2, tasks, callers)
    before, begun = processor_s(fleet.instance.pid), time.monotonic()
    time.sleep(IDLE_S)
    idle_share = (processor_s(fleet.instance.pid) - before) / (time.monotonic() - begun)
    before, begun = processor_s(fleet.instance.pid), time.monotonic()
    whole = submit_all(fleet.caller_address, name, jobs, tasks, callers)
    lasted = time.monotonic() - begun
    used = processor_s(fleet.instance.pid) - before
    return {
        "tasks_per_job": tasks,
        "jobs": jobs,
        "jobs_whole": whole,
        "callers": callers,
        "tasks_per_s": round(jobs * tasks / lasted, 1),
        "processor_share": round(used / lasted, 3),
        "idle_processor_share": round(idle_share, 4),
        "processor_ms_per_task": round(1000 * (used - idle_share * lasted) / (jobs * tasks), 4),
        "resident_mb_after": resident_mb(fleet.instance.pid),
    }


def round_trips(address, path, make_body, headers):
    """Return the milliseconds of ROUND_TRIPS requests, one after another."""
    connection = http.client.HTTPConnection(address, timeout=30)
    times = []
    for number in range(ROUND_TRIPS):
        begun = time.perf_counter()
        status = call(connection, path, make_body(number), headers(number))
        times.append(1000 * (time.perf_counter() - begun))
        if status != 200:
            raise RuntimeError(f"{path}: status {status}")
    connection.close()
    return times


def added_round_trip(fleet):
    """Return the milliseconds that the instance adds to a task of RUN_S seconds."""
    payload = json.dumps({"run_s": RUN_S, "basket": 1, "kg": 11.4}).encode()
    direct = round_trips(
        fleet.server_address,
        "/v1/tasks/work",
        lambda number: payload,
        lambda number: {"Idempotency-Key": f"direct-{number}"},
    )
    through = round_trips(
        fleet.caller_address,
        "/v1/services/bench/jobs",
        lambda number: job_body(f"trip-{number}", 1),
        lambda number: {"Rosedyke-Attempt": "1"},
    )
    return {
        "requests": ROUND_TRIPS,
        "direct_median_ms": round(statistics.median(direct), 3),
        "through_median_ms": round(statistics.median(through), 3),
        "through_p99_ms": round(statistics.quantiles(through, n=100)[98], 3),
        "added_median_ms": round(statistics.median(through) - statistics.median(direct), 3),
    }


def commit():
    """Return the commit that is measured, with a mark if files differ from it."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()


def main():
    """Run the measurement and write its results."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with processes.Group(folder) as group:
            fleet = start(group, folder)
            result = {
                "commit": commit(),
                "machine": f"{platform.machine()}, {os.cpu_count()} processors",
                "python": platform.python_version(),
                "load_average": os.getloadavg(),
                "added_round_trip": added_round_trip(fleet),
                "jobs_of_300": cost(fleet, "large", LARGE_JOBS, LARGE_TASKS, LARGE_CALLERS),
                "jobs_of_1": cost(fleet, "small", SMALL_JOBS, 1, SMALL_CALLERS),
            }
    text = json.dumps(result, indent=2)
    print(text)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(text + "\n")


if __name__ == "__main__":
    main()
