"""``rosedyke drain``: shut an instance down after its requests in progress."""

import time
from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, fetch, terminal
from rosedyke.command import status as status_command
from rosedyke.daemon import operator_api

PATH = "/v1/operator/drain"
POLL_PERIOD_S = 0.2


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(drain)


def drain(
    instance: Annotated[str, cyclopts.Parameter(help="Operator address of the instance, ip:port.")],
    /,
    *,
    wait: Annotated[
        bool, cyclopts.Parameter(help="Wait until the instance has exited.", negative="--no-wait")
    ] = True,
    timeout_s: Annotated[float, cyclopts.Parameter(help="Longest wait in seconds.")] = 90.0,
) -> int:
    """Shut one instance down gracefully.

    The instance refuses new jobs, finishes those in progress, transfers their claims and answers
    to other instances, leaves its data centre and exits. Drain one instance of a data centre at a
    time.

    Exit codes: 0 exited (or draining, with --no-wait), 1 still draining, 6 unreachable.

    For example:

    - `rosedyke drain 10.0.0.1:8081`
    """
    try:
        status = fetch.request(
            "POST", instance, PATH, operator_api.decode_status, fetch.REQUEST_TIMEOUT_S
        )
    except fetch.InstanceUnreachable as error:
        terminal.warn(f"{instance}: {error}")
        return exit_codes.UNREACHABLE
    print(f"{status.name} is draining, {status.requests} requests in progress")
    if not wait:
        return exit_codes.OK
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            fetch.request(
                "GET",
                instance,
                status_command.PATH,
                operator_api.decode_status,
                fetch.REQUEST_TIMEOUT_S,
            )
        except fetch.InstanceUnreachable:
            print(f"{status.name} has exited")
            return exit_codes.OK
        time.sleep(POLL_PERIOD_S)
    terminal.warn(f"{status.name} is still draining after {timeout_s:g} s")
    return exit_codes.FAILED
