"""Measure how long callers wait for the acknowledgement of a cancellation, and what it writes.

Runs six real processes against the adapter's fake platform on loopback.  Usage: ``python -m
benchmarks.cancellation_cost``.
"""

import pathlib
import statistics
import sys
import time

import eventlet

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from adapter import fake_platform, process_test  # noqa: E402
from benchmarks import platform_cost  # noqa: E402
from rosedyke.daemon import eventlet_runtime  # noqa: E402

INSTANCES, SERVERS = 6, 12
SINGLE, TOGETHER = 20, 200
TASK_S = 0.5
MS_PER_S = 1000


def cancel(instance: process_test.InstanceProcess, job_id: str) -> tuple[int, float]:
    """Cancel a job; return the status and the seconds until it was answered."""
    began_at = time.monotonic()
    status = process_test.send_request(instance.addresses[0], "DELETE", f"/tags/{job_id}")[0]
    return status, time.monotonic() - began_at


def submit(platform, instance, job_id: str) -> None:
    """Submit a job that goes on for longer than the benchmark, and wait for its answer."""
    platform.backend.durations[job_id] = TASK_S
    process_test.send_request(
        instance.addresses[0], "POST", f"/tags/{job_id}", process_test.job_body(40)
    )


def measure(platform, instances, first: int, count: int, pause_s: float) -> str:
    """Cancel jobs with a pause between two; describe the answers and the write calls."""
    job_ids = [f"{first + number:016x}" for number in range(count)]
    for number, job_id in enumerate(job_ids):
        eventlet.spawn(submit, platform, instances[number % INSTANCES], job_id)
    eventlet.sleep(1.0)
    writes = platform.store.write_count
    pile = eventlet.GreenPile(count)
    for number, job_id in enumerate(job_ids):
        pile.spawn(cancel, instances[number % INSTANCES], job_id)
        eventlet.sleep(pause_s)
    answers = list(pile)
    answered_at = time.monotonic()
    eventlet.sleep(1.0)
    late = sum(time_s > answered_at for time_s, _, _ in platform.backend.starts)
    times_ms = [MS_PER_S * seconds for _, seconds in answers]
    statuses = {status: [s for s, _ in answers].count(status) for status, _ in answers}
    return (
        f"{count} cancellations: median {statistics.median(times_ms):.1f} ms,"
        f" at most {max(times_ms):.1f} ms; statuses {statuses};"
        f" {platform.store.write_count - writes} write calls; {late} starts after the last answer"
    )


def main() -> None:
    """Run the measurements and print the results."""
    platform = fake_platform.FakePlatform(eventlet_runtime.GreenRuntime())
    for number in range(SERVERS):
        platform.add_server(f"i-{number}", "a", "weighing")
    platform.configure(3, [process_test.ROUTE])
    instances = [
        process_test.InstanceProcess(f"e-{number}", platform.store_address)
        for number in range(INSTANCES)
    ]
    try:
        for instance in instances:
            platform_cost.wait_until_ready(instance)
        eventlet.sleep(1.0)
        print("one by one,", measure(platform, instances, 0, SINGLE, 0.1))
        print("at once,", measure(platform, instances, SINGLE, TOGETHER, 0.0))
    finally:
        for instance in instances:
            instance.clean_up()


if __name__ == "__main__":
    main()
