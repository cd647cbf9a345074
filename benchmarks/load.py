"""Load on real processes: a whole region on loopback, jobs that arrive on their own schedule.

    make bench                    # every case of both users
    .venv/bin/python -m benchmarks.load --scenario press-line --case load-0.8

An arrival's response counts from when it was due, so a generator or a system that falls behind
shows as slow answers and not as fewer arrivals.  The ideal is the central greedy schedule of
``benchmarks/ideal.py`` on the same arrivals; the baselines are played on them too, without any
network or processing, which favours them.
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

from benchmarks import arrivals, cases, figures, ideal  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results"
INSTANCES_EACH = 2
BACKEND_PROCESSES = 3
SETTLE_S = 2.0
SEED = 1
# What a message was wasted on, by dispatch's counters; claims are not among them.
WASTED = ("tasks_not_started", "probes", "grants_late")


@attrs.define
class Outcome:
    """What became of one arrival.

    Attributes
    ----------
    response_s : float
        From when it was due to its answer.
    code : str
        Of the answer; ``no answer`` when there was none.
    ran : str
        What the answer says about that.
    """

    response_s: float
    code: str
    ran: str = ""


def service_file(scenario: arrivals.Scenario, addresses: list[str]) -> str:
    """Return an operators' file for a scenario."""
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
    """Submits the arrivals of one case when they are due.

    Parameters
    ----------
    region : Region
        Where to.
    scenario : Scenario
        Whose service.
    prefix : str
        Makes job ids unique.
    timeout_s : float
        Of each job.
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

    def run(self, jobs, at_time=()) -> list[Outcome]:
        """Submit all jobs and return their outcomes in order.

        Parameters
        ----------
        jobs : list of Arrival
            What arrives.
        at_time : iterable of (float, callable)
            Faults to bring about, in seconds from the start.
        """
        begun = time.monotonic()
        for delay_s, action in at_time:
            eventlet.spawn_after(delay_s, action, self)
        pool = eventlet.GreenPool(20_000)
        for number, arrival in enumerate(jobs):
            eventlet.sleep(max(0.0, begun + arrival.due_s - time.monotonic()))
            pool.spawn_n(self._submit, number, arrival, begun + arrival.due_s)
        pool.waitall()
        return [self.outcomes[number] for number in range(len(jobs))]

    def job_id(self, number: int) -> str:
        """Return an arrival's job id."""
        return f"{self.prefix}-{number}"

    def cancel(self, number: int) -> None:
        """Cancel a job wherever it is."""
        self.http.request("DELETE", f"{self._place(number)}/v1/jobs/{self.job_id(number)}")

    def _place(self, number):
        running = [one for one in self.region.instances if region_module.is_running(one)]
        return f"http://{running[number % len(running)].caller}"

    def _submit(self, number, arrival, due):
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
            reply = self.http.request(
                "POST",
                f"{self._place(number)}/v1/services/{self.scenario.name}/jobs",
                body=body,
                headers={
                    "Content-Type": "application/json",
                    "Rosedyke-Attempt": "1",
                    "Rosedyke-Age-Ms": "0",
                },
            )
            document = json.loads(reply.data)
            said = "complete" if reply.status == 200 else document.get("code", str(reply.status))
            ran = document.get("ran", "")
        except (urllib3.exceptions.HTTPError, ValueError):
            said, ran = "no answer", ""
        self.outcomes[number] = Outcome(time.monotonic() - due, said, ran)


def start_region(group, scenario, speeds):
    """Start everything for a scenario, apply its file, and wait until it takes jobs."""
    names = [f"dc{number + 1}" for number in range(scenario.data_centres)]
    region = region_module.Region(group, names, INSTANCES_EACH)
    region.start_store()
    ip = processes.own_loopback()
    addresses = [f"{ip}:{processes.free_port(ip)}" for _ in speeds]
    for part in range(BACKEND_PROCESSES):
        region.start_backends(
            f"servers-{part}",
            addresses[part::BACKEND_PROCESSES],
            speeds[part::BACKEND_PROCESSES],
            scenario.slots,
        )
    region.start_instances()
    for one in region.instances:
        region.wait_http(f"http://{one.caller}/healthz", one.name)
    path = group.folder / f"{scenario.name}.toml"
    path.write_text(service_file(scenario, addresses))
    operators = ",".join(one.operator for one in region.instances)
    region.command("apply", str(path), "--wait", "--instances", operators)
    region.wait_ready()
    return region, addresses


