"""Measure what the check of a pool's waiting jobs costs per task.

    .venv/bin/python -W ignore benchmarks/admission_cost.py

200 jobs of four tasks wait in a full pool of 20 servers with four cores each.  One check converts
the owner's state, orders the queue and predicts the completion of every waiting job.
"""

import pathlib
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from rosedyke.overload import door  # noqa: E402
from rosedyke.rerunnable_jobs import job, messages, settings  # noqa: E402
from rosedyke.standins import rerun_region  # noqa: E402

SERVERS = 20
WAITING_JOBS = 200
TASKS_PER_JOB = 4
REPEATS = 200
STARTUP_S = 1.5
BOUND_US = 20.0


def full_pool():
    """Return the owner of a full pool with the waiting jobs."""
    timing = settings.RerunSettings(predicts_completion=True)
    region = rerun_region.Region({"a": 1}, SERVERS, timing=timing)
    region.run(STARTUP_S)
    region.submit("a-1", "full", 4 * SERVERS, 30.0, timeout_s=100)
    region.run(0.05)
    member = region.members["a-1"]
    owner = member.node.owned_pools["a/r1"]
    now = region.runtime.now()
    for number in range(WAITING_JOBS):
        # A fifth can no longer meet their objective.
        step = job.Step(TASKS_PER_JOB, job.Demand(1000, 64), 0.1 + number / 1000)
        objective_s = 0.05 if number % 5 == 0 else 40.0 + number
        work = job.Job(
            f"j{number}", "q", rerun_region.SERVICE, "", (step,), number % 3, 2, objective_s, 100.0
        )
        names = tuple(name for name, _ in work.named_steps())
        owner.requests.submit(
            messages.Submit("a/r1", number + 10, now, work, member.own, 0.0, names, False, False)
        )
    return owner, now


def measure_us(function) -> float:
    """Return the median time of one call in microseconds."""
    times = []
    for _ in range(REPEATS):
        started_at = time.perf_counter()
        function()
        times.append(time.perf_counter() - started_at)
    return 1e6 * statistics.median(times)


def main() -> int:
    """Print the cost; the exit code is 1 if it exceeds the bound."""
    owner, now = full_pool()
    refusals = owner.refusals
    check_us = measure_us(
        lambda: refusals.to_refuse(refusals.waiting_jobs(now), rerun_region.SERVICE, now)
    )
    tasks = sum(len(owned.waiting_tasks()) for owned in refusals.waiting_jobs(now))
    refused = len(refusals.to_refuse(refusals.waiting_jobs(now), rerun_region.SERVICE, now))
    print(f"{WAITING_JOBS} waiting jobs, {tasks} tasks, {refused} jobs to refuse")
    print(f"one check: {check_us:.0f} us, {check_us / tasks:.2f} us per task (bound {BOUND_US})")
    entry = door.Door(lambda at: 0.0, 1 << 20)
    door_us = measure_us(lambda: entry.refusal_reason(0, 20, 0, 1200, now))
    print(f"decision before a body is read: {door_us:.2f} us per job")
    return 0 if check_us / tasks <= BOUND_US else 1


if __name__ == "__main__":
    sys.exit(main())
