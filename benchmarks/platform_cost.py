"""Measure the CPU time of an instance on the platform: idle, per server, per job and per task.

Runs a real process against the adapter's fake platform on loopback.  Usage: ``python -m
benchmarks.platform_cost``; prints the CPU time of the instance.
"""

import os
import pathlib
import sys
import time

import eventlet

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import fake_platform, process_test  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402

IDLE_PERIOD_S = 5.0
JOBS = 150
JOBS_PER_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def wait_until_ready(instance: process_test.InstanceProcess) -> None:
    """Block until an instance is ready."""
    while True:
        try:
            if process_test.send_request(instance.addresses[1], "GET", "/")[0] == 200:
                return
        except OSError:
            pass  # not listening yet
        eventlet.sleep(0.05)


def measure_idle_share(servers: int) -> float:
    """Return the share of a core that an idle owner of that many servers uses."""
    _, instance = start(servers)
    cpu_before_s = read_cpu_s(instance.process.pid)
    eventlet.sleep(IDLE_PERIOD_S)
    cpu_used_s = read_cpu_s(instance.process.pid) - cpu_before_s
    instance.clean_up()
    return cpu_used_s / IDLE_PERIOD_S


def measure_job_cost_s(tasks: int) -> float:
    """Return the CPU seconds of a job with that many tasks, minus the idle cost."""
    platform, instance = start(8)
    cpu_before_s, started = read_cpu_s(instance.process.pid), time.monotonic()
    eventlet.sleep(IDLE_PERIOD_S)
    idle_share_of_core = (read_cpu_s(instance.process.pid) - cpu_before_s) / (
        time.monotonic() - started
    )
    cpu_before_s, started = read_cpu_s(instance.process.pid), time.monotonic()
    pool = eventlet.GreenPool()
    for number in range(JOBS):
        pool.spawn_n(submit, platform, instance, f"{number:016x}", tasks)
        eventlet.sleep(1 / JOBS_PER_S)
    pool.waitall()
    cpu_used_s = (
        read_cpu_s(instance.process.pid)
        - cpu_before_s
        - idle_share_of_core * (time.monotonic() - started)
    )
    instance.clean_up()
    return cpu_used_s / JOBS


def submit(platform, instance, job_id: str, tasks: int) -> None:
    """Submit a job and wait for its answer."""
    platform.backend.durations[job_id] = 0.05
    process_test.send_request(
        instance.addresses[0], "POST", f"/tags/{job_id}", process_test.job_body(tasks)
    )


def start(servers: int) -> tuple[fake_platform.FakePlatform, process_test.InstanceProcess]:
    """Start a platform with that many servers and an instance that owns their pool."""
    platform = fake_platform.FakePlatform(eventlet_runtime.GreenRuntime())
    for number in range(servers):
        platform.add_server(f"i-{number}", "a", "weighing")
    platform.configure(3, [process_test.ROUTE])
    instance = process_test.InstanceProcess("e-1", platform.store_address)
    wait_until_ready(instance)
    return platform, instance


def main() -> None:
    """Run the measurements and print the results."""
    idle_2, idle_18 = measure_idle_share(2), measure_idle_share(18)
    per_server = (idle_18 - idle_2) / 16
    print(
        f"idle: {100 * (idle_2 - 2 * per_server):.2f}% of a core "
        f"and {100 * per_server:.3f}% for each server"
    )
    single_task_s, nine_tasks_s = measure_job_cost_s(1), measure_job_cost_s(9)
    task_s = (nine_tasks_s - single_task_s) / 8
    print(f"job: {1000 * (single_task_s - task_s):.2f} ms and {1000 * task_s:.2f} ms for each task")


if __name__ == "__main__":
    main()
