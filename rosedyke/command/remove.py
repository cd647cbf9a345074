"""``rosedyke remove``: take a team's file out of force."""

from typing import Annotated

import cyclopts

from rosedyke.command import in_force, options, store, terminal
from rosedyke.command.apply import Expect, Wait, WaitTimeout
from rosedyke.configuration import change, plan

Team = Annotated[str, cyclopts.Parameter(help="The team whose file goes.")]


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
    """Remove a team's file: its services refuse new jobs as soon as that is in force.

    The outcomes and exit codes are those of apply. Removing what isn't there changes nothing.

    For example:

    - `rosedyke remove press-line`
    """
    if wait and not instances:
        return terminal.warn_no_instances()
    access = store.connect(store_urls, store_prefix)
    proposal = plan.Proposal(
        (), (team,), options.operator_name(operator), store.now_text(), expected_generation=expect
    )
    result = change.apply(access.store, access.keys, access.runtime, proposal)
    return in_force.show_and_wait(result, wait, instances, wait_timeout_s, as_json)


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(remove, name="remove")
