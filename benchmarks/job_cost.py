"""Measures the processor time of a job on the pool's owner and on the job's holder.

Two instances run as real processes against the adapter's fake platform on loopback.  All jobs, of
2 to 8 tasks, go to the instance that does not own the pool, which is about a third used.  The
processor time of idle instances is subtracted.

    .venv/bin/python -W ignore -m benchmarks.job_cost [--rounds N] [--switches on] [FOLDER ...]

Each folder is a working copy whose code the instances run, by default this one.  All folders, with
the switches off and on, are measured at the same time, so that other load affects them alike.
"""

import argparse
import http.client
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys

import eventlet

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import fake_platform, process_test, settings  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402

SERVERS = 16
WARM_UP_JOBS, JOBS, JOBS_PER_S = 50, 400, 40.0
IDLE_PERIOD_S = 3.0
RUN_TIME_S = 0.1
# Limited, so that the account of the link is kept, but far from being the bottleneck.
LIMITS = "[limits]\nlinkMbps = 200.0\n"


def read_cpu_s(pid: int) -> float:
    """Return the processor time of all threads of a process in seconds."""
    return sum(
        int((task / "schedstat").read_text().split()[0]) / 1e9
        for task in pathlib.Path(f"/proc/{pid}/task").iterdir()
    )


class Pair:
    """Two instances that run the code of a folder, and their platform."""

    def __init__(self, folder: pathlib.Path, is_on: bool):
        self.platform = fake_platform.FakePlatform(eventlet_runtime.GreenRuntime())
        for number in range(SERVERS):
            self.platform.add_server(f"i-{number}", "a", "weighing")
        self.platform.configure(3, [process_test.ROUTE])
        process_test.ROOT = folder
        os.environ.update(dict.fromkeys(settings.SWITCHES.values(), "on" if is_on else "off"))
        self.instances = [
            process_test.InstanceProcess(name, self.platform.store_address, None, LIMITS)
            for name in ("e-1", "e-2")
        ]
        self.callers: list[http.client.HTTPConnection] = []

    def owner_and_holder(self) -> list[process_test.InstanceProcess]:
        """Wait until both instances are ready, and return the pool's owner first."""
        with eventlet.Timeout(30):
            while not all(_is_ready(instance) for instance in self.instances):
                eventlet.sleep(0.05)
        eventlet.sleep(1.0)
        return sorted(self.instances, key=_owned_pools, reverse=True)

    def submit(self, address: str, number: int) -> None:
        """Submit a job on an open connection and check its answer."""
        job_id = f"{number:016x}"
        self.platform.backend.durations[job_id] = RUN_TIME_S
        caller = self.callers.pop() if self.callers else http.client.HTTPConnection(address)
        headers = {"Host": "scales.example", "X-Rosedyke-Timeout-Ms": "5000"}
        caller.request("POST", f"/tags/{job_id}", process_test.job_body(2 + number % 7), headers)
        response = caller.getresponse()
        if json.loads(response.read()) != {"state": "succeeded"}:
            raise SystemExit(f"job {job_id} was answered with status {response.status}")
        self.callers.append(caller)

    def run_jobs(self, address: str, first: int, count: int) -> None:
        """Submit jobs at a constant rate and wait for their answers."""
        threads = []
        for number in range(first, first + count):
            threads.append(eventlet.spawn(self.submit, address, number))
            eventlet.sleep(1 / JOBS_PER_S)
        for thread in threads:
            thread.wait()

    def measure_ms(self) -> list[float]:
        """Return the processor time of a job on the owner and on the holder."""
        pair = self.owner_and_holder()
        address = pair[1].addresses[0]
        self.run_jobs(address, 0, WARM_UP_JOBS)
        readings = [_readings(pair)]
        eventlet.sleep(IDLE_PERIOD_S)
        readings.append(_readings(pair))
        self.run_jobs(address, WARM_UP_JOBS, JOBS)
        readings.append(_readings(pair))
        idle_s = JOBS / JOBS_PER_S + RUN_TIME_S
        return [
            1000 * (after - before - (before - start) * idle_s / IDLE_PERIOD_S) / JOBS
            for start, before, after in zip(*readings, strict=True)
        ]

    def close(self) -> None:
        """Stop the instances and remove their files."""
        for instance in self.instances:
            instance.process.send_signal(signal.SIGKILL)
            instance.clean_up()


def _readings(instances):
    return [read_cpu_s(instance.process.pid) for instance in instances]


def _is_ready(instance):
    try:
        return process_test.send_request(instance.addresses[1], "GET", "/")[0] == 200
    except OSError:
        return False


def _owned_pools(instance):
    lines = (
        process_test.send_request(instance.addresses[4], "GET", "/metrics")[2].decode().splitlines()
    )
    return next(float(line.split()[1]) for line in lines if line.startswith("rosedyke_rerun_pools"))


def measure(folder: str, switches: str) -> None:
    """Measure one case and print the processor times."""
    pair = Pair(pathlib.Path(folder), switches == "on")
    try:
        print(*pair.measure_ms())
    finally:
        pair.close()


def measure_together(cases: list[tuple[str, str]]) -> list[list[float]]:
    """Return the processor times of all cases, each measured by a process of its own."""
    command = [sys.executable, "-W", "ignore", "-m", "benchmarks.job_cost", "--case"]
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
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--switches", choices=("off", "on"))
    parser.add_argument("--case", nargs=2, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.case:
        measure(*options.case)
        return
    switches = [options.switches] if options.switches else ["off", "on"]
    cases = [(str(folder.resolve()), value) for folder in options.folders for value in switches]
    rounds = [measure_together(cases) for _ in range(options.rounds)]
    print(f"milliseconds for each job, medians of {options.rounds}; load {os.getloadavg()[0]:.1f}")
    for (folder, value), measured in zip(cases, zip(*rounds, strict=True), strict=True):
        owner_ms, holder_ms = map(statistics.median, zip(*measured, strict=True))
        print(f"{folder}, switches {value}: owner {owner_ms:.3f}, holder {holder_ms:.3f}")


if __name__ == "__main__":
    main()
