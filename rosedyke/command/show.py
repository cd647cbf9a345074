"""``rosedyke show``: show the configuration files of all teams."""

from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import ports, storage

Team = Annotated[
    str | None, cyclopts.Parameter(help="Show only this team's file, as it was applied.")
]


def show(
    team: Team = None,
    /,
    *,
    store_urls: options.Store = options.DEFAULT_STORE,
    store_prefix: options.StorePrefix = options.DEFAULT_PREFIX,
    as_json: options.Json = False,
) -> int:
    """Show the current generation and the services of every team, with operator and time.

    With a team's name, print that team's file exactly as it was applied, so that it can be edited
    and applied again.

    Exit codes: 0 shown, 6 the store didn't answer, 9 there is no such team.

    For example:

    - `rosedyke show`
    - `rosedyke show weighbridge > weighbridge.toml`
    """
    access = store.connect(store_urls, store_prefix)
    try:
        intent = storage.read_intent(access.store, access.keys)
    except ports.StoreError as error:
        return store.report_unreachable(error, as_json)
    if team is not None and team not in intent.files:
        terminal.warn(f"there is no team {team!r}")
        return exit_codes.NOT_FOUND
    if as_json:
        files = [intent.files[name] for name in sorted(intent.files) if team in (None, name)]
        terminal.print_json({"generation": intent.head.generation, "teams": files})
    elif team is not None:
        print(intent.files[team].text, end="")
    else:
        _print_intent(intent)
    return exit_codes.OK


def _print_intent(intent: storage.StoredIntent) -> None:
    print(f"generation {intent.head.generation}, {len(intent.files)} teams")
    for name in sorted(intent.files):
        team_file = intent.files[name]
        print(f"\nteam {name}: applied by {team_file.operator} at {team_file.time}", end="")
        print(f", generation {team_file.generation}")
        try:
            team = team_file.as_intent().decode()
        except storage.RecordMalformed as error:
            print(f"  this version can't read the file: {error}")
            continue
        quota = f"{team.quota} tasks" if team.quota else "none"
        print(f"  quota: {quota}")
        for service in team.services:
            _print_service(service)


def _print_service(service) -> None:
    tasks = ", ".join(task.name for task in service.tasks)
    slots = sum(server.slots for server in service.servers)
    data_centres = sorted({server.data_centre for server in service.servers})
    objective = service.objective
    print(f"  service {service.name}")
    print(f"    tasks: {tasks}")
    print(f"    servers: {len(service.servers)} with {slots} slots in {', '.join(data_centres)}")
    print(f"    objective: {objective.share:.4%} within {objective.response_s:g} s")
    concurrency_limit = service.limits.concurrency or "the slots"
    print(
        f"    limits: {concurrency_limit} concurrent, {service.limits.queue} queued per data centre"
    )


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(show, name="show")
