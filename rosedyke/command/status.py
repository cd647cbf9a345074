"""``rosedyke status``: every instance and backend server in one picture."""

import collections

import attrs
import cyclopts

from rosedyke.command import exit_codes, fetch, options, terminal
from rosedyke.daemon import operator_api

PATH = "/v1/operator/status"


@attrs.frozen
class ServerSummary:
    """One backend server over all instances.

    Attributes
    ----------
    name : str
        Its name.
    service : str
        Whose tasks it runs.
    data_centre : str
        Where it stands.
    slots : int
        What it has.
    in_use : int or None
        Slots in use by the instances that know, None if none does.
    state : str
        The worst that an instance says; ``unknown`` if none that was reached grants its slots.
    """

    name: str
    service: str
    data_centre: str
    slots: int
    in_use: int | None
    state: str


@attrs.frozen
class FleetStatus:
    """What ``--json`` prints."""

    instances: dict[str, operator_api.InstanceStatus]
    servers: tuple[ServerSummary, ...]
    unreachable: dict[str, str]


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(status)


def status(*, instances: options.Instances = (), json: options.Json = False) -> int:
    """Show instances, who sees whom, configurations in force, and backend servers.

    An instance that is not ready says why. A generation that is behind the others is still on its
    way there. Instances that don't see each other can't answer for each other's jobs.

    Exit codes: 0 at least one instance answered, 6 none did.

    For example:

    - `rosedyke status --instances 10.0.0.1:8081 10.0.0.2:8081`
    """
    if not instances:
        return terminal.warn_no_instances()
    fetched = fetch.fetch_all(instances, PATH, operator_api.decode_status)
    fleet = FleetStatus(
        fetched.values, summarise_servers(list(fetched.values.values())), fetched.unreachable
    )
    if json:
        terminal.print_json(fleet)
    else:
        print_fleet(fleet)
    return exit_codes.OK if fetched.values else exit_codes.UNREACHABLE


def summarise_servers(
    instances: list[operator_api.InstanceStatus],
) -> tuple[ServerSummary, ...]:
    """Return each backend server as the newest configuration has it, in name order."""
    if not instances:
        return ()
    newest = max(instances, key=lambda one: one.generation)
    known = collections.defaultdict(list)
    for instance in instances:
        for server in instance.servers:
            known[server.name].append(server)
    return tuple(
        _summarise(server, known[server.name])
        for server in sorted(newest.servers, key=lambda one: one.name)
    )


def _summarise(server, seen):
    counts = [one.in_use for one in seen if one.in_use is not None]
    bad = [one.state for one in seen if one.state not in ("ok", "unknown")]
    good = "ok" if any(one.state == "ok" for one in seen) else "unknown"
    return ServerSummary(
        server.name,
        server.service,
        server.data_centre,
        server.slots,
        sum(counts) if counts else None,
        bad[0] if bad else good,
    )


def sees(instance: operator_api.InstanceStatus) -> str:
    """Return in a few words whom an instance sees."""
    live = sum(one.state == "live" for one in instance.members)
    others = [f"{one.name} {one.state}" for one in instance.members if one.state != "live"]
    return f"{live} live" + "".join(f", {other}" for other in others)


def print_fleet(fleet: FleetStatus) -> None:
    """Print the tables."""
    console = terminal.console()
    table = terminal.table(
        "Entry instances",
        *("instance", "data centre", "address", "generation", "ready", "requests", "up", "sees"),
        right=("generation", "requests", "up"),
    )
    for address, one in sorted(fleet.instances.items(), key=lambda pair: pair[1].name):
        table.add_row(
            one.name,
            one.data_centre,
            address,
            str(one.generation),
            "yes" if one.ready else one.reason,
            str(one.requests),
            f"{one.uptime_s:.0f} s",
            sees(one),
        )
    for address, reason in sorted(fleet.unreachable.items()):
        table.add_row("?", "?", address, "", f"unreachable: {reason}")
    console.print(table)
    if not fleet.servers:
        return
    console.print()
    table = terminal.table(
        "Backend servers",
        *("server", "service", "data centre", "slots", "in use", "state"),
        right=("slots", "in use"),
    )
    for server in fleet.servers:
        used = "?" if server.in_use is None else str(server.in_use)
        table.add_row(
            server.name,
            server.service,
            server.data_centre,
            str(server.slots),
            used,
            server.state,
        )
    console.print(table)
