"""Simulation of the placement policy: the real dispatch code on a virtual clock.

    python -m benchmarks.model --scenario weighbridge --load 0.8 --length 20

No socket is opened and no real time passes, so the results show the policy alone: response time
relative to the ideal schedule, messages per task, limits exceeded.  ``benchmarks/load.py`` measures
real processes.
"""

import collections
import json
import logging
import pathlib
import sys
import time

import attrs
import cyclopts

from benchmarks import arrivals, reference_schedulers, report
from rosedyke.configuration import intent
from rosedyke.dispatch import settings
from rosedyke.job import job, submission
from rosedyke.standins import fleet

RESULTS = pathlib.Path(__file__).parent / "results"
DRAIN_S = 60.0  # simulated time after the last arrival


@attrs.frozen
class SimulationRun:
    """Results of one simulation run."""

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
    """Return the service of a scenario, with its servers spread evenly over the data centres."""
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


def simulate(
    scenario, jobs, speeds, dispatch_settings, seed, timeout_s=60.0, instances=2
) -> SimulationRun:
    """Simulate the arrivals with real dispatchers and return the results."""
    run_times_s = {}

    def run_time_s(server, call):
        return run_times_s[call.job_id][call.index]

    names = {
        f"i{dc}{number}": f"dc{dc}"
        for dc in range(scenario.data_centres)
        for number in range(instances)
    }
    simulated_fleet = fleet.Fleet(service_of(scenario), names, run_time_s, dispatch_settings, seed)
    data_centre = {name: dc for name, dc in names.items()}

    def delay_s(source, target, message):
        is_same_data_centre = data_centre[source.name] == data_centre[target.name]
        return 0.0002 if is_same_data_centre else scenario.network_delay_s

    simulated_fleet.network.delay_s = delay_s
    for number, server_speed in enumerate(speeds):
        simulated_fleet.gateway.servers[f"s{number}"].speed = server_speed
    responses = [0.0] * len(jobs)
    codes = collections.Counter()
    entry_instances = sorted(names)

    def submit_arrival(index, arrival):
        call = submission.TaskCall(arrival.kind.task_type)
        job_id = f"j{index}"
        run_times_s[job_id] = arrival.run_s
        request = submission.Submission(
            scenario.name, job_id, 1, 0.0, timeout_s, (call,) * len(arrival.run_s)
        )
        node = simulated_fleet.nodes[entry_instances[index % len(entry_instances)]]
        refusal = node.dispatcher.check(request)
        if refusal is not None:
            codes["refused " + refusal.code.value] += 1
            responses[index] = None
            return
        active_job = job.Job(request, simulated_fleet.runtime.now() + timeout_s)
        node.dispatcher.run(active_job)
        codes[active_job.answer.code.value] += 1
        response_s = simulated_fleet.runtime.now() - arrival.due_s
        responses[index] = response_s if active_job.answer.is_complete else None
        del run_times_s[job_id]

    def submit_all():
        for index, arrival in enumerate(jobs):
            simulated_fleet.runtime.sleep(max(0.0, arrival.due_s - simulated_fleet.runtime.now()))
            simulated_fleet.runtime.spawn(submit_arrival, index, arrival)

    started = time.perf_counter()
    simulated_fleet.runtime.spawn(submit_all)
    simulated_fleet.runtime.run(jobs[-1].due_s + DRAIN_S)
    tasks = sum(len(arrival.run_s) for arrival in jobs)
    messages_between_instances = sum(
        1 for _, source, target, _ in simulated_fleet.network.log if source != target
    )
    return SimulationRun(
        responses,
        sum(1 for response in responses if response is None),
        dict(codes),
        messages_between_instances / tasks,
        simulated_fleet.gateway.refused,
        simulated_fleet.gateway.excess,
        sum(1 for count in simulated_fleet.gateway.starts.values() if count > 1),
        tasks,
        time.perf_counter() - started,
    )


def compare_slot_sharing(jobs, speeds, scenario, reference, warm_up, seed) -> dict:
    """Return the results of simpler ways to share slots between instances."""
    instances = 2 * scenario.data_centres
    split_responses = reference_schedulers.simulate_even_split(
        jobs, speeds, scenario.slots, instances
    )
    optimistic = reference_schedulers.Optimistic(speeds, scenario.slots, instances, seed)
    optimistic_responses = optimistic.simulate(jobs)
    tasks = sum(len(job.run_s) for job in jobs)
    return {
        "even-split": report.compare_responses(split_responses, reference, warm_up),
        "optimistic": report.compare_responses(optimistic_responses, reference, warm_up)
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
    """Run the simulation and print its results.

    Parameters
    ----------
    scenario : str
        ``weighbridge`` or ``press-line``.
    load : list of float
        Offered load as fractions of the servers' capacity.
    length : float
        Seconds of arrivals; the first quarter is warm-up.
    seed : int
        Seed of arrivals and speeds.
    aging : float
        See ``DispatchSettings``.
    baselines : bool
        Also run the baseline schedulers.
    timeout : float
        Timeout of each job in seconds.
    save : bool
        Write the results to benchmarks/results.
    """
    logging.disable(logging.CRITICAL)  # an overload causes thousands of timeout events
    chosen_scenario = arrivals.SCENARIOS[scenario]
    speeds = arrivals.server_speeds(chosen_scenario, seed)
    capacity = sum(speeds) * chosen_scenario.slots
    results_by_load = {}
    for load_share in load or [0.6, 0.8]:
        jobs = arrivals.poisson_arrivals(
            chosen_scenario, load_share * capacity / chosen_scenario.mean_work_s(), length, seed
        )
        warm_up = len(jobs) // 4
        reference = reference_schedulers.central_greedy(jobs, speeds, chosen_scenario.slots)
        run = simulate(
            chosen_scenario, jobs, speeds, settings.DispatchSettings(aging=aging), seed, timeout
        )
        results = {"rosedyke": report.compare_responses(run.responses, reference, warm_up)}
        results["rosedyke"] |= {
            "failed": run.failed,
            "codes": run.codes,
            "whole_work_share": round(
                report.completed_work_s(jobs, run.responses) / (capacity * length), 3
            ),
            "messages_per_task": round(run.messages_per_task, 3),
            "refused": run.refused,
            "excess": run.excess,
            "double_starts": run.double_starts,
            "jobs": len(jobs),
            "tasks": run.tasks,
            "wall_ms_per_task": round(1000 * run.wall_s / run.tasks, 3),
        }
        if baselines:
            for name, pick in reference_schedulers.BASELINES.items():
                responses = reference_schedulers.simulate_queues(
                    jobs, speeds, chosen_scenario.slots, pick, seed
                )
                results[name] = report.compare_responses(responses, reference, warm_up)
            results |= compare_slot_sharing(jobs, speeds, chosen_scenario, reference, warm_up, seed)
        results_by_load[str(load_share)] = results
        for name, result in results.items():
            print(f"{scenario} load {load_share} {name}: {json.dumps(result)}", flush=True)
    if save:
        path = RESULTS / f"model-{scenario}.json"
        report.save_results(path, results_by_load, kind="model", seed=seed, length_s=length)


if __name__ == "__main__":
    app = cyclopts.App(name="model", help_format="plaintext")
    app.default(main)
    sys.exit(app())
