"""Measure the cost of an entry instance: CPU time per task, and the latency that it adds.

    .venv/bin/python benchmarks/entry_cost.py

Starts a stand-in store, stand-in backend servers and one entry instance on loopback.  CPU time is
that of the instance (/proc/<pid>/stat) minus its idle usage over the same time.  Added latency is
the median round trip through the instance minus the median of the same task sent directly to a
stand-in server, over the same kind of connection in the same run.
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
TASK_RUN_S = 0.05
IDLE_PERIOD_S = 4.0
READY_TIMEOUT_S = 30.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

LARGE_TASKS = 300
LARGE_JOBS = 40
LARGE_CALLERS = 2
SMALL_JOBS = 3000
SMALL_CALLERS = 16
ROUND_TRIP_COUNT = 200


@attrs.frozen
class Fleet:
    """The processes under test.

    Attributes
    ----------
    instance : ManagedProcess
        The entry instance.
    caller_address : str
        Address for callers.
    server_address : str
        One stand-in backend server.
    """

    instance: processes.ManagedProcess
    caller_address: str
    server_address: str


def team_file(addresses):
    """Return the configuration file for the stand-in servers."""
    lines = [
        'team = "bench"',
        "[[services]]",
        'name = "bench"',
        "[[services.tasks]]",
        'name = "work"',
        f"run_time_s = {TASK_RUN_S}",
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
    """Return an unused ip:port on a loopback address of its own."""
    address = processes.unique_loopback_address()
    return f"{address}:{processes.free_port(address)}"


def start(group, folder):
    """Start all processes and wait until the instance is ready."""
    store_address, caller_address, operator_address, peer_address = (
        free_address() for _ in range(4)
    )
    servers = [free_address() for _ in range(SERVERS)]
    group.start("store", "rosedyke.standins.store", "--address", store_address)
    address_flags = [flag for address in servers for flag in ("--address", address)]
    group.start("servers", "rosedyke.standins.backend", *address_flags)
    instance = group.start(
        "instance",
        "rosedyke.daemon.main",
        *("--name", "north-1", "--region", "valley"),
        *("--data-centre", "north", "--data-centres", "north"),
        *(
            "--caller-address",
            caller_address,
            "--operator-address",
            operator_address,
            "--peer-address",
            peer_address,
        ),
        *("--store", f"http://{store_address}", "--log-level", "warning"),
    )
    file_path = folder / "bench.toml"
    file_path.write_text(team_file(servers))
    command = [
        sys.executable,
        "-W",
        "ignore",
        "-m",
        "rosedyke.command.main",
        "apply",
        str(file_path),
    ]
    environment = {**os.environ, "ROSEDYKE_STORE": f"http://{store_address}"}
    processes.wait_until(
        lambda: subprocess.run(command, env=environment, cwd=ROOT, capture_output=True).returncode
        == 0,
        READY_TIMEOUT_S,
        "the configuration",
    )
    processes.wait_until(lambda: is_ready(caller_address), READY_TIMEOUT_S, "the instance")
    return Fleet(instance, caller_address, servers[0])


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


def read_cpu_s(pid):
    """Return the CPU time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    raise RuntimeError(f"{pid} has no resident memory")


def job_body(job_id, tasks):
    """Return the body of a job whose tasks run for TASK_RUN_S seconds."""
    payloads = [
        {"name": "work", "payload": {"run_s": TASK_RUN_S, "basket": number, "kg": 11.4}}
        for number in range(tasks)
    ]
    return json.dumps({"job_id": job_id, "tasks": payloads, "timeout_s": 60}).encode()


def post(connection, path, body, headers):
    """Send a POST request, read the whole response and return its status."""
    connection.request("POST", path, body, headers)
    response = connection.getresponse()
    response.read()
    return response.status


def submit_all(address, prefix, jobs, tasks, callers):
    """Submit jobs from concurrent callers; return the number of complete answers."""

    def submit_share(caller):
        connection = http.client.HTTPConnection(address, timeout=90)
        headers = {"Rosedyke-Attempt": "1", "Content-Type": "application/json"}
        complete = 0
        for number in range(caller, jobs, callers):
            body = job_body(f"{prefix}-{number}", tasks)
            complete += post(connection, "/v1/services/bench/jobs", body, headers) == 200
        connection.close()
        return complete

    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        return sum(pool.map(submit_share, range(callers)))


