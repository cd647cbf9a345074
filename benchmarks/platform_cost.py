"""What one instance on the platform costs: idle with a pool of servers, and for each job and task.

Runs a real process against the adapter's fake platform on loopback.  Usage: ``python -m
benchmarks.platform_cost``; prints one line for each figure, as processor time of the instance.
"""

import os
import pathlib
import signal
import sys
import time

import eventlet

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import fake_platform, process_test  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402

IDLE_S = 5.0
JOBS = 150
JOBS_PER_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def wait_until_ready(instance: process_test.InstanceProcess) -> None:
    """Block until an instance takes jobs."""
    while True:
        try:
            if process_test.send_request(instance.ports[1], "GET", "/")[0] == 200:
                return
        except OSError:
            pass  # it doesn't listen yet
        eventlet.sleep(0.05)


def idle_share(servers: int) -> float:
    """Return the share of a core that an owner of so many servers uses without any job."""
    _, instance = start(servers)
    before = cpu_s(instance.process.pid)
    eventlet.sleep(IDLE_S)
    used = cpu_s(instance.process.pid) - before
    end(instance)
    return used / IDLE_S


def job_cost_s(tasks: int) -> float:
    """Return the processor seconds of a job with so many tasks, the idle cost taken off."""
    platform, instance = start(8)
    before, began = cpu_s(instance.process.pid), time.monotonic()
    eventlet.sleep(IDLE_S)
    idle = (cpu_s(instance.process.pid) - before) / (time.monotonic() - began)
    before, began = cpu_s(instance.process.pid), time.monotonic()
    pool = eventlet.GreenPool()
    for number in range(JOBS):
        pool.spawn_n(submit, platform, instance, f"{number:016x}", tasks)
        eventlet.sleep(1 / JOBS_PER_S)
    pool.waitall()
    used = cpu_s(instance.process.pid) - before - idle * (time.monotonic() - began)
    end(instance)
    return used / JOBS


def submit(platform, instance, job_id: str, tasks: int) -> None:
    """Send one job and wait for its end."""
    platform.backend.durations[job_id] = 0.05
    process_test.send_request(
        instance.ports[0], "POST", f"/tags/{job_id}", process_test.job_body(tasks)
    )


def start(servers: int) -> tuple[fake_platform.FakePlatform, process_test.InstanceProcess]:
    """Start a platform with so many servers and an instance that owns them."""
    platform = fake_platform.FakePlatform(eventlet_runtime.GreenRuntime())
    for number in range(servers):
        platform.add_server(f"i-{number}", "a", "weighing")
    platform.configure(3, [process_test.ROUTE])
    instance = process_test.InstanceProcess("e-1", platform.store_address)
    wait_until_ready(instance)
    return platform, instance


def end(instance: process_test.InstanceProcess) -> None:
    """Stop an instance."""
    os.kill(instance.process.pid, signal.SIGTERM)
    instance.wait()
    instance.clean_up()


def main() -> None:
    """Measure and print."""
    few, many = idle_share(2), idle_share(18)
    slope = (many - few) / 16
    print(f"idle: {100 * (few - 2 * slope):.2f}% of a core and {100 * slope:.3f}% for each server")
    one, nine = job_cost_s(1), job_cost_s(9)
    slope_s = (nine - one) / 8
    print(f"job: {1000 * (one - slope_s):.2f} ms and {1000 * slope_s:.2f} ms for each task")


if __name__ == "__main__":
    main()
