"""Compares the worth of answers with and without the balance between data centres.

Replays a burst of 3 in one data centre of three (docs/design/load-balance.md, part B) on a whole
region on the virtual clock: instances, messages and owners are those of the product; processing
costs nothing.  Each of the two pieces (spill, several owners asked) can be measured alone.

    PYTHONHASHSEED=0 .venv/bin/python -m benchmarks.data_centre_balance --pieces all
"""

import argparse
import collections
import logging
import random

import attrs

from benchmarks import simulated_pool
from rosedyke.observe import metric
from rosedyke.rerunnable_jobs import job, messages, metrics, ports, settings
from rosedyke.scheduling import capacity_requests, spill
from rosedyke.standins import rerun_region

DATA_CENTRES = "abc"
RACKS, SERVERS = 2, 10
INSTANCES = 4
LOADED = "a"
# Priority: tasks of a job, median estimate of a task in seconds, share of the jobs.  The shares are
# those of ``benchmarks.kind_scheduling``.
KINDS = {0: (8, 0.06, 0.244), 1: (2, 0.2, 0.711), 2: (4, 0.9, 0.045)}
RUN_TIME_SPREAD, ESTIMATE_ERROR = 0.4, 0.4
SERVER = job.Demand(28_000)
TASK = job.Demand(14_000)
STARTUP_S, BURST_START_S, BURST_END_S, END_S = 1.5, 2.0, 8.0, 9.0
BURST = 3.0
OVERHEAD_S, TIMEOUT_FACTOR = 0.06, 4
PIECES = ("spill", "owners")


@attrs.define
class Load:
    """The callers of one region."""

    region: rerun_region.Region
    generator: random.Random
    jobs_per_s: float
    submissions: list[tuple[str, int, float, float, rerun_region.Submission]] = attrs.Factory(list)

    def arrive(self, data_centre: str) -> None:
        """Submit jobs to the instances of a data centre until the end."""
        runtime = self.region.runtime
        while (elapsed_s := runtime.now() - STARTUP_S) < END_S:
            is_burst = data_centre == LOADED and BURST_START_S <= elapsed_s < BURST_END_S
            runtime.sleep(
                self.generator.expovariate(self.jobs_per_s * (BURST if is_burst else 1.0))
            )
            self._submit(data_centre)

    def _submit(self, data_centre):
        generator, region = self.generator, self.region
        (priority,) = generator.choices(list(KINDS), [share for *_, share in KINDS.values()])
        count, median_s, _ = KINDS[priority]
        estimate_s = median_s * generator.lognormvariate(0, RUN_TIME_SPREAD)
        error = generator.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
        name = f"j{len(self.submissions)}"
        region.backend.durations[name] = estimate_s * simulated_pool.ESTIMATE_FACTOR * error
        region.backend.demands[name] = TASK
        objective_s = 1.6 * estimate_s + OVERHEAD_S
        work = job.Job(
            name,
            f"q{priority}",
            rerun_region.SERVICE,
            "",
            (job.Step(count, TASK, estimate_s),),
            priority,
            3,
            objective_s,
            TIMEOUT_FACTOR * objective_s,
        )
        submission = rerun_region.Submission(
            region.runtime.signal(), submitted_at=region.runtime.now()
        )
        holder = f"{data_centre}-{generator.randint(1, INSTANCES)}"
        self.submissions.append(
            (data_centre, priority, objective_s, region.runtime.now(), submission)
        )
        region.runtime.spawn(self._run, region.members[holder].node, work, submission)

    def _run(self, node, work, submission):
        submission.outcome = node.run(work, submission.disconnected)
        submission.ended_at = self.region.runtime.now()

    def worths(self) -> dict[str, float]:
        """Return the mean worth of the jobs that arrived in the burst, by place and priority."""
        values = collections.defaultdict(list)
        for data_centre, priority, objective_s, arrived_at, submission in self.submissions:
            if BURST_START_S <= arrived_at - STARTUP_S < BURST_END_S:
                worth = _worth(submission, objective_s)
                place = "loaded" if data_centre == LOADED else "others"
                for key in (f"{place} {priority}", f"{place} all", "all"):
                    values[key].append(worth)
        return {key: sum(worths) / len(worths) for key, worths in values.items()}


