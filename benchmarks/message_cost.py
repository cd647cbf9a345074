"""Measures the processor time of one request between two instances, with its reply.

Two transports exchange renewals on loopback in one process, one at a time, so each message has
wake-ups of its own, as between idle instances.

    .venv/bin/python -W ignore -m benchmarks.message_cost [--rounds N] [FOLDER ...]

Each folder is a working copy whose code is measured, by default this one.  All folders are measured
at the same time, so that other load affects them alike.
"""

import argparse
import os
import pathlib
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUESTS = 3000
POOLS, SERVERS = 2, 12


def measure_us() -> float:
    """Return the processor time of one request in microseconds, for both instances."""
    import eventlet

    eventlet.monkey_patch(thread=False, os=False)
    from rosedyke.daemon import eventlet_runtime
    from rosedyke.rerunnable_jobs import messages
    from rosedyke.wire import peer, settings, transport

    runtime = eventlet_runtime.GreenRuntime()
    transports = []
    for name in ("a-1", "a-2"):
        options = settings.TransportSettings(name, "a", "127.0.0.1:0", is_network_trusted=True)
        transports.append(transport.Transport(options, runtime))
        transports[-1].start()
    sender, receiver = transports
    versions = {"servers": messages.DocumentVersion(1, 2, 0.1)}
    instance = messages.Instance("a-1", sender.own.address, "a")
    renewal = messages.Renew(instance, (), 1.0, 5, versions, {"a/r1": (7, 1, 1)}, 11)
    reports = tuple(
        messages.PoolReport(
            f"a/r{number}", 7, 0.1, {1000: (100,) * SERVERS}, 1000, {}, None, 1, 0.0, 1e6, 1
        )
        for number in range(POOLS)
    )
    reply = messages.RenewReply(None, (), 2.0, reports, (), 5, versions)
    receiver.handle(messages.Renew, lambda sender, message: reply, may_block=False)
    target = peer.at_address(receiver.own.address)
    for _ in range(100):
        sender.request(target, renewal, 5.0)
    started = time.process_time()
    for _ in range(REQUESTS):
        sender.request(target, renewal, 5.0)
    return (time.process_time() - started) / REQUESTS * 1e6


def measure_together(folders: list[pathlib.Path]) -> list[float]:
    """Return the results of all folders, each measured by a process of its own."""
    command = [sys.executable, "-W", "ignore", __file__, "--case"]
    processes = [
        subprocess.Popen([*command, str(folder)], stdout=subprocess.PIPE, text=True)
        for folder in folders
    ]
    return [float(process.communicate()[0]) for process in processes]


def main() -> None:
    """Run the measurements and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folders", nargs="*", type=pathlib.Path, default=[ROOT])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--case", type=pathlib.Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.case:
        sys.path.insert(0, str(options.case))
        print(measure_us())
        return
    folders = [folder.resolve() for folder in options.folders]
    rounds = [measure_together(folders) for _ in range(options.rounds)]
    for folder, results in zip(folders, zip(*rounds, strict=True), strict=True):
        median, lowest = statistics.median(results), min(results)
        print(f"{folder}: median {median:.0f} us, lowest {lowest:.0f} us a request")
    print(f"load {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    main()
