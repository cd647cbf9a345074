"""Measures the processor time of the scheduler for each waiting task, at 200 waiting jobs.

.venv/bin/python -m benchmarks.decision_cost
"""

import statistics
import time

import attrs

from benchmarks import kind_scheduling, simulated_pool
from rosedyke.observe import event
from rosedyke.rerunnable_jobs import job, messages, owned_job, server_state, settings
from rosedyke.scheduling import shares

JOBS, PASSES, QUEUES = 200, 50, 6
OFF = settings.RerunSettings()
ON = settings.RerunSettings(schedules_by_kind=True)
# Every queue has a weight and a limit.  Its running tasks exceed the lower limit, and it reaches
# the higher one in the order of the waiting jobs.
LIMITS = {
    limit: attrs.evolve(
        ON,
        queue_shares={
            f"q{number}": shares.QueueShare(1.0 + number, limit) for number in range(QUEUES)
        },
    )
    for limit in (0.05, 0.3)
}


def full_pool(timing, free_slots):
    """Return a pool with 200 waiting jobs of three kinds, in six queues, and few free slots."""
    region = kind_scheduling.Region(1, timing, 2)
    pool = region.pools["p0"]
    region.time_s, region.start = 10.0, lambda *arguments: None
    jobs = []
    for number in range(JOBS + 60):
        priority = number % 3
        width, estimate_s, _ = kind_scheduling.KINDS[priority]
        steps = (job.Step(width, simulated_pool.TASK, estimate_s),)
        queue = f"q{number % QUEUES}"
        work = job.Job(f"j{number}", queue, "s", "", steps, priority, 3, 1.0 + estimate_s, 10.0)
        names = tuple(name for name, _ in work.named_steps())
        message = messages.Submit(
            pool.name, 1, 0.0, work, kind_scheduling.HOLDER, 0.0, names, False, False
        )
        owned = owned_job.OwnedJob.from_message(message, region.time_s)
        owned.heard_at = float("inf")
        jobs.append(owned)
    for owned in jobs[:JOBS]:
        pool.jobs[owned.key] = owned
    slots = [
        state
        for state in pool.server_states.values()
        for _ in range(state.server.capacity.millicores // simulated_pool.TASK.millicores)
    ]
    for state, owned in zip(slots[free_slots:], jobs[JOBS:], strict=False):
        started = server_state.RunState.STARTED
        demand, estimate_s = simulated_pool.TASK, owned.work.steps[0].estimate_s
        run = server_state.Run(owned.work.id, 1, demand, started, 9.99, estimate_s, owned=owned)
        state.runs[run.key] = run
    return pool


def cost_us(timing, free_slots):
    """Return the median time of a pass for each waiting task, in microseconds."""
    costs = []
    for _ in range(PASSES):
        pool = full_pool(timing, free_slots)
        tasks = sum(len(owned.tasks) for owned in pool.jobs.values())
        started_at = time.process_time()
        pool.task_scheduler.place_all()
        costs.append((time.process_time() - started_at) / tasks * 1e6)
    return statistics.median(costs)


def main():
    """Print the cost with the decisions off and on, and with shares."""
    event.log = lambda *arguments, **fields: None
    print("free slots  off  on  limits of 0.05  of 0.3  (microseconds for each waiting task)")
    for free_slots in (0, 2, 10):
        costs = (cost_us(timing, free_slots) for timing in (OFF, ON, *LIMITS.values()))
        print(f"{free_slots}  {'  '.join(f'{cost:.1f}' for cost in costs)}")


if __name__ == "__main__":
    main()
