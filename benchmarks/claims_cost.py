"""Measure the cost of claims: messages, latency, memory, CPU time, mass resubmission.

    .venv/bin/python benchmarks/claims_cost.py

Messages and the mass resubmission are counted on the virtual network with the real job managers.
Latency is measured over the real transport on loopback, with all instances as green threads of one
process: they share one core, so the results exceed those of separate machines, network delay
aside.  Memory is measured with tracemalloc.
"""

import gc
import json
import logging
import pathlib
import platform
import statistics
import subprocess
import sys
import time
import tracemalloc

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from rosedyke.daemon import eventlet_runtime  # noqa: E402
from rosedyke.job import (  # noqa: E402
    answer,
    authority,
    claim,
    code,
    handover,
    manager,
    messages,
    registrar,
    settings,
)
from rosedyke.membership import member  # noqa: E402
from rosedyke.standins import explore_region  # noqa: E402
from rosedyke.wire import peer, transport  # noqa: E402
from rosedyke.wire import settings as wire_settings  # noqa: E402

RESULTS = ROOT / "benchmarks" / "results" / "claims_cost.json"
MESSAGE_COUNT_JOBS = 200
LATENCY_JOBS = 2000
CLAIM_COUNT = 100_000
RESUBMITTED_JOBS = 10_000
RESUBMITTED_JOB_TASKS = 2
# Bound of the steps at the instant at which all jobs are submitted; a job takes 12.
STEPS_PER_RESUBMITTED_JOB = 30
DETECTION_S = 1.5
JOB_TIMEOUT_S = 4.0
DEADLINE_JOBS = 1000
# One-way delays.
WEIGHBRIDGE_DELAY_S = 0.0015
LOCAL_DELAY_S = 0.00025
SHAPES = {
    "weighbridge, 3 data centres of 2": {"dc1": 2, "dc2": 2, "dc3": 2},
    "press line, 4 data centres of 2": {"dc1": 2, "dc2": 2, "dc3": 2, "dc4": 2},
    "larger region, 4 data centres of 26": {"dc1": 26, "dc2": 26, "dc3": 26, "dc4": 26},
}


def weighbridge_delay_s(source: peer.Peer, target: peer.Peer, message: object) -> float:
    """Return the one-way delay of a message in the weighbridge topology."""
    is_local = source.data_centre == target.data_centre
    return LOCAL_DELAY_S if is_local else WEIGHBRIDGE_DELAY_S


def build_region(counts: dict[str, int]) -> explore_region.Region:
    """Return a converged region with the weighbridge topology's delays."""
    region = explore_region.Region(counts)
    region.network.delay_s = weighbridge_delay_s
    region.settle(5.0)
    for node in region.nodes.values():
        node.dispatcher.task_s = 0.0
    return region


def count_messages(counts: dict[str, int]) -> dict:
    """Return messages per attempt, replies included, and the simulated latency in milliseconds."""
    region = build_region(counts)
    names = list(region.nodes)
    figures = {}
    for attempt, label in ((1, "first attempt"), (2, "resubmission")):
        message_counts, latencies_ms = [], []
        for number in range(MESSAGE_COUNT_JOBS):
            name = names[number % len(names)]
            request = explore_region.request_of(f"{label}-{number}", attempt, age_s=1.0, tasks=1)
            messages_before, started = len(region.network.log), region.clock.now()
            job_answer = region.answer(name, request)
            assert job_answer.code is code.Code.COMPLETE, job_answer
            message_counts.append(len(region.network.log) - messages_before)
            latencies_ms.append((region.clock.now() - started) * 1000)
        figures[label] = {
            "messages_mean": round(statistics.mean(message_counts), 2),
            "messages_max": max(message_counts),
            "added_ms_by_delays_mean": round(statistics.mean(latencies_ms), 3),
        }
    return figures


class GreenNode:
    """An instance on the real transport, with a dispatcher that completes tasks instantly."""

    def __init__(self, name: str, data_centre: str):
        self.clock = eventlet_runtime.GreenRuntime()
        transport_settings = wire_settings.TransportSettings(name, data_centre, "127.0.0.1:0")
        self.transport = transport.Transport(transport_settings, self.clock)
        self.transport.start()
        self.jobs = None

    def start_jobs(self, view: member.View, region_data_centres: tuple[str, ...]) -> None:
        """Start the job manager with a fixed membership view."""
        views = explore_region.FakeMembership(self.transport.own, view)
        starts = explore_region.Starts()
        dispatcher = explore_region.CountingDispatcher(self.clock, starts, self.transport)
        dispatcher.task_s = 0.0
        job_settings = settings.JobSettings(
            data_centres=region_data_centres, silence_s=1.0, pause_bound_s=30.0
        )
        self.jobs = manager.JobManager(job_settings, self.clock, self.transport, views, dispatcher)
        self.jobs.start()


