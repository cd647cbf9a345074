"""``rosedyke apply``: apply configuration files in one atomic change."""

from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, options, rollout, store, terminal
from rosedyke.configuration import change, plan

Wait = Annotated[
    bool,
    cyclopts.Parameter(
        negative=(), help="Wait until the change is in force at every one of --instances."
    ),
]
WaitTimeout = Annotated[
    float, cyclopts.Parameter(name="--wait-timeout", help="Maximum seconds to wait with --wait.")
]
Expect = Annotated[
    int | None,
    cyclopts.Parameter(
        name="--expect",
        help="Generation that the change is based on (from show or diff): a later change of the "
        "same teams' files is then a conflict.",
    ),
]


def apply(
    files: options.Files,
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
    """Apply the files of one or more teams in one atomic change.

    The files are checked together with those of all other teams. The outcome is one of

    - accepted (exit 0): stored, and soon in force at every instance;
    - rejected (3): the files have faults, all of which are listed;
    - conflict (4): another operator changed the same files first;
    - unknown (5): the store's reply was lost; the output names the command that checks the result;
    - unreachable (6): the store didn't answer, nothing was changed.

    Applying the same files again is safe: unchanged files stay as they are.

    For example:

    - `rosedyke apply weighbridge.toml`
    - `rosedyke apply weighbridge.toml press-line.toml`
    - `rosedyke apply weighbridge.toml --wait --instances 10.0.0.1:8081 10.0.0.2:8081`
    """
    if not files:
        terminal.warn("apply needs at least one file")
        return exit_codes.USAGE
    if wait and not instances:
        return terminal.warn_no_instances()
    access = store.connect(store_urls, store_prefix)
    proposal = plan.Proposal(
        store.parse_files(files),
        (),
        options.operator_name(operator),
        store.utc_timestamp(),
        expected_generation=expect,
    )
    result = change.apply(access.store, access.keys, access.runtime, proposal)
    return rollout.print_and_wait(result, wait, instances, wait_timeout_s, as_json)


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(apply, name="apply")
