"""Model of the placement policy: the product's own dispatch code on a virtual clock.

    python -m benchmarks.model --scenario weighbridge --load 0.8 --length 20

No socket is opened and no real time passes, so this measures decisions alone: response time over
the ideal schedule, messages a task, limits exceeded.  Figures of it are called model figures;
``benchmarks/load.py`` measures real processes.
"""

import collections
import json
import logging
import pathlib
import sys
import time

import attrs
import cyclopts

from benchmarks import arrivals, figures, ideal
from rosedyke.configuration import intent
from rosedyke.dispatch import settings
from rosedyke.job import job, submission
from rosedyke.standins import fleet

RESULTS = pathlib.Path(__file__).parent / "results"
DRAIN_S = 60.0  # how long the model goes on after the last arrival


@attrs.frozen
class Played:
    """What a run of the model gave."""

    responses: list[float]
    failed: int
    codes: dict[str, int]
    messages_per_task: float
    refused: int
    excess: int
    double_starts: int
    tasks: int
    wall_s: float


def service_of(scenario: arrivals.Scenario) -> intent.Service:
    """Return the scenario's service, its servers spread over the data centres in turn."""
    servers = tuple(
        intent.BackendServer(
            f"s{number}", f"virtual:{number}", f"dc{number % scenario.data_centres}", scenario.slots
        )
        for number in range(scenario.servers)
    )
    tasks = tuple(
        intent.TaskType(kind.task_type, kind.run_s, timeout_s=60.0) for kind in scenario.kinds
    )
    return intent.Service(scenario.name, "team", tasks, servers)


def play(scenario, jobs, speeds, options, seed, timeout_s=60.0, instances=2) -> Played:
    """Run the arrivals through real dispatchers and return what happened."""
    true_s = {}

    def run_time_s(server, call):
        return true_s[call.job_id][call.index]

    names = {
        f"i{dc}{number}": f"dc{dc}"
        for dc in range(scenario.data_centres)
        for number in range(instances)
    }
    world = fleet.Fleet(service_of(scenario), names, run_time_s, options, seed)
    data_centre = {name: dc for name, dc in names.items()}

    def delay_s(source, target, told):
        same = data_centre[source.name] == data_centre[target.name]
        return 0.0002 if same else scenario.network_delay_s

    world.network.delay_s = delay_s
    for number, pace in enumerate(speeds):
        world.gateway.servers[f"s{number}"].speed = pace
    responses = [0.0] * len(jobs)
    codes = collections.Counter()
    entries = sorted(names)

    def one(index, arrival):
        call = submission.TaskCall(arrival.kind.task_type)
        name = f"j{index}"
        true_s[name] = arrival.run_s
        request = submission.Submission(
            scenario.name, name, 1, 0.0, timeout_s, (call,) * len(arrival.run_s)
        )
        node = world.nodes[entries[index % len(entries)]]
        refusal = node.dispatcher.check(request)
        if refusal is not None:
            codes["refused " + refusal.code.value] += 1
            responses[index] = None
            return
        running = job.Job(request, world.runtime.now() + timeout_s)
        node.dispatcher.run(running)
        codes[running.answer.code.value] += 1
        done = world.runtime.now() - arrival.due_s
        responses[index] = done if running.answer.is_complete else None
        del true_s[name]

    def arrive():
        for index, arrival in enumerate(jobs):
            world.runtime.sleep(max(0.0, arrival.due_s - world.runtime.now()))
            world.runtime.spawn(one, index, arrival)

    started = time.perf_counter()
    world.runtime.spawn(arrive)
    world.runtime.run(jobs[-1].due_s + DRAIN_S)
    tasks = sum(len(arrival.run_s) for arrival in jobs)
    between = sum(1 for _, source, target, _ in world.network.log if source != target)
    return Played(
        responses,
        sum(1 for one in responses if one is None),
        dict(codes),
        between / tasks,
        world.gateway.refused,
        world.gateway.excess,
        sum(1 for count in world.gateway.starts.values() if count > 1),
        tasks,
        time.perf_counter() - started,
    )


def other_ways(jobs, speeds, scenario, reference, warm, seed) -> dict:
    """Return the figures of other ways to share slots between instances."""
    instances = 2 * scenario.data_centres
    split = ideal.even_split(jobs, speeds, scenario.slots, instances)
    optimistic = ideal.Optimistic(speeds, scenario.slots, instances, seed)
    sent = optimistic.play(jobs)
    tasks = sum(len(job.run_s) for job in jobs)
    return {
        "even-split": figures.compare_responses(split, reference, warm),
        "optimistic": figures.compare_responses(sent, reference, warm)
        | {"refusals_per_task": round(optimistic.refusals / tasks, 3)},
    }


def main(
    scenario: str = "weighbridge",
    load: list[float] | None = None,
    length: float = 20.0,
    seed: int = 1,
    aging: float = settings.DispatchSettings().aging,
    baselines: bool = True,
    timeout: float = 60.0,
    save: bool = False,
):
    """Print the model's figures.

    Parameters
    ----------
    scenario : str
        ``weighbridge`` or ``press-line``.
    load : list of float
        Shares of the servers' capacity.
    length : float
        Seconds of arrivals; the first quarter is warm-up.
    seed : int
        Of arrivals and speeds.
    aging : float
        See ``DispatchSettings``.
    baselines : bool
        Play the baselines too.
    timeout : float
        Seconds that each job may take.
    save : bool
        Keep the figures under benchmarks/results.
    """
    logging.disable(logging.CRITICAL)  # thousands of timeouts are part of an overload
    chosen = arrivals.SCENARIOS[scenario]
    speeds = arrivals.server_speeds(chosen, seed)
    capacity = sum(speeds) * chosen.slots
    table = {}
    for share in load or [0.6, 0.8]:
        jobs = arrivals.poisson_arrivals(
            chosen, share * capacity / chosen.mean_work_s(), length, seed
        )
        warm = len(jobs) // 4
        reference = ideal.central_greedy(jobs, speeds, chosen.slots)
        played = play(chosen, jobs, speeds, settings.DispatchSettings(aging=aging), seed, timeout)
        row = {"rosedyke": figures.compare_responses(played.responses, reference, warm)}
        row["rosedyke"] |= {
            "failed": played.failed,
            "codes": played.codes,
            "whole_work_share": round(
                figures.completed_work_s(jobs, played.responses) / (capacity * length), 3
            ),
            "messages_per_task": round(played.messages_per_task, 3),
            "refused": played.refused,
            "excess": played.excess,
            "double_starts": played.double_starts,
            "jobs": len(jobs),
            "tasks": played.tasks,
            "wall_ms_per_task": round(1000 * played.wall_s / played.tasks, 3),
        }
        if baselines:
            for name, pick in ideal.BASELINES.items():
                responses = ideal.baseline(jobs, speeds, chosen.slots, pick, seed)
                row[name] = figures.compare_responses(responses, reference, warm)
            row |= other_ways(jobs, speeds, chosen, reference, warm, seed)
        table[str(share)] = row
        for name, found in row.items():
            print(f"{scenario} load {share} {name}: {json.dumps(found)}", flush=True)
    if save:
        path = RESULTS / f"model-{scenario}.json"
        figures.save_results(path, table, kind="model", seed=seed, length_s=length)


if __name__ == "__main__":
    app = cyclopts.App(name="model", help_format="plaintext")
    app.default(main)
    sys.exit(app())