def run_case(scenario, case, length_s) -> dict:
    """Run one case on fresh processes and return its figures."""
    speeds = arrivals.server_speeds(scenario, SEED)
    capacity = sum(speeds) * scenario.slots
    played = attrs.evolve(scenario, long_share=case.long_share)
    jobs = cases.case_arrivals(case, played, capacity, length_s, SEED)
    with tempfile.TemporaryDirectory() as folder, processes.Group(pathlib.Path(folder)) as group:
        region, addresses = start_region(group, scenario, speeds)
        eventlet.sleep(SETTLE_S)
        generator = Generator(region, scenario, case.name, case.timeout_s)
        faults = [(share * length_s, action) for share, action in case.faults(addresses, jobs)]
        outcomes = generator.run(jobs, faults)
        counts = dict(region.server_counts())
        counters = counters_of(region)
        doubles = region.double_starts()
    return figures_of(jobs, outcomes, counts, counters, doubles, speeds, scenario, case, length_s)


def counters_of(region) -> collections.Counter:
    """Return dispatch's counters of all running instances, added up."""
    total = collections.Counter()
    for one in region.instances:
        if region_module.is_running(one):
            status = region.get_json(f"http://{one.operator}/v1/operator/status")
            total.update({k: v for k, v in status["counters"].items() if k.startswith("dispatch.")})
    return total


def figures_of(jobs, outcomes, counts, counters, doubles, speeds, scenario, case, length_s) -> dict:
    """Return a case's figures."""
    warm = len(jobs) // 4
    reference = ideal.central_greedy(jobs, speeds, scenario.slots)
    responses = [one.response_s if one.code == "complete" else None for one in outcomes]
    tasks = sum(len(job.run_s) for job in jobs)
    refused = [one.response_s for one in outcomes if one.code == "overloaded"]
    spread = histogram.HdrHistogram(1, 120_000, 3)
    for one in responses:
        if one is not None:
            spread.record_value(max(1, int(one * 1000)))
    row = {
        "over_ideal": figures.compare_responses(responses, reference, warm),
        "response_ms": {
            str(share): spread.get_value_at_percentile(share) for share in (50, 90, 99)
        },
        "jobs": len(jobs),
        "tasks": tasks,
        "codes": dict(collections.Counter(one.code for one in outcomes)),
        "refused_not_run": sum(
            1 for one in outcomes if one.code == "overloaded" and one.ran == "no"
        ),
        "refusal_median_ms": (
            round(1000 * sorted(refused)[len(refused) // 2], 1) if refused else None
        ),
        "whole_work_share": round(
            figures.completed_work_s(jobs, responses) / (sum(speeds) * scenario.slots * length_s), 3
        ),
        "servers": {
            key: counts.get(key, 0)
            for key in ("started", "refused", "probes", "slot_excess", "connection_excess")
        },
        "wasted_per_task": round(sum(counters[f"dispatch.{key}"] for key in WASTED) / tasks, 4),
        "double_starts": len(doubles),
        "counters": dict(counters),
        "messages_per_task": round(
            2 * (counters["dispatch.exchanges"] + counters["dispatch.permits"]) / tasks, 3
        ),
    }
    if case.with_baselines:
        row["baselines"] = {
            name: figures.compare_responses(
                ideal.baseline(jobs, speeds, scenario.slots, pick, SEED), reference, warm
            )
            for name, pick in ideal.BASELINES.items()
        }
    return row


def main(
    scenario: list[str] | None = None,
    case: list[str] | None = None,
    length: float = 20.0,
):
    """Run cases and keep their figures under benchmarks/results.

    Parameters
    ----------
    scenario : list of str
        ``weighbridge`` or ``press-line``; both by default.
    case : list of str
        Names of ``benchmarks/cases.py``; all by default.
    length : float
        Seconds of arrivals in each case; the first quarter is warm-up.
    """
    for name in scenario or sorted(arrivals.SCENARIOS):
        chosen = arrivals.SCENARIOS[name]
        for one in cases.CASES:
            if case and one.name not in case:
                continue
            try:
                row = run_case(chosen, one, length)
            except TimeoutError as error:
                print(f"{name} {one.name}: not run: {error}", flush=True)
                continue
            print(f"{name} {one.name}: {json.dumps(row)}", flush=True)
            figures.save_results(
                RESULTS / f"load-{name}.json", {one.name: row}, seed=SEED, length_s=length
            )


if __name__ == "__main__":
    app = cyclopts.App(name="load", help_format="plaintext")
    app.default(main)
    sys.exit(app())