def measure_cost(fleet, name, jobs, tasks, callers):
    """Measure the CPU time per task, minus that of an idle instance."""
    submit_all(fleet.caller_address, f"warm-{name}", callers * 2, tasks, callers)
    cpu_before_s, started = read_cpu_s(fleet.instance.pid), time.monotonic()
    time.sleep(IDLE_PERIOD_S)
    idle_share = (read_cpu_s(fleet.instance.pid) - cpu_before_s) / (time.monotonic() - started)
    cpu_before_s, started = read_cpu_s(fleet.instance.pid), time.monotonic()
    complete_jobs = submit_all(fleet.caller_address, name, jobs, tasks, callers)
    elapsed_s = time.monotonic() - started
    cpu_used_s = read_cpu_s(fleet.instance.pid) - cpu_before_s
    return {
        "tasks_per_job": tasks,
        "jobs": jobs,
        "jobs_whole": complete_jobs,
        "callers": callers,
        "tasks_per_s": round(jobs * tasks / elapsed_s, 1),
        "processor_share": round(cpu_used_s / elapsed_s, 3),
        "idle_processor_share": round(idle_share, 4),
        "processor_ms_per_task": round(
            1000 * (cpu_used_s - idle_share * elapsed_s) / (jobs * tasks), 4
        ),
        "resident_mb_after": resident_mb(fleet.instance.pid),
    }


def time_round_trips(address, path, make_body, headers):
    """Return the times of ROUND_TRIP_COUNT sequential requests in milliseconds."""
    connection = http.client.HTTPConnection(address, timeout=30)
    times_ms = []
    for number in range(ROUND_TRIP_COUNT):
        started = time.perf_counter()
        status = post(connection, path, make_body(number), headers(number))
        times_ms.append(1000 * (time.perf_counter() - started))
        if status != 200:
            raise RuntimeError(f"{path}: status {status}")
    connection.close()
    return times_ms


def measure_added_latency(fleet):
    """Measure the latency that the instance adds to a task of TASK_RUN_S seconds."""
    payload = json.dumps({"run_s": TASK_RUN_S, "basket": 1, "kg": 11.4}).encode()
    direct_ms = time_round_trips(
        fleet.server_address,
        "/v1/tasks/work",
        lambda number: payload,
        lambda number: {"Idempotency-Key": f"direct-{number}"},
    )
    through_instance_ms = time_round_trips(
        fleet.caller_address,
        "/v1/services/bench/jobs",
        lambda number: job_body(f"trip-{number}", 1),
        lambda number: {"Rosedyke-Attempt": "1"},
    )
    return {
        "requests": ROUND_TRIP_COUNT,
        "direct_median_ms": round(statistics.median(direct_ms), 3),
        "through_median_ms": round(statistics.median(through_instance_ms), 3),
        "through_p99_ms": round(statistics.quantiles(through_instance_ms, n=100)[98], 3),
        "added_median_ms": round(
            statistics.median(through_instance_ms) - statistics.median(direct_ms), 3
        ),
    }


def commit():
    """Return the current commit, marked as dirty if the working tree has changes."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()


def main():
    """Run the measurements and write the results."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with processes.Group(folder) as group:
            fleet = start(group, folder)
            result = {
                "commit": commit(),
                "machine": f"{platform.machine()}, {os.cpu_count()} processors",
                "python": platform.python_version(),
                "load_average": os.getloadavg(),
                "added_round_trip": measure_added_latency(fleet),
                "jobs_of_300": measure_cost(fleet, "large", LARGE_JOBS, LARGE_TASKS, LARGE_CALLERS),
                "jobs_of_1": measure_cost(fleet, "small", SMALL_JOBS, 1, SMALL_CALLERS),
            }
    text = json.dumps(result, indent=2)
    print(text)
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(text + "\n")


if __name__ == "__main__":
    main()
