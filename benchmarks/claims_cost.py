"""Measure what claims cost: messages, added time, memory, processor time, a wave of resubmissions.

    .venv/bin/python benchmarks/claims_cost.py

Messages and the wave are counted on the virtual network, with the job managers that run in the
product.  The added time is measured over the product's transport on loopback: all instances are
green threads of this one process and share its processor, so the figures are above those of
separate machines without their network.  Memory is counted by tracemalloc.
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

from rosedyke.daemon import green  # noqa: E402
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
JOBS_COUNTED = 200
JOBS_TIMED = 2000
CLAIMS_HELD = 100_000
WAVE_JOBS = 10_000
WAVE_TASKS = 2
DETECTION_S = 1.5
DEADLINE_S = 4.0
DEADLINE_JOBS = 1000
# One way between data centres, in seconds.
WEIGHBRIDGE_DELAY_S = 0.0015
LOCAL_DELAY_S = 0.00025
SHAPES = {
    "weighbridge, 3 data centres of 2": {"dc1": 2, "dc2": 2, "dc3": 2},
    "press line, 4 data centres of 2": {"dc1": 2, "dc2": 2, "dc3": 2, "dc4": 2},
    "larger region, 4 data centres of 26": {"dc1": 26, "dc2": 26, "dc3": 26, "dc4": 26},
}


def between(source: peer.Peer, target: peer.Peer, message: object) -> float:
    """Return the weighbridge's delay of a message."""
    is_local = source.data_centre == target.data_centre
    return LOCAL_DELAY_S if is_local else WEIGHBRIDGE_DELAY_S


def build(counts: dict[str, int]) -> explore_region.Region:
    """Return a settled region with the weighbridge's delays."""
    region = explore_region.Region(counts)
    region.network.delay_s = between
    region.settle(5.0)
    for node in region.nodes.values():
        node.dispatcher.task_s = 0.0
    return region


def count_messages(counts: dict[str, int]) -> dict:
    """Return messages (each reply counts as one) and virtual milliseconds of an attempt."""
    region = build(counts)
    names = list(region.nodes)
    figures = {}
    for attempt, label in ((1, "first attempt"), (2, "resubmission")):
        sent, spent = [], []
        for number in range(JOBS_COUNTED):
            name = names[number % len(names)]
            request = explore_region.request_of(f"{label}-{number}", attempt, age_s=1.0, tasks=1)
            before, started = len(region.network.log), region.clock.now()
            final = region.answer(name, request)
            assert final.code is code.Code.COMPLETE, final
            sent.append(len(region.network.log) - before)
            spent.append((region.clock.now() - started) * 1000)
        figures[label] = {
            "messages_mean": round(statistics.mean(sent), 2),
            "messages_max": max(sent),
            "added_ms_by_delays_mean": round(statistics.mean(spent), 3),
        }
    return figures


class GreenNode:
    """One instance over the product's transport, with a dispatcher that takes no time."""

    def __init__(self, name: str, centre: str):
        self.clock = green.GreenRuntime()
        options = wire_settings.TransportSettings(name, centre, "127.0.0.1:0")
        self.transport = transport.Transport(options, self.clock)
        self.transport.start()
        self.jobs = None

    def begin(self, view: member.View, centres: tuple[str, ...]) -> None:
        """Start the job manager with a view that doesn't change."""
        views = explore_region.FakeMembership(self.transport.own, view)
        starts = explore_region.Starts()
        dispatcher = explore_region.CountingDispatcher(self.clock, starts, self.transport)
        dispatcher.task_s = 0.0
        limits = settings.JobSettings(data_centres=centres, silence_s=1.0, pause_bound_s=30.0)
        self.jobs = manager.JobManager(limits, self.clock, self.transport, views, dispatcher)
        self.jobs.start()


def time_on_loopback() -> dict:
    """Return milliseconds that submit() takes beyond the tasks, one job at a time."""
    counts = SHAPES["weighbridge, 3 data centres of 2"]
    nodes = [
        GreenNode(f"{centre}{letter}", centre)
        for centre, count in counts.items()
        for letter in "ab"[:count]
    ]
    view = member.View(
        tuple(member.Member(node.transport.own, member.State.LIVE) for node in nodes)
    )
    for node in nodes:
        node.begin(view, tuple(counts))
    nodes[0].clock.sleep(3.0)
    figures = {}
    for attempt, label in ((1, "first attempt"), (2, "resubmission")):
        spent = []
        processor = time.process_time()
        for number in range(JOBS_TIMED):
            request = explore_region.request_of(f"{label}-{number}", attempt, tasks=1)
            started = time.perf_counter()
            final = nodes[number % len(nodes)].jobs.submit(request)
            spent.append((time.perf_counter() - started) * 1000)
            assert final.code is code.Code.COMPLETE, final
        processor = time.process_time() - processor
        cuts = statistics.quantiles(spent, n=100)
        figures[label] = {
            "median_ms": round(statistics.median(spent), 3),
            "p99_ms": round(cuts[98], 3),
            "processor_ms_all_instances": round(processor / JOBS_TIMED * 1000, 3),
        }
    figures["deadline"] = time_deadlines(nodes[0])
    for node in nodes:
        node.jobs.stop()
        node.transport.stop()
    return figures


