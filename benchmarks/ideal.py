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


def even_split(
    jobs: list[arrivals.Arrival], speeds: list[float], slots: int, instances: int
) -> list[float]:
    """Return responses when each instance owns an equal part of every server's slots.

    Each schedules its own jobs as well as anyone could: it knows every speed and run time.
    """
    responses = [0.0] * len(jobs)
    for instance in range(instances):
        own = range(instance, len(jobs), instances)
        share = max(1, slots // instances)
        found = central_greedy([jobs[number] for number in own], speeds, share)
        for number, response in zip(own, found, strict=True):
            responses[number] = response
    return responses


RETRY_S = 0.01  # mean wait of an instance after a server refused


class Optimistic:
    """Instances that send without asking each other; a full server refuses.

    Each knows every speed, its own running tasks and the refusals it got, and puts a task where it
    would end first by that.

    Parameters
    ----------
    speeds : list of float
        Of the servers.
    slots : int
        Of each.
    instances : int
        Entry instances that take the jobs in turn.
    seed : int
        Of the waits after refusals.
    """

    def __init__(self, speeds: list[float], slots: int, instances: int, seed: int):
        self.speeds = speeds
        self.slots = slots
        self.source = random.Random(seed)
        self.running: list[list[float]] = [[] for _ in speeds]
        self.own = [[[] for _ in speeds] for _ in range(instances)]
        self.refused_until = [[0.0] * len(speeds) for _ in range(instances)]
        self.refusals = 0

    def play(self, jobs: list[arrivals.Arrival]) -> list[float]:
        """Return each job's response."""
        ends = [job.due_s for job in jobs]
        waiting = [
            (job.due_s, number, place, run_s)
            for number, job in enumerate(jobs)
            for place, run_s in enumerate(sorted(job.run_s, reverse=True))
        ]
        heapq.heapify(waiting)
        while waiting:
            now, number, place, run_s = heapq.heappop(waiting)
            end = self._send(now, number % len(self.own), run_s)
            if end is None:
                later = now + 2 * RETRY_S * self.source.random()
                heapq.heappush(waiting, (later, number, place, run_s))
            else:
                ends[number] = max(ends[number], end)
        return [end - job.due_s for end, job in zip(ends, jobs, strict=True)]

    def _send(self, now, instance, run_s):
        """Return when the task ends, None if it was refused or no server seems free."""
        own = self.own[instance]
        for ends in (*self.running, *own):
            while ends and ends[0] <= now:
                heapq.heappop(ends)
        seems_free = [
            server
            for server in range(len(self.speeds))
            if len(own[server]) < self.slots and self.refused_until[instance][server] <= now
        ]
        if not seems_free:
            return None
        server = max(seems_free, key=lambda one: self.speeds[one])
        if len(self.running[server]) >= self.slots:
            self.refusals += 1
            self.refused_until[instance][server] = now + 2 * RETRY_S * self.source.random()
            return None
        end = now + run_s / self.speeds[server]
        heapq.heappush(self.running[server], end)
        heapq.heappush(own[server], end)
        return end
