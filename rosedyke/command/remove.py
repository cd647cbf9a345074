"""``rosedyke remove``: remove a team's configuration file."""

from typing import Annotated

import cyclopts

from rosedyke.command import options, rollout, store, terminal
from rosedyke.command.apply import Expect, Wait, WaitTimeout
from rosedyke.configuration import change, plan

Team = Annotated[str, cyclopts.Parameter(help="The team whose file is removed.")]


def remove(
    team: Team,
    /,
    *,
    store_urls: options.Store = options.DEFAULT_STORE,
    store_prefix: options.StorePrefix = options.DEFAULT_PREFIX,
    operator: options.Operator = "",
    expect: Expect = None,
    wait: Wait = False,
    wait_timeout_s: WaitTimeout = 30.0,
    instances: options.Instances = (),
    as_json: options.Json = False,
) -> int:
    """Remove a team's file: its services refuse new jobs once the change is in force.

    The outcomes and exit codes are those of apply. Removing a file that doesn't exist changes
    nothing.

    For example:

    - `rosedyke remove press-line`
    """
    if wait and not instances:
        return terminal.warn_no_instances()
    access = store.connect(store_urls, store_prefix)
    proposal = plan.Proposal(
        (),
        (team,),
        options.operator_name(operator),
        store.utc_timestamp(),
        expected_generation=expect,
    )
    result = change.apply(access.store, access.keys, access.runtime, proposal)
    return rollout.print_and_wait(result, wait, instances, wait_timeout_s, as_json)


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(remove, name="remove")
