"""Waits until a generation is in force at every instance, and shows the progress."""

import sys
import time

import attrs
import msgspec

from rosedyke.command import exit_codes, fetch, outcome, terminal
from rosedyke.configuration import change

POLL_S = 0.1
STATUS_PATH = "/v1/operator/status"
STATUS_TIMEOUT_S = 2.0


@attrs.frozen
class InstanceState:
    """The part of an instance's status that tells what is in force there."""

    name: str = ""
    data_centre: str = ""
    generation: int = 0


@attrs.frozen
class Progress:
    """Where a generation is in force.

    Attributes
    ----------
    generation : int
        What was waited for.
    instances : dict of str to InstanceState
        By address, what each instance said last.
    behind : dict of str to str
        By address, why an instance doesn't have it as far as is known.
    seconds : float
        How long the wait took.
    """

    generation: int
    instances: dict[str, InstanceState]
    behind: dict[str, str]
    seconds: float


_decoder = msgspec.json.Decoder(InstanceState)


def wait_until(generation: int, addresses: tuple[str, ...], timeout_s: float) -> Progress:
    """Ask until every instance has the generation or the time is over."""
    started = time.monotonic()
    instances: dict[str, InstanceState] = {}
    behind = dict.fromkeys(addresses, "not asked yet")
    while True:
        fetched = fetch.fetch_all(tuple(behind), STATUS_PATH, _decoder.decode, STATUS_TIMEOUT_S)
        instances |= fetched.values
        behind = dict(fetched.unreachable)
        for address, state in fetched.values.items():
            if state.generation < generation:
                behind[address] = f"{state.name} has generation {state.generation}"
        seconds = time.monotonic() - started
        _show_progress(generation, len(addresses) - len(behind), len(addresses))
        if not behind or seconds >= timeout_s:
            return Progress(generation, instances, behind, seconds)
        time.sleep(min(POLL_S, timeout_s - seconds))


def show_and_wait(
    result: change.Outcome,
    wait: bool,
    addresses: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> int:
    """Show an outcome, wait for an accepted one if asked to, and return the exit code."""
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
            _show(progress, len(addresses))
    if as_json:
        terminal.print_json(document)
    return exit_code


def _show(progress: Progress, total: int) -> None:
    for address, reason in progress.behind.items():
        print(f"  behind: {address}: {reason}")
    count = total - len(progress.behind)
    print(
        f"generation {progress.generation} in force at {count} of {total} instances"
        f" after {progress.seconds:.1f} s"
    )


def _show_progress(generation: int, done: int, total: int) -> None:
    if sys.stderr.isatty():
        end = "\n" if done == total else "\r"
        text = f"generation {generation} in force at {done} of {total} instances"
        print(text, end=end, file=sys.stderr, flush=True)
