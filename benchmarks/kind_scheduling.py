"""Compares the worth of answers with and without scheduling by kind, while pools are overloaded.

Replays the load "Head-of-line blocking by long tasks" of docs/design/overload.md as discrete
events.  The scheduler, the release of tasks and the capacity offers are those of the product;
messages take a fixed time, commands never fail, and processing costs nothing.  The methods of
``Region`` are events, or those of the collaborators of ``PoolOwner``.

    .venv/bin/python -m benchmarks.kind_scheduling [--seeds 3] [--load 1.0] [--pools 10]
"""

# ruff: noqa: D102

import argparse
import bisect
import collections
import heapq
import itertools
import random

import attrs

from benchmarks import simulated_pool
from rosedyke.observe import event
from rosedyke.rerunnable_jobs import job, messages, owned_job, refusals, settings

POOLS = 10
# Priority: width of a job, median estimate of a task in seconds, jobs a second.
KINDS = {0: (8, 0.06, 103), 1: (2, 0.2, 300), 2: (4, 0.9, 18.8)}
RUN_TIME_SPREAD = 0.4
# Estimates are off by up to 40% around their median.
ESTIMATE_ERROR = 0.4
# End of each phase in seconds, and its factors of the rates by priority.
PHASES = ((2, (1, 1, 1)), (10, (1.8, 1.8, 1.8)), (16, (1, 1, 3)), (17, (1, 1, 1)))
OVERHEAD_S, REPORT_S, CHECK_S = 0.06, 0.1, 0.05
HOLDER = messages.Instance("a-1", "10.0.0.1:7000", "a")


@attrs.define
class Caller:
    """A job as its caller sees it."""

    work: job.Job
    arrived_at: float
    run_s: float
    remaining: int
    ended_at: float | None = None
    is_over: bool = False

    def worth(self) -> float:
        """Return 1 within the objective, 0.2 up to three times it, otherwise 0."""
        response_s = float("inf") if self.ended_at is None else self.ended_at - self.arrived_at
        share = response_s / self.work.objective_s
        return 1.0 if share <= 1 else 0.2 if share <= 3 else 0.0


