"""``rosedyke status``: show the status of instances and backend servers."""

import collections

import attrs
import cyclopts

from rosedyke.command import exit_codes, fetch, options, terminal
from rosedyke.daemon import operator_api

PATH = "/v1/operator/status"


@attrs.frozen
class ServerSummary:
    """Status of a backend server, combined from all instances.

    Attributes
    ----------
    name : str
        Name of the server.
    service : str
        Service whose tasks it runs.
    data_centre : str
        Data centre of the server.
    slots : int
        Number of its slots.
    in_use : int or None
        Number of slots in use as reported by their owner, None if no owner was reached.
    state : str
        The worst state reported by an instance; ``unknown`` if no owner was reached.
    """

    name: str
    service: str
    data_centre: str
    slots: int
    in_use: int | None
    state: str


@attrs.frozen
class FleetStatus:
    """JSON document printed with ``--json``."""

    instances: dict[str, operator_api.InstanceStatus]
    servers: tuple[ServerSummary, ...]
    unreachable: dict[str, str]


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(status)


def status(*, instances: options.Instances = (), json: options.Json = False) -> int:
    """Show instances, their membership views and configurations, and backend servers.

    An instance that is not ready shows the reason. An instance with an older generation has not
    received the newest configuration yet. Instances that don't list each other as live can't
    answer for each other's jobs.

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
        print_status(fleet)
    return exit_codes.OK if fetched.values else exit_codes.UNREACHABLE


def summarise_servers(
    instances: list[operator_api.InstanceStatus],
) -> tuple[ServerSummary, ...]:
    """Return the backend servers of the newest configuration, in name order."""
    if not instances:
        return ()
    newest = max(instances, key=lambda candidate: candidate.generation)
    statuses_by_name = collections.defaultdict(list)
    for instance in instances:
        for server in instance.servers:
            statuses_by_name[server.name].append(server)
    return tuple(
        _summarise_server(server, statuses_by_name[server.name])
        for server in sorted(newest.servers, key=lambda status: status.name)
    )


def _summarise_server(server, statuses):
    slots_in_use = [status.in_use for status in statuses if status.in_use is not None]
    bad_states = [status.state for status in statuses if status.state not in ("ok", "unknown")]
    good_state = "ok" if any(status.state == "ok" for status in statuses) else "unknown"
    return ServerSummary(
        server.name,
        server.service,
        server.data_centre,
        server.slots,
        sum(slots_in_use) if slots_in_use else None,
        bad_states[0] if bad_states else good_state,
    )


def summarise_members(instance: operator_api.InstanceStatus) -> str:
    """Return the number of live members and the state of each other member."""
    live = sum(member.state == "live" for member in instance.members)
    other_members = [
        f"{member.name} {member.state}" for member in instance.members if member.state != "live"
    ]
    return f"{live} live" + "".join(f", {member_text}" for member_text in other_members)


def print_status(fleet: FleetStatus) -> None:
    """Print the tables of instances and backend servers."""
    console = terminal.console()
    table = terminal.table(
        "Entry instances",
        *("instance", "data centre", "address", "generation", "ready", "requests", "up", "members"),
        right_aligned=("generation", "requests", "up"),
    )
    for address, instance in sorted(fleet.instances.items(), key=lambda pair: pair[1].name):
        table.add_row(
            instance.name,
            instance.data_centre,
            address,
            str(instance.generation),
            "yes" if instance.ready else instance.reason,
            str(instance.requests),
            f"{instance.uptime_s:.0f} s",
            summarise_members(instance),
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
        right_aligned=("slots", "in use"),
    )
    for server in fleet.servers:
        in_use_text = "?" if server.in_use is None else str(server.in_use)
        table.add_row(
            server.name,
            server.service,
            server.data_centre,
            str(server.slots),
            in_use_text,
            server.state,
        )
    console.print(table)
