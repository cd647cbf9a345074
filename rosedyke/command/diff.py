"""``rosedyke diff``: show what applying files would change."""

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
    """Show what applying the files would change, and the faults that would be reported.

    Pass the printed generation to apply --expect, so that a change made in between causes a
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
        stored_intent = storage.read_intent(access.store, access.keys)
    except ports.StoreError as error:
        return store.report_unreachable(error, as_json)
    diagnostics = plan.check_proposal(stored_intent, proposal)
    is_rejected = diagnostic.has_errors(diagnostics)
    lines = () if is_rejected else plan.difference(stored_intent, proposal)
    if as_json:
        generation = stored_intent.head.generation
        terminal.print_json({"generation": generation, "difference": lines, "faults": diagnostics})
    else:
        for line in (*map(str, diagnostics), *lines):
            print(line)
        print(
            f"generation {stored_intent.head.generation}: {'differs' if lines else 'no difference'}"
        )
    if is_rejected:
        return exit_codes.REJECTED
    return exit_codes.DIFFERS if lines else exit_codes.OK


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(diff, name="diff")
