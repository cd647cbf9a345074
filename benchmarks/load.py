"""Open-loop load test of a whole region of real processes on loopback.

    make bench                    # every case of both scenarios
    .venv/bin/python -m benchmarks.load --scenario press-line --case load-0.8

Response times count from the scheduled arrival, so a generator or a system that falls behind shows
as slow responses and not as fewer arrivals (no coordinated omission).  The reference is the central
greedy schedule of ``benchmarks/reference_schedulers.py`` on the same arrivals.  The baselines are
simulated without network or processing cost, which favours them.
"""

import collections
import json
import pathlib
import sys
import tempfile
import time

import attrs
import cyclopts
import eventlet

eventlet.monkey_patch()

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import processes  # noqa: E402
import region as region_module  # noqa: E402
import urllib3  # noqa: E402
from hdrh import histogram  # noqa: E402

from benchmarks import arrivals, load_cases, reference_schedulers, report  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results"
INSTANCES_PER_DATA_CENTRE = 2
BACKEND_PROCESSES = 3
SETTLE_S = 2.0
SEED = 1
# Counters of dispatch messages that led to no task start; claim messages are not included.
WASTED_MESSAGE_COUNTERS = ("tasks_not_started", "probes", "grants_late")


@attrs.define
class Outcome:
    """Outcome of one job.

    Attributes
    ----------
    response_s : float
        From the scheduled arrival to the answer.
    code : str
        Code of the answer, or ``no answer``.
    ran : str
        Whether the job ran, as stated by a failed answer.
    """

    response_s: float
    code: str
    ran: str = ""


def service_file(scenario: arrivals.Scenario, addresses: list[str]) -> str:
    """Return the team's configuration file for a scenario."""
    lines = [f'team = "{scenario.name}"', "[[services]]", f'name = "{scenario.name}"']
    for kind in scenario.kinds:
        lines += [
            "[[services.tasks]]",
            f'name = "{kind.task_type}"',
            f"run_time_s = {kind.run_s / 3}",
        ]
        lines += ["timeout_s = 60.0"]
    for number, address in enumerate(addresses):
        lines += ["[[services.servers]]", f'name = "{scenario.name}-{number}"']
        lines += [f'address = "{address}"', f"slots = {scenario.slots}", "connections = 64"]
        lines += [f'data_centre = "dc{number % scenario.data_centres + 1}"']
        lines += ["cores = 32", "memory_mb = 64000"]
    return "\n".join(lines) + "\n"


