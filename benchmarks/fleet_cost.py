"""Measures the processor time of instances on the platform: start, idle and jobs, by fleet size.

Real processes run against the adapter's fake platform on loopback, in five data centres with racks
of 12 servers each.  Servers rewrite their entries in the store, as on the platform.

    .venv/bin/python -W ignore -m benchmarks.fleet_cost [--sizes N ...] [--rounds N] [FOLDER ...]

Each folder is a working copy whose code the instances run, by default this one.  All folders are
measured at the same time, so that other load affects them alike.  A row is the mean of all
instances of a fleet: processor time from the start of the process until the fleet has settled,
processor time and voluntary context switches while idle, and processor time of the whole fleet for
each job of 2 to 8 tasks, sent to all instances in turn, without that of the idle fleet.
"""

import argparse
import http.client
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

import eventlet

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import fake_platform, process_test  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402

DATA_CENTRES = "abcde"
RACKS, SERVERS_PER_RACK = 2, 12
ENTRY_INTERVAL_S = 1.5
READY_TIMEOUT_S = 120.0
SETTLE_S = 4.0
IDLE_PERIOD_S = 8.0
JOBS, JOBS_PER_S = 400, 40.0
RUN_TIME_S = 0.1
LIMITS = "[limits]\nlinkMbps = 200.0\n"
COLUMNS = ("start ms", "idle % of a core", "wake-ups/s", "job ms", "failed jobs")


def read_cpu_s(pid: int) -> float:
    """Return the processor time of all threads of a process in seconds."""
    return sum(
        int((task / "schedstat").read_text().split()[0]) / 1e9
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir()
    )


def read_wakeups(pid: int) -> int:
    """Return the number of voluntary context switches of all threads of a process."""
    return sum(
        int(line.split()[1])
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir()
        for line in (task / "status").read_text().splitlines()
        if line.startswith("voluntary_ctxt_switches")
    )


