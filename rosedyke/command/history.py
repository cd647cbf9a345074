"""``rosedyke history``: who changed what and when, and what became of a lost change."""

from typing import Annotated

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import changelog, ports, storage

Limit = Annotated[int, cyclopts.Parameter(name="--limit", help="How many changes at most.")]
Change = Annotated[
    str, cyclopts.Parameter(name="--change", help="Tell whether this change took effect.")
]
After = Annotated[
    int, cyclopts.Parameter(name="--after", help="The generation that --change was made on.")
]


def history(
    *,
    store_urls: options.Store = options.DEFAULT_STORE,
    store_prefix: options.StorePrefix = options.DEFAULT_PREFIX,
    limit: Limit = 20,
    change_id: Change = "",
    after: After = 0,
    as_json: options.Json = False,
) -> int:
    """Show the last changes, or settle one whose answer was lost.

    With --change: exit 0 the change took effect, 9 it didn't and never will, 5 it may still be on
    its way; applying the files again is safe and settles that too.

    For example:

    - `rosedyke history --limit 5`
    - `rosedyke history --change 4be1d0 --after 17`
    """
    access = store.connect(store_urls, store_prefix)
    try:
        if change_id:
            return _settle(access, change_id, after, as_json)
        seen = access.store.read(ports.KeyRange(access.keys.head))
        generation = max(
            (storage.decode(each.value, storage.Head).generation for each in seen.entries),
            default=0,
        )
        records = changelog.read(access.store, access.keys, generation - limit + 1)
    except ports.StoreError as error:
        return store.fail(error, as_json)
    if as_json:
        terminal.print_json({"generation": generation, "changes": records})
        return exit_codes.OK
    for record in reversed(records):
        what = ", ".join(f"{each.action} {each.team}" for each in record.changes)
        print(f"{record.generation:>6}  {record.time}  {record.operator}: {what}")
    return exit_codes.OK


def _settle(access: store.Access, change_id: str, after: int, as_json: bool) -> int:
    found = changelog.resolve_change(access.store, access.keys, change_id, after)
    exit_code, word, text = {
        changelog.State.ACCEPTED: (exit_codes.OK, "accepted", "took effect"),
        changelog.State.SUPERSEDED: (
            exit_codes.NOT_FOUND,
            "not accepted",
            "did not take effect and never will",
        ),
        changelog.State.PENDING: (
            exit_codes.UNKNOWN,
            "unknown",
            "may still be on its way; apply the same files again to settle it",
        ),
    }[found.state]
    if as_json:
        terminal.print_json({"outcome": word, "generation": found.generation, "by": found.record})
        return exit_code
    print(f"{word}: the change {change_id} {text} (generation {found.generation})")
    if found.state is changelog.State.SUPERSEDED and found.record is not None:
        record = found.record
        print(f"  generation {record.generation} was made by {record.operator} at {record.time}")
    return exit_code


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(history, name="history")
