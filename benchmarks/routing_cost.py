"""Measures the processor time of choosing the pools of a job, with and without the balance.

Of the pools of a data centre so little is free that jobs with slack use other data centres, which
is the most expensive case.

    .venv/bin/python -m benchmarks.routing_cost
"""

import statistics
import time

from rosedyke.rerunnable_jobs import job, messages, routing

TASK = job.Demand(14_000)
SERVERS, TASKS = 17, 3
PASSES, REPEATS = 9, 2000


def build_views(pools: int) -> list[routing.PoolView]:
    """Return a third of the pools as local ones that are nearly full, and the others half free."""
    views = []
    for number in range(pools):
        is_local = number % 3 == 0
        rooms = [(28_000 * (index < (2 if is_local else 9)), 1.0) for index in range(SERVERS)]
        report = messages.PoolReport(
            f"p{number}", 1, 0.0, messages.group_rooms(rooms), SERVERS * 28_000, {}, None
        )
        views.append(routing.PoolView(report.pool, report, 14_000, is_local))
    return views


def cost_us(pools: int, is_on: bool) -> float:
    """Return the median time of a decision for each task, in microseconds."""
    views = build_views(pools)
    steps = (job.Step(TASKS, TASK, 0.2),)
    work = job.Job("j", "q", "s", "", steps, 0, 3, 0.38, 1.5)
    choose = routing.split_by_slack if is_on else routing.split
    costs = []
    for _ in range(PASSES):
        started_at = time.process_time()
        for number in range(REPEATS):
            choose(work, TASKS, views, number / REPEATS)
        costs.append((time.process_time() - started_at) / REPEATS / TASKS * 1e6)
    return statistics.median(costs)


def main():
    """Print the cost by number of pools, with the balance off and on."""
    print("pools  off  on  (microseconds for each task of a job of three tasks)")
    for pools in (3, 6, 12, 24):
        print(f"{pools}  {cost_us(pools, False):.1f}  {cost_us(pools, True):.1f}")


if __name__ == "__main__":
    main()
