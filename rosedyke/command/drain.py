"""``rosedyke drain``: shut an instance down without cutting off a request."""

import time
from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, fetch, terminal
from rosedyke.command import status as status_command
from rosedyke.daemon import operator_api

PATH = "/v1/operator/drain"
POLL_S = 0.2


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(drain)


def drain(
    instance: Annotated[str, cyclopts.Parameter(help="Operator address of the instance, ip:port.")],
    /,
    *,
    wait: Annotated[
        bool, cyclopts.Parameter(help="Wait until the instance has ended.", negative="--no-wait")
    ] = True,
    timeout_s: Annotated[float, cyclopts.Parameter(help="Longest wait in seconds.")] = 90.0,
) -> int:
    """Shut one instance down gracefully.

    It stops being ready, finishes the jobs that it has, hands over what the others need to answer
    for them, leaves its data centre and ends. Drain one instance of a data centre at a time.

    Exit codes: 0 ended (or begun, with --no-wait), 1 still draining, 6 not reached.

    For example:

    - `rosedyke drain 10.0.0.1:8081`
    """
    try:
        status = fetch.request("POST", instance, PATH, operator_api.decode_status, fetch.TIMEOUT_S)
    except fetch.InstanceUnreachable as error:
        terminal.warn(f"{instance}: {error}")
        return exit_codes.UNREACHABLE
    print(f"{status.name} drains, {status.requests} requests in progress")
    if not wait:
        return exit_codes.OK
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            fetch.request(
                "GET", instance, status_command.PATH, operator_api.decode_status, fetch.TIMEOUT_S
            )
        except fetch.InstanceUnreachable:
            print(f"{status.name} has ended")
            return exit_codes.OK
        time.sleep(POLL_S)
    terminal.warn(f"{status.name} still drains after {timeout_s:g} s")
    return exit_codes.FAILED
