"""``rosedyke diff``: what applying files would change."""

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import diagnostic, plan, ports, storage


def diff(
    files: options.Files,
    /,
    *,
    store_urls: options.Store = options.DEFAULT_STORE,
    store_prefix: options.StorePrefix = options.DEFAULT_PREFIX,
    as_json: options.Json = False,
) -> int:
    """Show what applying the files would change, and the faults it would meet.

    Give the generation that it prints to apply --expect, and a change made in between is a
    conflict instead of being overwritten.

    Exit codes: 0 no difference, 3 the files have faults, 6 the store didn't answer, 8 they differ.

    For example:

    - `rosedyke diff weighbridge.toml`
    """
    if not files:
        terminal.warn("diff needs at least one file")
        return exit_codes.USAGE
    access = store.connect(store_urls, store_prefix)
    proposal = plan.Proposal(store.parse_files(files), (), "", "")
    try:
        seen = storage.read_intent(access.store, access.keys)
    except ports.StoreError as error:
        return store.fail(error, as_json)
    found = plan.check_proposal(seen, proposal)
    is_wrong = diagnostic.has_errors(found)
    lines = () if is_wrong else plan.difference(seen, proposal)
    if as_json:
        generation = seen.head.generation
        terminal.print_json({"generation": generation, "difference": lines, "faults": found})
    else:
        for line in (*map(str, found), *lines):
            print(line)
        print(f"generation {seen.head.generation}: {'differs' if lines else 'no difference'}")
    if is_wrong:
        return exit_codes.REJECTED
    return exit_codes.DIFFERS if lines else exit_codes.OK


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(diff, name="diff")
