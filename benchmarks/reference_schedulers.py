"""Reference schedulers to compare the dispatcher with: an ideal schedule and simple baselines.

Each takes the arrivals and the servers' speeds and returns the response time of each job, with
no network delay and no processing cost.
"""

import heapq
import random

from benchmarks import arrivals


def central_greedy(jobs: list[arrivals.Arrival], speeds: list[float], slots: int) -> list[float]:
    """Return response times of a central scheduler that knows every speed and run time.

    Jobs are first come, first served; the tasks of a job are placed longest first, each on the
    slot with the earliest completion time.
    """
    free_at = [[0.0] * slots for _ in speeds]
    responses = []
    for job in jobs:
        job_end = job.due_s
        for run_s in sorted(job.run_s, reverse=True):
            ends = [
                max(job.due_s, slot_free_at[0]) + run_s / speed
                for slot_free_at, speed in zip(free_at, speeds, strict=True)
            ]
            end = min(ends)
            heapq.heapreplace(free_at[ends.index(end)], end)
            job_end = max(job_end, end)
        responses.append(job_end - job.due_s)
    return responses


def pick_random(outstanding: list[int], rng: random.Random, task_index: int) -> int:
    """Choose a server at random."""
    return rng.randrange(len(outstanding))


def pick_round_robin(outstanding: list[int], rng: random.Random, task_index: int) -> int:
    """Choose servers in rotation."""
    return task_index % len(outstanding)


def pick_least_outstanding(outstanding: list[int], rng: random.Random, task_index: int) -> int:
    """Choose the server with the fewest outstanding tasks; break ties at random."""
    fewest = min(outstanding)
    return rng.choice([index for index, count in enumerate(outstanding) if count == fewest])


BASELINES = {
    "random": pick_random,
    "round-robin": pick_round_robin,
    "least-outstanding": pick_least_outstanding,
}


def simulate_queues(
    jobs: list[arrivals.Arrival], speeds: list[float], slots: int, pick, seed: int
) -> list[float]:
    """Return response times when ``pick`` assigns each task to a server queue on arrival."""
    rng = random.Random(seed)
    free_at = [[0.0] * slots for _ in speeds]
    outstanding = [0] * len(speeds)
    running_tasks: list[tuple[float, int]] = []
    responses = []
    task_index = 0
    for job in jobs:
        while running_tasks and running_tasks[0][0] <= job.due_s:
            outstanding[heapq.heappop(running_tasks)[1]] -= 1
        job_end = job.due_s
        for run_s in job.run_s:
            server = pick(outstanding, rng, task_index)
            task_index += 1
            start = max(job.due_s, free_at[server][0])
            end = start + run_s / speeds[server]
            heapq.heapreplace(free_at[server], end)
            heapq.heappush(running_tasks, (end, server))
            outstanding[server] += 1
            job_end = max(job_end, end)
        responses.append(job_end - job.due_s)
    return responses


def simulate_even_split(
    jobs: list[arrivals.Arrival], speeds: list[float], slots: int, instances: int
) -> list[float]:
    """Return response times when each instance owns an equal part of every server's slots.

    Each instance schedules its jobs with ``central_greedy`` on its part.
    """
    responses = [0.0] * len(jobs)
    for instance in range(instances):
        job_indexes = range(instance, len(jobs), instances)
        slots_each = max(1, slots // instances)
        instance_responses = central_greedy(
            [jobs[index] for index in job_indexes], speeds, slots_each
        )
        for index, response in zip(job_indexes, instance_responses, strict=True):
            responses[index] = response
    return responses


MEAN_RETRY_DELAY_S = 0.01


class Optimistic:
    """Uncoordinated instances with optimistic placement; a full server refuses the task.

    Each instance knows every speed, its own running tasks and the refusals that it received, and
    picks the fastest server that seems to have a free slot.

    Parameters
    ----------
    speeds : list of float
        Speed of each server.
    slots : int
        Slots of each server.
    instances : int
        Number of entry instances; jobs go to them in rotation.
    seed : int
        Seed of the random retry delays.
    """

    def __init__(self, speeds: list[float], slots: int, instances: int, seed: int):
        self.speeds = speeds
        self.slots = slots
        self.rng = random.Random(seed)
        self.running: list[list[float]] = [[] for _ in speeds]
        self.own_tasks = [[[] for _ in speeds] for _ in range(instances)]
        self.refused_until = [[0.0] * len(speeds) for _ in range(instances)]
        self.refusals = 0

    def simulate(self, jobs: list[arrivals.Arrival]) -> list[float]:
        """Return the response time of each job."""
        ends = [job.due_s for job in jobs]
        pending = [
            (job.due_s, job_index, task_rank, run_s)
            for job_index, job in enumerate(jobs)
            for task_rank, run_s in enumerate(sorted(job.run_s, reverse=True))
        ]
        heapq.heapify(pending)
        while pending:
            now, job_index, task_rank, run_s = heapq.heappop(pending)
            task_end = self._try_to_send(now, job_index % len(self.own_tasks), run_s)
            if task_end is None:
                retry_at = now + 2 * MEAN_RETRY_DELAY_S * self.rng.random()
                heapq.heappush(pending, (retry_at, job_index, task_rank, run_s))
            else:
                ends[job_index] = max(ends[job_index], task_end)
        return [job_end - job.due_s for job_end, job in zip(ends, jobs, strict=True)]

    def _try_to_send(self, now, instance, run_s):
        """Return the end time of the task; None if it was refused or no server seems free."""
        instance_tasks = self.own_tasks[instance]
        for end_times in (*self.running, *instance_tasks):
            while end_times and end_times[0] <= now:
                heapq.heappop(end_times)
        seems_free = [
            server
            for server in range(len(self.speeds))
            if len(instance_tasks[server]) < self.slots
            and self.refused_until[instance][server] <= now
        ]
        if not seems_free:
            return None
        server = max(seems_free, key=lambda candidate: self.speeds[candidate])
        if len(self.running[server]) >= self.slots:
            self.refusals += 1
            self.refused_until[instance][server] = now + 2 * MEAN_RETRY_DELAY_S * self.rng.random()
            return None
        end = now + run_s / self.speeds[server]
        heapq.heappush(self.running[server], end)
        heapq.heappush(instance_tasks[server], end)
        return end
