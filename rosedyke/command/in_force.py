"""Waits until a generation is in force at every instance, and shows the progress."""

import json
import sys
import time

import attrs
import urllib3
from urllib3 import exceptions

from rosedyke.command import exit_codes, outcome, store
from rosedyke.configuration import change

POLL_S = 0.1
STATUS_PATH = "/v1/operator/status"
STATUS_TIMEOUT_S = 2.0


@attrs.frozen
class InstanceState:
    """What one instance said last.

    Attributes
    ----------
    address : str
        ``ip:port`` of its HTTP interface.
    name : str
        Its name, empty until it answered.
    data_centre : str
        Where it runs.
    generation : int
        What is in force there, 0 for nothing or no answer.
    detail : str
        Why there is no answer.
    """

    address: str
    name: str = ""
    data_centre: str = ""
    generation: int = 0
    detail: str = ""


def ask(pool: urllib3.PoolManager, address: str) -> InstanceState:
    """Return what an instance says."""
    try:
        response = pool.request(
            "GET", f"http://{address}{STATUS_PATH}", timeout=STATUS_TIMEOUT_S, retries=False
        )
        document = json.loads(response.data)
        return InstanceState(
            address,
            str(document.get("name", "")),
            str(document.get("data_centre", "")),
            int(document.get("generation") or 0),
        )
    except (exceptions.HTTPError, ValueError, AttributeError, TypeError) as error:
        return InstanceState(address, detail=str(error) or type(error).__name__)


def wait_until(
    generation: int, addresses: tuple[str, ...], timeout_s: float
) -> tuple[InstanceState, ...]:
    """Ask until every instance has the generation or the time is over; return their last words."""
    pool = urllib3.PoolManager(maxsize=1)
    states = {address: InstanceState(address) for address in addresses}
    deadline = time.monotonic() + timeout_s
    while True:
        for address, state in states.items():
            if state.generation < generation:
                states[address] = ask(pool, address)
        behind = [state for state in states.values() if state.generation < generation]
        _show_progress(generation, len(states) - len(behind), len(states))
        if not behind or time.monotonic() >= deadline:
            return tuple(states.values())
        time.sleep(POLL_S)


def show_and_wait(
    result: change.Outcome,
    report: outcome.Report,
    wait: bool,
    instances: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> int:
    """Show an outcome, wait for an accepted one if asked to, and return the exit code."""
    if not as_json:
        for line in report.lines:
            print(line)
    exit_code = report.exit_code
    document = dict(report.document)
    if wait and isinstance(result, change.Accepted):
        started = time.monotonic()
        states = wait_until(result.generation, instances, timeout_s)
        seconds = time.monotonic() - started
        behind = [state for state in states if state.generation < result.generation]
        exit_code = exit_codes.NOT_IN_FORCE if behind else exit_codes.OK
        document["instances"] = states
        document["in_force"] = not behind
        if not as_json:
            _show_states(result.generation, states, behind, seconds)
    if as_json:
        store.print_json(document)
    return exit_code


def _show_states(generation, states, behind, seconds) -> None:
    for state in behind:
        said = state.detail or f"has generation {state.generation}"
        print(f"  behind: {state.name or state.address}: {said}")
    count = len(states) - len(behind)
    print(f"generation {generation} in force at {count} of {len(states)} in {seconds:.1f} s")


def _show_progress(generation: int, done: int, total: int) -> None:
    if sys.stderr.isatty():
        end = "\n" if done == total else "\r"
        text = f"generation {generation} in force at {done} of {total} instances"
        print(text, end=end, file=sys.stderr, flush=True)