class Region:
    """All pools, their callers and the clock."""

    def __init__(self, seed, timing, pools=POOLS, load=1.0):
        self.rng = random.Random(seed)
        self.time_s, self.queue, self.numbers = 0.0, [], itertools.count()
        self.callers = {}
        self.load = load * pools / POOLS
        self.pools = {
            f"p{number}": simulated_pool.Pool(self, number, timing) for number in range(pools)
        }

    def now(self):
        return self.time_s

    def spawn(self, function, *arguments):
        if function == self.start:
            function(*arguments)

    spawn_service = spawn

    def start(self, owned, state, run):
        pool = self.pools[state.server.rack]
        speed = pool.speeds.speed_of(state.server.id) * simulated_pool.ESTIMATE_FACTOR
        run_s = self.callers[owned.work.id].run_s / speed
        self.at(simulated_pool.MESSAGE_S + run_s, self.on_run_end, pool, state, run)

    def request_capacity(self, pool, *demand):
        target = min(set(self.pools) - {pool}, key=lambda name: (self.pools[name].load, name))
        request = messages.CapacityRequest(HOLDER, pool, *demand)
        self.at(simulated_pool.MESSAGE_S, self.pools[target].offers.on_request, request)

    def offer_capacity(self, target, offer):
        self.at(simulated_pool.MESSAGE_S, self.pools[offer.wanted_by].releaser.on_offer, offer)

    def send_to_holder(self, holder, released):
        caller = self.callers[released.job_id]
        self.submit(caller, released.toward, released.tasks, released.moves, released.has_started)

    def at(self, delay_s, function, *arguments):
        due_at = self.time_s + delay_s
        heapq.heappush(self.queue, (due_at, next(self.numbers), function, arguments))

    def submit(self, caller, pool, tasks, moves=0, has_started=False):
        message = messages.Submit(
            pool,
            next(self.numbers),
            0.0,
            caller.work,
            HOLDER,
            0.0,
            tasks,
            False,
            has_started,
            moves,
        )
        owned = owned_job.OwnedJob.from_message(message, caller.arrived_at)
        owned.heard_at = float("inf")
        self.at(
            2 * simulated_pool.MESSAGE_S if moves else simulated_pool.MESSAGE_S,
            self.pools[pool].add,
            owned,
        )

    def arrive(self, priority):
        width, median_s, rate = KINDS[priority]
        phase = bisect.bisect_right([until for until, _ in PHASES], self.time_s)
        if phase == len(PHASES):
            return
        rate *= PHASES[phase][1][priority] * self.load
        self.at(self.rng.expovariate(rate), self.arrive, priority)
        estimate_s = median_s * self.rng.lognormvariate(0, RUN_TIME_SPREAD)
        name, steps = f"j{len(self.callers)}", (job.Step(width, simulated_pool.TASK, estimate_s),)
        objective_s = 1.6 * estimate_s + OVERHEAD_S
        work = job.Job(name, f"q{priority}", "s", "", steps, priority, 3, objective_s, 10.0)
        error = self.rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
        tasks = tuple(name for name, _ in work.named_steps())
        run_s = estimate_s * simulated_pool.ESTIMATE_FACTOR * error
        caller = self.callers[work.id] = Caller(work, self.time_s, run_s, width)
        pools = self.rng.sample(list(self.pools.values()), 3)
        self.submit(caller, min(pools, key=lambda pool: pool.load).name, tasks)

    def on_run_end(self, pool, state, run):
        if run.key not in state.runs:
            return
        caller, task = self.callers[run.owned.work.id], run.owned.tasks[run.task]
        task.state = owned_job.TaskState.DONE
        pool.finish_if_done(run.owned)
        caller.remaining -= 1
        if not caller.remaining:
            self.end(caller, self.time_s + simulated_pool.MESSAGE_S)
        self.free(pool, state, run)

    def free(self, pool, state, run):
        if state.runs.pop(run.key, None):
            pool.task_scheduler.place_all()

    def end(self, caller, ended_at):
        caller.ended_at, caller.is_over = ended_at, True
        if ended_at is None:
            for pool in self.pools.values():
                pool.cancel(caller.work.id)

    def report(self):
        for pool in self.pools.values():
            pool.load = sum(len(state.runs) for state in pool.server_states.values())
            pool.load += sum(owned.waiting_core_s() for owned in pool.jobs.values())
        self.at(REPORT_S, self.report)

    def check(self):
        for pool in self.pools.values():
            for owned in list(pool.jobs.values()):
                fastest = pool.fastest_speed()
                if refusals.is_infeasible(owned, self.time_s, fastest, pool.timing):
                    self.end(self.callers[owned.work.id], None)
        self.at(CHECK_S, self.check)

    def run(self):
        for priority in KINDS:
            self.arrive(priority)
        self.report()
        self.check()
        while self.queue and self.time_s < PHASES[-1][0] + 5:
            self.time_s, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)


def share_of_worth(region):
    """Return the share of worth by priority, and of all jobs, that arrived under the burst."""
    worths = collections.defaultdict(list)
    for caller in region.callers.values():
        if PHASES[0][0] <= caller.arrived_at < PHASES[2][0]:
            for key in (caller.work.priority, "all"):
                worths[key].append(caller.worth())
    return {key: sum(values) / len(values) for key, values in worths.items()}


def main():
    """Print the share of worth by priority, with the decisions off and on."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0, help="factor of all rates")
    parser.add_argument("--pools", type=int, default=POOLS, help="rates are scaled alike")
    options = parser.parse_args()
    event.log = lambda *arguments, **fields: None
    print("decisions  seed  priority 0  1  2  all jobs")
    for is_on in (False, True):
        for seed in range(1, options.seeds + 1):
            timing = settings.RerunSettings(schedules_by_kind=is_on)
            region = Region(seed, timing, options.pools, options.load)
            region.run()
            shares = share_of_worth(region)
            row = "  ".join(f"{shares[key]:.3f}" for key in (0, 1, 2, "all"))
            print(f"{'on ' if is_on else 'off'}  {seed}  {row}", flush=True)


if __name__ == "__main__":
    main()
