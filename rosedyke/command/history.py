"""``rosedyke history``: list changes of the configuration, or look up one by its id."""

from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import changelog, ports, storage

Limit = Annotated[int, cyclopts.Parameter(name="--limit", help="Maximum number of changes.")]
ChangeId = Annotated[
    str, cyclopts.Parameter(name="--change", help="Show whether this change took effect.")
]
After = Annotated[
    int, cyclopts.Parameter(name="--after", help="Generation that --change was based on.")
]


def history(
    *,
    store_urls: options.Store = options.DEFAULT_STORE,
    store_prefix: options.StorePrefix = options.DEFAULT_PREFIX,
    limit: Limit = 20,
    change_id: ChangeId = "",
    after: After = 0,
    as_json: options.Json = False,
) -> int:
    """Show the last changes, or whether a change with a lost reply took effect.

    With --change: exit 0 the change took effect, 9 it didn't and never will, 5 it may still take
    effect; applying the files again is safe and resolves this too.

    For example:

    - `rosedyke history --limit 5`
    - `rosedyke history --change 4be1d0 --after 17`
    """
    access = store.connect(store_urls, store_prefix)
    try:
        if change_id:
            return _look_up_change(access, change_id, after, as_json)
        head_reading = access.store.read(ports.KeyRange(access.keys.head))
        generation = max(
            (
                storage.decode(entry.value, storage.Head).generation
                for entry in head_reading.entries
            ),
            default=0,
        )
        records = changelog.read(access.store, access.keys, generation - limit + 1)
    except ports.StoreError as error:
        return store.report_unreachable(error, as_json)
    if as_json:
        terminal.print_json({"generation": generation, "changes": records})
        return exit_codes.OK
    for record in reversed(records):
        change_list = ", ".join(f"{entry.action} {entry.team}" for entry in record.changes)
        print(f"{record.generation:>6}  {record.time}  {record.operator}: {change_list}")
    return exit_codes.OK


def _look_up_change(access: store.StoreAccess, change_id: str, after: int, as_json: bool) -> int:
    settlement = changelog.resolve_change(access.store, access.keys, change_id, after)
    exit_code, outcome, text = {
        changelog.State.ACCEPTED: (exit_codes.OK, "accepted", "took effect"),
        changelog.State.SUPERSEDED: (
            exit_codes.NOT_FOUND,
            "not accepted",
            "did not take effect and never will",
        ),
        changelog.State.PENDING: (
            exit_codes.UNKNOWN,
            "unknown",
            "may still take effect; apply the same files again to resolve it",
        ),
    }[settlement.state]
    if as_json:
        terminal.print_json(
            {"outcome": outcome, "generation": settlement.generation, "by": settlement.record}
        )
        return exit_code
    print(f"{outcome}: the change {change_id} {text} (generation {settlement.generation})")
    if settlement.state is changelog.State.SUPERSEDED and settlement.record is not None:
        record = settlement.record
        print(f"  generation {record.generation} was made by {record.operator} at {record.time}")
    return exit_code


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(history, name="history")