def time_deadlines(node) -> dict:
    """Return how long before the caller's timeout the answers of jobs that never end are there."""
    dispatcher = node.jobs.node.dispatcher
    dispatcher.task_s = 60.0
    left = []

    def call(number):
        request = explore_region.request_of(f"late-{number}", tasks=1, timeout_s=DEADLINE_S)
        started = time.perf_counter()
        final = node.jobs.submit(request)
        assert final.code is code.Code.DEADLINE, final
        left.append((started + DEADLINE_S - time.perf_counter()) * 1000)

    tasks = []
    for number in range(DEADLINE_JOBS):
        tasks.append(node.clock.spawn(call, number))
        node.clock.sleep(DEADLINE_S / DEADLINE_JOBS)
    for task in tasks:
        task.wait()
    return {
        "jobs": DEADLINE_JOBS,
        "timeout_s": DEADLINE_S,
        "median_ms_left": round(statistics.median(left), 2),
        "least_ms_left": round(min(left), 2),
        "answered_after_the_timeout": sum(one < 0 for one in left),
    }


def claim_request(number: int) -> messages.ClaimRequest:
    """Return a claim with an id of 36 characters and a digest of 16 bytes."""
    job_id = f"{number:08x}-0000-4000-8000-{number:012x}"
    return messages.ClaimRequest(job_id, 1, number.to_bytes(16, "big"), 0.0, number, ("a#1", "b#1"))


def measure_memory() -> dict:
    """Return bytes and processor time of a claim at a registrar."""
    table = registrar.Registrar(120.0, 2 * CLAIMS_HELD)
    holder = peer.Peer("dc1a", 1, "dc1", "127.0.0.1:1")
    # Collections look at the claims alone, not at what was measured before.
    gc.collect()
    gc.freeze()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(CLAIMS_HELD):
        table.grant(holder, claim_request(number), number / 1000)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.perf_counter()
    gc.collect()
    collection_s = time.perf_counter() - started
    gc.unfreeze()
    requests = [claim_request(CLAIMS_HELD + number) for number in range(20_000)]
    started = time.process_time()
    for request in requests:
        table.conflict(holder, request, 0.0)
        table.grant(holder, request, 0.0)
    spent = time.process_time() - started
    return {
        "claims": CLAIMS_HELD,
        "bytes_each": round(held / CLAIMS_HELD, 1),
        "full_garbage_collection_ms": round(collection_s * 1000, 1),
        "decision_us": round(spent / len(requests) * 1e6, 2),
    }


def measure_change() -> dict:
    """Return what a join costs an instance that holds many claims, one third of them its own."""
    region = explore_region.Region({"dc1": 50})
    region.settle(5.0)
    node = region.nodes["dc1a"].jobs.node
    others = [one.peer for one in region.nodes.values()][1:]
    for number in range(CLAIMS_HELD):
        holder = node.own if number % 3 == 0 else others[number % len(others)]
        node.registrar.grant(holder, claim_request(number), node.now())
    stretches = []
    own_sleep = node.runtime.sleep
    started = time.process_time()
    last = [started]

    def sleep(seconds):
        stretches.append(time.process_time() - last[0])
        own_sleep(seconds)
        last[0] = time.process_time()

    node.runtime.sleep = sleep
    joined = region.new_peer("dc1x", "dc1", 1)
    region.states["dc1x"] = member.Member(joined, member.State.LIVE)
    view = region.view()
    members = authority.members_of(view, "dc1")
    node.authority.members = members
    moves = region.clock.call(handover.plan_transfers, node, members)
    return {
        "members": 50,
        "claims": CLAIMS_HELD,
        "claims_to_move": sum(len(moved) for moved in moves.values()),
        "processor_s": round(time.process_time() - started, 3),
        "longest_stretch_ms": round(max(stretches) * 1000, 2),
    }


def run_wave() -> dict:
    """Return what 10,000 resubmissions get right after one of six instances died."""
    region = build(SHAPES["weighbridge, 3 data centres of 2"])
    names = list(region.nodes)
    for node in region.nodes.values():
        node.dispatcher.task_s = 0.5
    for number in range(WAVE_JOBS):
        request = explore_region.request_of(f"job-{number}", 1, tasks=WAVE_TASKS, timeout_s=10)
        region.submit(names[number % len(names)], request)
    region.settle(0.25)
    dead = names[0]
    region.crash(dead)
    held_by_dead = {f"job-{number}" for number in range(0, WAVE_JOBS, len(names))}

    def detect():
        region.clock.sleep(DETECTION_S)
        region.declare_dead(dead)

    region.clock.spawn(detect)
    first_calls = len(region.calls)
    before = len(region.network.log)
    for number in range(WAVE_JOBS):
        name = names[1 + number % (len(names) - 1)]
        request = explore_region.request_of(
            f"job-{number}", 2, age_s=0.25, tasks=WAVE_TASKS, timeout_s=8
        )
        region.submit(name, request)
    region.settle(10.0)
    calls = region.calls[first_calls:]
    by_ran = {ran.value: 0 for ran in answer.Ran}
    by_code: dict[str, int] = {}
    unknown_elsewhere = 0
    for call in calls:
        final = call.answer
        by_code[final.code.value] = by_code.get(final.code.value, 0) + 1
        by_ran[final.ran.value] += not final.is_complete
        is_elsewhere = final.job_id not in held_by_dead
        unknown_elsewhere += final.ran is answer.Ran.UNKNOWN and is_elsewhere
    faults = region.violations()
    return {
        "jobs": WAVE_JOBS,
        "held_by_the_dead_instance": len(held_by_dead),
        "whole": sum(call.answer.is_complete for call in calls),
        "failed_by_ran": by_ran,
        "by_code": by_code,
        "unknown_of_jobs_held_elsewhere": unknown_elsewhere,
        "starts_of_one_task_at_most": region.starts.max_starts_per_task(),
        "promises_broken": len(faults),
        "messages_each": round((len(region.network.log) - before) / WAVE_JOBS, 2),
    }


def main() -> int:
    """Run all and write the results."""
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
        "join": measure_change(),
        "wave": run_wave(),
    }
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(report, indent=2) + "\n")
    print(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