class Generator:
    """Submits the jobs of one case at their scheduled times.

    Parameters
    ----------
    region : Region
        Region under test.
    scenario : Scenario
        Scenario with the service's name.
    prefix : str
        Prefix of the job ids.
    timeout_s : float
        Timeout of each job.
    """

    def __init__(self, region, scenario, prefix, timeout_s):
        self.region = region
        self.scenario = scenario
        self.prefix = prefix
        self.timeout_s = timeout_s
        self.http = urllib3.PoolManager(
            num_pools=32, maxsize=512, retries=False, timeout=urllib3.Timeout(timeout_s + 10)
        )
        self.outcomes: dict[int, Outcome] = {}

    def run(self, jobs, faults=()) -> list[Outcome]:
        """Submit all jobs and return their outcomes in order.

        Parameters
        ----------
        jobs : list of Arrival
            Arrivals to submit.
        faults : iterable of (float, callable)
            Faults to inject, with their time in seconds from the start.
        """
        started = time.monotonic()
        for delay_s, inject_fault in faults:
            eventlet.spawn_after(delay_s, inject_fault, self)
        pool = eventlet.GreenPool(20_000)
        for number, arrival in enumerate(jobs):
            eventlet.sleep(max(0.0, started + arrival.due_s - time.monotonic()))
            pool.spawn_n(self._submit, number, arrival, started + arrival.due_s)
        pool.waitall()
        return [self.outcomes[number] for number in range(len(jobs))]

    def job_id(self, number: int) -> str:
        """Return the job id of an arrival."""
        return f"{self.prefix}-{number}"

    def cancel(self, number: int) -> None:
        """Cancel a job through any running instance."""
        self.http.request("DELETE", f"{self._instance_url(number)}/v1/jobs/{self.job_id(number)}")

    def _instance_url(self, number):
        running = [
            instance for instance in self.region.instances if region_module.is_running(instance)
        ]
        return f"http://{running[number % len(running)].caller_address}"

    def _submit(self, number, arrival, due_at):
        body = json.dumps(
            {
                "job_id": self.job_id(number),
                "timeout_s": self.timeout_s,
                "tasks": [
                    {"name": arrival.kind.task_type, "payload": {"run_s": run_s}}
                    for run_s in arrival.run_s
                ],
            }
        )
        try:
            response = self.http.request(
                "POST",
                f"{self._instance_url(number)}/v1/services/{self.scenario.name}/jobs",
                body=body,
                headers={
                    "Content-Type": "application/json",
                    "Rosedyke-Attempt": "1",
                    "Rosedyke-Age-Ms": "0",
                },
            )
            document = json.loads(response.data)
            code = (
                "complete" if response.status == 200 else document.get("code", str(response.status))
            )
            ran = document.get("ran", "")
        except (urllib3.exceptions.HTTPError, ValueError):
            code, ran = "no answer", ""
        self.outcomes[number] = Outcome(time.monotonic() - due_at, code, ran)


def start_region(group, scenario, speeds):
    """Start all processes of a scenario, apply its configuration and wait until it is ready."""
    names = [f"dc{number + 1}" for number in range(scenario.data_centres)]
    region = region_module.Region(group, names, INSTANCES_PER_DATA_CENTRE)
    region.start_store()
    ip = processes.unique_loopback_address()
    addresses = [f"{ip}:{processes.free_port(ip)}" for _ in speeds]
    for process_index in range(BACKEND_PROCESSES):
        region.start_backends(
            f"servers-{process_index}",
            addresses[process_index::BACKEND_PROCESSES],
            speeds[process_index::BACKEND_PROCESSES],
            scenario.slots,
        )
    region.start_instances()
    for instance in region.instances:
        region.wait_http(f"http://{instance.caller_address}/healthz", instance.name)
    file_path = group.folder / f"{scenario.name}.toml"
    file_path.write_text(service_file(scenario, addresses))
    operator_addresses = ",".join(instance.operator_address for instance in region.instances)
    region.run_command("apply", str(file_path), "--wait", "--instances", operator_addresses)
    region.wait_ready()
    return region, addresses


def run_case(scenario, case, length_s) -> dict:
    """Run one case on new processes and return its results."""
    speeds = arrivals.server_speeds(scenario, SEED)
    capacity = sum(speeds) * scenario.slots
    case_scenario = attrs.evolve(scenario, long_share=case.long_share)
    jobs = load_cases.case_arrivals(case, case_scenario, capacity, length_s, SEED)
    with tempfile.TemporaryDirectory() as folder, processes.Group(pathlib.Path(folder)) as group:
        region, addresses = start_region(group, scenario, speeds)
        eventlet.sleep(SETTLE_S)
        generator = Generator(region, scenario, case.name, case.timeout_s)
        faults = [(share * length_s, action) for share, action in case.faults(addresses, jobs)]
        outcomes = generator.run(jobs, faults)
        counts = dict(region.server_counts())
        counters = dispatch_counters(region)
        repeated_starts = region.double_starts()
    return summarise(
        jobs, outcomes, counts, counters, repeated_starts, speeds, scenario, case, length_s
    )