def time_on_loopback() -> dict:
    """Return the overhead of ``submit()`` in milliseconds, with one job at a time."""
    counts = SHAPES["weighbridge, 3 data centres of 2"]
    nodes = [
        GreenNode(f"{data_centre}{letter}", data_centre)
        for data_centre, count in counts.items()
        for letter in "ab"[:count]
    ]
    view = member.View(
        tuple(member.Member(node.transport.own, member.State.LIVE) for node in nodes)
    )
    for node in nodes:
        node.start_jobs(view, tuple(counts))
    nodes[0].clock.sleep(3.0)
    figures = {}
    for attempt, label in ((1, "first attempt"), (2, "resubmission")):
        latencies_ms = []
        cpu_s = time.process_time()
        for number in range(LATENCY_JOBS):
            request = explore_region.request_of(f"{label}-{number}", attempt, tasks=1)
            started = time.perf_counter()
            job_answer = nodes[number % len(nodes)].jobs.submit(request)
            latencies_ms.append((time.perf_counter() - started) * 1000)
            assert job_answer.code is code.Code.COMPLETE, job_answer
        cpu_s = time.process_time() - cpu_s
        percentiles = statistics.quantiles(latencies_ms, n=100)
        figures[label] = {
            "median_ms": round(statistics.median(latencies_ms), 3),
            "p99_ms": round(percentiles[98], 3),
            "processor_ms_all_instances": round(cpu_s / LATENCY_JOBS * 1000, 3),
        }
    figures["deadline"] = time_deadlines(nodes[0])
    for node in nodes:
        node.jobs.stop()
        node.transport.stop()
    return figures


def time_deadlines(node) -> dict:
    """Return the time left before the caller's timeout when unfinished jobs are answered."""
    dispatcher = node.jobs.node.dispatcher
    dispatcher.task_s = 60.0
    margins_ms = []

    def call(number):
        request = explore_region.request_of(f"late-{number}", tasks=1, timeout_s=JOB_TIMEOUT_S)
        started = time.perf_counter()
        job_answer = node.jobs.submit(request)
        assert job_answer.code is code.Code.DEADLINE, job_answer
        margins_ms.append((started + JOB_TIMEOUT_S - time.perf_counter()) * 1000)

    tasks = []
    for number in range(DEADLINE_JOBS):
        tasks.append(node.clock.spawn(call, number))
        node.clock.sleep(JOB_TIMEOUT_S / DEADLINE_JOBS)
    for task in tasks:
        task.wait()
    return {
        "jobs": DEADLINE_JOBS,
        "timeout_s": JOB_TIMEOUT_S,
        "median_ms_left": round(statistics.median(margins_ms), 2),
        "least_ms_left": round(min(margins_ms), 2),
        "answered_after_the_timeout": sum(margin_ms < 0 for margin_ms in margins_ms),
    }


def claim_request(number: int) -> messages.ClaimRequest:
    """Return a claim with a 36-character id and a 16-byte digest."""
    job_id = f"{number:08x}-0000-4000-8000-{number:012x}"
    return messages.ClaimRequest(job_id, 1, number.to_bytes(16, "big"), 0.0, number, ("a#1", "b#1"))


def measure_memory() -> dict:
    """Return the memory and CPU time per claim at a registrar."""
    table = registrar.Registrar(120.0, 2 * CLAIM_COUNT)
    holder = peer.Peer("dc1a", 1, "dc1", "127.0.0.1:1")
    # Excludes objects of earlier measurements from the garbage collection that is timed.
    gc.collect()
    gc.freeze()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    for number in range(CLAIM_COUNT):
        table.grant(holder, claim_request(number), number / 1000)
    claim_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    started = time.perf_counter()
    gc.collect()
    collection_s = time.perf_counter() - started
    gc.unfreeze()
    requests = [claim_request(CLAIM_COUNT + number) for number in range(20_000)]
    started = time.process_time()
    for request in requests:
        table.conflict(holder, request, 0.0)
        table.grant(holder, request, 0.0)
    cpu_s = time.process_time() - started
    return {
        "claims": CLAIM_COUNT,
        "bytes_each": round(claim_bytes / CLAIM_COUNT, 1),
        "full_garbage_collection_ms": round(collection_s * 1000, 1),
        "decision_us": round(cpu_s / len(requests) * 1e6, 2),
    }


