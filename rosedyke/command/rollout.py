"""Waits until a generation is in force at every instance, and prints the progress."""

import sys
import time

import attrs
import msgspec

from rosedyke.command import exit_codes, fetch, outcome, terminal
from rosedyke.configuration import change

POLL_PERIOD_S = 0.1
STATUS_PATH = "/v1/operator/status"
STATUS_TIMEOUT_S = 2.0


@attrs.frozen
class InstanceGeneration:
    """Fields of an instance's status that identify its configuration generation."""

    name: str = ""
    data_centre: str = ""
    generation: int = 0


@attrs.frozen
class Progress:
    """Rollout of a generation to instances.

    Attributes
    ----------
    generation : int
        The generation awaited.
    instances : dict of str to InstanceGeneration
        Last answer of each instance, by address.
    behind : dict of str to str
        Reason by address, for instances not known to have the generation.
    seconds : float
        Duration of the wait.
    """

    generation: int
    instances: dict[str, InstanceGeneration]
    behind: dict[str, str]
    seconds: float


_decoder = msgspec.json.Decoder(InstanceGeneration)


def wait_until(generation: int, addresses: tuple[str, ...], timeout_s: float) -> Progress:
    """Poll the instances until all have the generation or the timeout is reached."""
    started_at = time.monotonic()
    instances: dict[str, InstanceGeneration] = {}
    behind = dict.fromkeys(addresses, "not polled yet")
    while True:
        fetched = fetch.fetch_all(tuple(behind), STATUS_PATH, _decoder.decode, STATUS_TIMEOUT_S)
        instances |= fetched.values
        behind = dict(fetched.unreachable)
        for address, instance in fetched.values.items():
            if instance.generation < generation:
                behind[address] = f"{instance.name} has generation {instance.generation}"
        elapsed_s = time.monotonic() - started_at
        _print_progress_line(generation, len(addresses) - len(behind), len(addresses))
        if not behind or elapsed_s >= timeout_s:
            return Progress(generation, instances, behind, elapsed_s)
        time.sleep(min(POLL_PERIOD_S, timeout_s - elapsed_s))


def print_and_wait(
    result: change.Outcome,
    wait: bool,
    addresses: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> int:
    """Print an outcome, wait for the rollout of an accepted one, and return the exit code."""
    report = outcome.report(result)
    exit_code = report.exit_code
    document = dict(report.document)
    if not as_json:
        print("\n".join(report.lines))
    if wait and isinstance(result, change.Accepted):
        progress = wait_until(result.generation, addresses, timeout_s)
        exit_code = exit_codes.NOT_IN_FORCE if progress.behind else exit_codes.OK
        document["in_force"] = progress
        if not as_json:
            _print_progress(progress, len(addresses))
    if as_json:
        terminal.print_json(document)
    return exit_code


def _print_progress(progress: Progress, total: int) -> None:
    for address, reason in progress.behind.items():
        print(f"  behind: {address}: {reason}")
    done = total - len(progress.behind)
    print(
        f"generation {progress.generation} in force at {done} of {total} instances"
        f" after {progress.seconds:.1f} s"
    )


def _print_progress_line(generation: int, done: int, total: int) -> None:
    if sys.stderr.isatty():
        end = "\n" if done == total else "\r"
        text = f"generation {generation} in force at {done} of {total} instances"
        print(text, end=end, file=sys.stderr, flush=True)
