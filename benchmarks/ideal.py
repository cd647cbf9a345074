"""What the dispatcher is compared with: the ideal schedule and simple baselines.

Each takes the arrivals and the servers' speeds and returns each job's response time.  They are
played without a network: no message costs anything and every decision is instant.
"""

import heapq
import random

from benchmarks import arrivals


def central_greedy(jobs: list[arrivals.Arrival], speeds: list[float], slots: int) -> list[float]:
    """Return responses of a schedule that knows every speed and run time.

    First come, first served; within a job the longest task first, each on the slot that finishes
    it first.
    """
    free_at = [[0.0] * slots for _ in speeds]
    responses = []
    for job in jobs:
        last = job.due_s
        for run_s in sorted(job.run_s, reverse=True):
            ends = [
                max(job.due_s, free[0]) + run_s / speed
                for free, speed in zip(free_at, speeds, strict=True)
            ]
            end = min(ends)
            heapq.heapreplace(free_at[ends.index(end)], end)
            last = max(last, end)
        responses.append(last - job.due_s)
    return responses


def pick_random(outstanding: list[int], source: random.Random, number: int) -> int:
    """Choose any server."""
    return source.randrange(len(outstanding))


def pick_round_robin(outstanding: list[int], source: random.Random, number: int) -> int:
    """Choose each server in turn."""
    return number % len(outstanding)


def pick_least_outstanding(outstanding: list[int], source: random.Random, number: int) -> int:
    """Choose the server with the fewest tasks, at random among equals."""
    fewest = min(outstanding)
    return source.choice([index for index, count in enumerate(outstanding) if count == fewest])


BASELINES = {
    "random": pick_random,
    "round-robin": pick_round_robin,
    "least-outstanding": pick_least_outstanding,
}


def baseline(
    jobs: list[arrivals.Arrival], speeds: list[float], slots: int, pick, seed: int
) -> list[float]:
    """Return responses when each task is queued at once on the server that ``pick`` names."""
    source = random.Random(seed)
    free_at = [[0.0] * slots for _ in speeds]
    outstanding = [0] * len(speeds)
    ending: list[tuple[float, int]] = []
    responses = []
    number = 0
    for job in jobs:
        while ending and ending[0][0] <= job.due_s:
            outstanding[heapq.heappop(ending)[1]] -= 1
        last = job.due_s
        for run_s in job.run_s:
            chosen = pick(outstanding, source, number)
            number += 1
            start = max(job.due_s, free_at[chosen][0])
            end = start + run_s / speeds[chosen]
            heapq.heapreplace(free_at[chosen], end)
            heapq.heappush(ending, (end, chosen))
            outstanding[chosen] += 1
            last = max(last, end)
        responses.append(last - job.due_s)
    return responses