def measure_join() -> dict:
    """Return the cost of a join for an instance with many claims, one third as their holder."""
    region = explore_region.Region({"dc1": 50})
    region.settle(5.0)
    node = region.nodes["dc1a"].jobs.node
    others = [other_node.peer for other_node in region.nodes.values()][1:]
    for number in range(CLAIM_COUNT):
        holder = node.own if number % 3 == 0 else others[number % len(others)]
        node.registrar.grant(holder, claim_request(number), node.now())
    uninterrupted_s = []
    original_sleep = node.runtime.sleep
    started = time.process_time()
    resumed_at = [started]

    def sleep(seconds):
        uninterrupted_s.append(time.process_time() - resumed_at[0])
        original_sleep(seconds)
        resumed_at[0] = time.process_time()

    node.runtime.sleep = sleep
    joining_peer = region.new_peer("dc1x", "dc1", 1)
    region.states["dc1x"] = member.Member(joining_peer, member.State.LIVE)
    view = region.view()
    members = authority.members_of(view, "dc1")
    node.authority.members = members
    moves = region.clock.call(handover.plan_transfers, node, members)
    return {
        "members": 50,
        "claims": CLAIM_COUNT,
        "claims_to_move": sum(len(moved) for moved in moves.values()),
        "processor_s": round(time.process_time() - started, 3),
        "longest_stretch_ms": round(max(uninterrupted_s) * 1000, 2),
    }


def measure_mass_resubmission() -> dict:
    """Return the outcomes of many resubmissions right after one of six instances crashed."""
    region = build_region(SHAPES["weighbridge, 3 data centres of 2"])
    region.clock.max_steps_per_instant = max(
        region.clock.max_steps_per_instant, STEPS_PER_RESUBMITTED_JOB * RESUBMITTED_JOBS
    )
    names = list(region.nodes)
    for node in region.nodes.values():
        node.dispatcher.task_s = 0.5
    for number in range(RESUBMITTED_JOBS):
        request = explore_region.request_of(
            f"job-{number}", 1, tasks=RESUBMITTED_JOB_TASKS, timeout_s=10
        )
        region.submit(names[number % len(names)], request)
    region.settle(0.25)
    crashed = names[0]
    region.crash(crashed)
    held_by_crashed = {f"job-{number}" for number in range(0, RESUBMITTED_JOBS, len(names))}

    def detect():
        region.clock.sleep(DETECTION_S)
        region.declare_dead(crashed)

    region.clock.spawn(detect)
    first_resubmission = len(region.calls)
    messages_before = len(region.network.log)
    for number in range(RESUBMITTED_JOBS):
        name = names[1 + number % (len(names) - 1)]
        request = explore_region.request_of(
            f"job-{number}", 2, age_s=0.25, tasks=RESUBMITTED_JOB_TASKS, timeout_s=8
        )
        region.submit(name, request)
    region.settle(10.0)
    calls = region.calls[first_resubmission:]
    by_ran = {ran.value: 0 for ran in answer.Ran}
    by_code: dict[str, int] = {}
    unknown_of_other_holders = 0
    for call in calls:
        job_answer = call.answer
        by_code[job_answer.code.value] = by_code.get(job_answer.code.value, 0) + 1
        by_ran[job_answer.ran.value] += not job_answer.is_complete
        is_held_elsewhere = job_answer.job_id not in held_by_crashed
        unknown_of_other_holders += job_answer.ran is answer.Ran.UNKNOWN and is_held_elsewhere
    faults = region.violations()
    return {
        "jobs": RESUBMITTED_JOBS,
        "held_by_the_dead_instance": len(held_by_crashed),
        "whole": sum(call.answer.is_complete for call in calls),
        "failed_by_ran": by_ran,
        "by_code": by_code,
        "unknown_of_jobs_held_elsewhere": unknown_of_other_holders,
        "starts_of_one_task_at_most": region.starts.max_starts_per_task(),
        "promises_broken": len(faults),
        "messages_each": round((len(region.network.log) - messages_before) / RESUBMITTED_JOBS, 2),
    }


def main() -> int:
    """Run all measurements and write the results."""
    logging.disable(logging.CRITICAL)
    commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.strip()
    report = {
        "commit": commit,
        "python": platform.python_version(),
        "record_fields": len(claim.Claim.__slots__),
        "loopback, 6 instances in one process": time_on_loopback(),
        "messages": {name: count_messages(counts) for name, counts in SHAPES.items()},
        "memory": measure_memory(),
        "join": measure_join(),
        "wave": measure_mass_resubmission(),
    }
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(report, indent=2) + "\n")
    print(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
