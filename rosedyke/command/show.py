"""``rosedyke show``: the whole present intent from one place."""

from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import ports, storage

Team = Annotated[
    str | None, cyclopts.Parameter(help="Show this team's file as it was applied, and only that.")
]


def show(
    team: Team = None,
    /,
    *,
    store_urls: options.Store = options.DEFAULT_STORE,
    store_prefix: options.StorePrefix = options.DEFAULT_PREFIX,
    as_json: options.Json = False,
) -> int:
    """Show the present intent: its generation and every team, with who applied what and when.

    With a team's name, print that team's file exactly as it was applied, ready to be changed and
    applied again.

    Exit codes: 0 shown, 6 the store didn't answer, 9 there is no such team.

    For example:

    - `rosedyke show`
    - `rosedyke show weighbridge > weighbridge.toml`
    """
    access = store.connect(store_urls, store_prefix)
    try:
        seen = storage.read_intent(access.store, access.keys)
    except ports.StoreError as error:
        return store.fail(error, as_json)
    if team is not None and team not in seen.files:
        terminal.warn(f"there is no team {team!r}")
        return exit_codes.NOT_FOUND
    if as_json:
        files = [seen.files[name] for name in sorted(seen.files) if team in (None, name)]
        terminal.print_json({"generation": seen.head.generation, "teams": files})
    elif team is not None:
        print(seen.files[team].text, end="")
    else:
        _show_all(seen)
    return exit_codes.OK


def _show_all(seen: storage.StoredIntent) -> None:
    print(f"generation {seen.head.generation}, {len(seen.files)} teams")
    for name in sorted(seen.files):
        each = seen.files[name]
        print(f"\nteam {name}: applied by {each.operator} at {each.time}", end="")
        print(f", generation {each.generation}")
        try:
            team = each.as_intent().decode()
        except storage.RecordMalformed as error:
            print(f"  this version can't read the file: {error}")
            continue
        quota = f"{team.quota} tasks" if team.quota else "none"
        print(f"  quota: {quota}")
        for service in team.services:
            _show_service(service)


def _show_service(service) -> None:
    tasks = ", ".join(task.name for task in service.tasks)
    slots = sum(server.slots for server in service.servers)
    places = sorted({server.data_centre for server in service.servers})
    objective = service.objective
    print(f"  service {service.name}")
    print(f"    tasks: {tasks}")
    print(f"    servers: {len(service.servers)} with {slots} slots in {', '.join(places)}")
    print(f"    objective: {objective.share:.4%} within {objective.response_s:g} s")
    limit = service.limits.concurrency or "the slots"
    print(f"    limits: {limit} at one time, {service.limits.queue} waiting in a data centre")


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(show, name="show")