def _worth(submission, objective_s):
    """Return 1 within the objective, 0.2 up to three times it, otherwise 0."""
    if submission.outcome is None or submission.outcome.end is not job.EndState.SUCCEEDED:
        return 0.0
    share = submission.duration_s / objective_s
    return 1.0 if share <= 1 else 0.2 if share <= 3 else 0.0


def build_region(seed: int, timing: settings.RerunSettings, remote_s: float) -> rerun_region.Region:
    """Return a region of several racks in each data centre, after its start."""
    region = rerun_region.Region(
        dict.fromkeys(DATA_CENTRES, INSTANCES), servers=0, seed=seed, timing=timing
    )
    for data_centre in DATA_CENTRES:
        for number in range(RACKS * SERVERS):
            rack = f"r{number % RACKS}"
            name = f"s-{data_centre}-{number}"
            speed, _ = simulated_pool.SERVER_KINDS[number // RACKS % 3]
            region.backend.add(
                ports.Server(name, "", rerun_region.SERVICE, data_centre, rack, SERVER, born_ms=1),
                speed,
            )
    for member in region.members.values():
        for name, server in region.backend.servers.items():
            member.node.speeds.by_server[name] = server.speed / simulated_pool.ESTIMATE_FACTOR
        member.listed.changed()
    region.network.delay_s = lambda source, target, message: (
        0.0005 if source.name[0] == target.name[0] else remote_s
    )
    region.run(STARTUP_S)
    return region


def enable(pieces: tuple[str, ...]) -> settings.RerunSettings:
    """Return the settings with the given pieces of the balance; the others have no effect."""
    if "spill" not in pieces:
        spill.is_scarce = lambda *arguments: False
    if "owners" not in pieces:
        capacity_requests.owners_to_ask = lambda *arguments: 1
    return settings.RerunSettings(
        schedules_by_kind=True, predicts_completion=True, balances_data_centres=bool(pieces)
    )


def run(
    seed: int, load: float, timing: settings.RerunSettings, remote_s: float
) -> dict[str, float]:
    """Return the worth by place and priority, and counts of messages, of one play.

    Parameters
    ----------
    remote_s : float
        Delay of a message between data centres.
    """
    region = build_region(seed, timing, remote_s)
    metric.counts.clear()
    work_s = sum(
        share * count * median_s * simulated_pool.ESTIMATE_FACTOR
        for count, median_s, share in KINDS.values()
    )
    capacity = 2 * sum(server.speed for server in region.backend.servers.values())
    jobs_per_s = load * capacity / len(DATA_CENTRES) / work_s
    callers = Load(region, random.Random(seed), jobs_per_s)
    sent_before = len(region.network.log)
    for data_centre in DATA_CENTRES:
        region.runtime.spawn(callers.arrive, data_centre)
    region.run(END_S + 6.0)
    if region.backend.violations:
        raise AssertionError(region.backend.violations[:3])
    sent = collections.Counter(type(entry[3]) for entry in region.network.log[sent_before:])
    return callers.worths() | {
        "spilled": metric.counts[metrics.JOBS_SPILLED.name],
        "asked": sent[messages.CapacityRequest],
        "moved": metric.counts[metrics.TASKS_RELEASED.name],
        "messages": sum(sent.values()),
    }


def main():
    """Print the worth by place and priority for each choice of pieces."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.5, help="share of the capacity in use")
    parser.add_argument(
        "--remote-ms", type=float, default=2.0, help="one way to another data centre"
    )
    parser.add_argument("--pieces", default="off", help="off, all, spill or owners")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    names = {"off": (), "all": PIECES}
    pieces = names.get(options.pieces, tuple(options.pieces.split("+")))
    timing = enable(pieces)
    keys = [f"{place} {kind}" for place in ("loaded", "others") for kind in (0, 1, 2, "all")]
    keys += ["all", "spilled", "asked", "moved", "messages"]
    print("pieces seed", *keys, sep=" | ")
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        result = run(seed, options.load, timing, options.remote_ms / 1000)
        cells = [f"{result[key]:.3f}" if result[key] <= 1 else str(result[key]) for key in keys]
        print(options.pieces, seed, *cells, sep=" | ", flush=True)


if __name__ == "__main__":
    main()