def dispatch_counters(region) -> collections.Counter:
    """Return the sum of the dispatch counters of all running instances."""
    total = collections.Counter()
    for instance in region.instances:
        if region_module.is_running(instance):
            status = region.get_json(f"http://{instance.operator_address}/v1/operator/status")
            total.update(
                {
                    name: value
                    for name, value in status["counters"].items()
                    if name.startswith("dispatch.")
                }
            )
    return total


def summarise(
    jobs, outcomes, server_counts, counters, double_starts, speeds, scenario, case, length_s
) -> dict:
    """Return the results of a case."""
    warm_up = len(jobs) // 4
    reference = reference_schedulers.central_greedy(jobs, speeds, scenario.slots)
    responses = [outcome.response_s if outcome.code == "complete" else None for outcome in outcomes]
    tasks = sum(len(job.run_s) for job in jobs)
    refusal_times_s = [outcome.response_s for outcome in outcomes if outcome.code == "overloaded"]
    response_histogram = histogram.HdrHistogram(1, 120_000, 3)
    for elapsed_s in responses:
        if elapsed_s is not None:
            response_histogram.record_value(max(1, int(elapsed_s * 1000)))
    row = {
        "over_ideal": report.compare_responses(responses, reference, warm_up),
        "response_ms": {
            str(share): response_histogram.get_value_at_percentile(share) for share in (50, 90, 99)
        },
        "jobs": len(jobs),
        "tasks": tasks,
        "codes": dict(collections.Counter(outcome.code for outcome in outcomes)),
        "refused_not_run": sum(
            1 for outcome in outcomes if outcome.code == "overloaded" and outcome.ran == "no"
        ),
        "refusal_median_ms": (
            round(1000 * sorted(refusal_times_s)[len(refusal_times_s) // 2], 1)
            if refusal_times_s
            else None
        ),
        "whole_work_share": round(
            report.completed_work_s(jobs, responses) / (sum(speeds) * scenario.slots * length_s), 3
        ),
        "servers": {
            key: server_counts.get(key, 0)
            for key in ("started", "refused", "probes", "slot_excess", "connection_excess")
        },
        "wasted_per_task": round(
            sum(counters[f"dispatch.{key}"] for key in WASTED_MESSAGE_COUNTERS) / tasks, 4
        ),
        "double_starts": len(double_starts),
        "counters": dict(counters),
        "messages_per_task": round(
            2 * (counters["dispatch.exchanges"] + counters["dispatch.permits"]) / tasks, 3
        ),
    }
    if case.with_baselines:
        row["baselines"] = {
            name: report.compare_responses(
                reference_schedulers.simulate_queues(jobs, speeds, scenario.slots, pick, SEED),
                reference,
                warm_up,
            )
            for name, pick in reference_schedulers.BASELINES.items()
        }
    return row


def main(
    scenario: list[str] | None = None,
    case: list[str] | None = None,
    length: float = 20.0,
):
    """Run cases and write their results to benchmarks/results.

    Parameters
    ----------
    scenario : list of str
        ``weighbridge`` or ``press-line``; both by default.
    case : list of str
        Names from ``benchmarks/load_cases.py``; all by default.
    length : float
        Seconds of arrivals in each case; the first quarter is warm-up.
    """
    for name in scenario or sorted(arrivals.SCENARIOS):
        chosen_scenario = arrivals.SCENARIOS[name]
        for chosen_case in load_cases.CASES:
            if case and chosen_case.name not in case:
                continue
            try:
                results = run_case(chosen_scenario, chosen_case, length)
            except TimeoutError as error:
                print(f"{name} {chosen_case.name}: not run: {error}", flush=True)
                continue
            print(f"{name} {chosen_case.name}: {json.dumps(results)}", flush=True)
            report.save_results(
                RESULTS / f"load-{name}.json",
                {chosen_case.name: results},
                seed=SEED,
                length_s=length,
            )


if __name__ == "__main__":
    app = cyclopts.App(name="load", help_format="plaintext")
    app.default(main)
    sys.exit(app())