class Fleet:
    """Instances that run the code of a folder, and their platform."""

    def __init__(self, folder: pathlib.Path, size: int):
        # Compiling the modules at each start would be most of its processor time.
        os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
        self.platform = fake_platform.FakePlatform(eventlet_runtime.GreenRuntime())
        for data_centre in DATA_CENTRES:
            for rack in range(RACKS):
                for number in range(SERVERS_PER_RACK):
                    server_id = f"{data_centre}{rack}-s{number}"
                    self.platform.add_server(
                        server_id, data_centre, "weighing", rack=f"{data_centre}-r{rack}"
                    )
        self.platform.configure(3, [process_test.ROUTE])
        eventlet.spawn(self._rewrite_entries)
        process_test.ROOT = folder
        self.instances = [
            process_test.InstanceProcess(
                f"{DATA_CENTRES[number % len(DATA_CENTRES)]}-{number}",
                self.platform.store_address,
                None,
                LIMITS,
                DATA_CENTRES[number % len(DATA_CENTRES)],
            )
            for number in range(size)
        ]
        self.callers: dict[str, list[http.client.HTTPConnection]] = {}
        self.failed_jobs = 0

    def _rewrite_entries(self):
        servers = list(self.platform.backend.servers.values())
        while True:
            for server in servers:
                self.platform.put_server_entry(server.listed, "ready")
                eventlet.sleep(ENTRY_INTERVAL_S / len(servers))

    def close(self) -> None:
        """Stop the instances and remove their files."""
        for instance in self.instances:
            instance.clean_up()

    def wait_until_ready(self) -> None:
        """Block until all instances are ready and the fleet has settled."""
        with eventlet.Timeout(READY_TIMEOUT_S):
            for instance in self.instances:
                while not _is_ready(instance):
                    eventlet.sleep(0.2)
        eventlet.sleep(SETTLE_S)

    def cpu_s(self) -> float:
        """Return the processor time of the fleet."""
        return sum(read_cpu_s(instance.process.pid) for instance in self.instances)

    def wakeups(self) -> int:
        """Return the voluntary context switches of the fleet."""
        return sum(read_wakeups(instance.process.pid) for instance in self.instances)

    def submit(self, number: int) -> None:
        """Submit a job on an open connection, and count it if it does not succeed."""
        job_id = f"{number:016x}"
        self.platform.backend.durations[job_id] = RUN_TIME_S
        address = self.instances[number % len(self.instances)].addresses[0]
        callers = self.callers.setdefault(address, [])
        caller = callers.pop() if callers else http.client.HTTPConnection(address)
        headers = {"Host": "scales.example", "X-Rosedyke-Timeout-Ms": "5000"}
        caller.request("POST", f"/tags/{job_id}", process_test.job_body(2 + number % 7), headers)
        response = caller.getresponse()
        self.failed_jobs += json.loads(response.read()) != {"state": "succeeded"}
        callers.append(caller)

    def run_jobs(self) -> None:
        """Submit jobs at a constant rate and wait for their answers."""
        threads = []
        for number in range(JOBS):
            threads.append(eventlet.spawn(self.submit, number))
            eventlet.sleep(1 / JOBS_PER_S)
        for thread in threads:
            thread.wait()

    def measure(self) -> list[float]:
        """Return the values of ``COLUMNS``."""
        self.wait_until_ready()
        size = len(self.instances)
        started_cpu_s, started_wakeups, started = self.cpu_s(), self.wakeups(), time.monotonic()
        eventlet.sleep(IDLE_PERIOD_S)
        idle_cpu_s, idle_s = self.cpu_s(), time.monotonic() - started
        idle_share = (idle_cpu_s - started_cpu_s) / idle_s
        wakeups_per_s = (self.wakeups() - started_wakeups) / idle_s
        started = time.monotonic()
        self.run_jobs()
        jobs_cpu_s = self.cpu_s() - idle_cpu_s - idle_share * (time.monotonic() - started)
        return [
            1000 * started_cpu_s / size,
            100 * idle_share / size,
            wakeups_per_s / size,
            1000 * jobs_cpu_s / JOBS,
            self.failed_jobs,
        ]


def _is_ready(instance):
    try:
        return process_test.send_request(instance.addresses[1], "GET", "/")[0] == 200
    except OSError:
        return False


def measure_case(folder: str, size: str) -> None:
    """Measure one fleet and print its row."""
    fleet = Fleet(pathlib.Path(folder), int(size))
    try:
        print(*fleet.measure())
    finally:
        fleet.close()


def measure_together(cases: list[tuple[str, str]]) -> list[list[float]]:
    """Return the rows of all cases, each measured by a process of its own."""
    command = [sys.executable, "-W", "ignore", "-m", "benchmarks.fleet_cost", "--case"]
    processes = [
        subprocess.Popen([*command, *case], cwd=ROOT, stdout=subprocess.PIPE, text=True)
        for case in cases
    ]
    outputs = [process.communicate()[0] for process in processes]
    return [[float(word) for word in output.split()] for output in outputs]


def main() -> None:
    """Run the measurements and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folders", nargs="*", type=pathlib.Path, default=[ROOT])
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 20, 40])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--case", nargs=2, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.case:
        measure_case(*options.case)
        return
    for size in options.sizes:
        cases = [(str(folder.resolve()), str(size)) for folder in options.folders]
        rounds = [measure_together(cases) for _ in range(options.rounds)]
        load = os.getloadavg()[0]
        for (folder, _), rows in zip(cases, zip(*rounds, strict=True), strict=True):
            medians = map(statistics.median, zip(*rows, strict=True))
            cells = (f"{name} {value:.2f}" for name, value in zip(COLUMNS, medians, strict=True))
            print(f"{size} instances, {folder}, load {load:.1f}:", *cells, sep="  ", flush=True)


if __name__ == "__main__":
    main()
