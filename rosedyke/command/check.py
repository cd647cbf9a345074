"""``rosedyke check``: all faults of files, without the store."""

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import check as set_check
from rosedyke.configuration import diagnostic


def check(files: options.Files, /, *, as_json: options.Json = False) -> int:
    """Check files offline, alone and together, and list every fault with its line.

    Warnings are for intent that is accepted but can hardly work, such as a task that fits no
    backend server. Faults that only show beside other teams' files are found by apply.

    Exit codes: 0 no fault (there may be warnings), 3 at least one fault.

    For example:

    - `rosedyke check weighbridge.toml press-line.toml`
    """
    if not files:
        terminal.warn("check needs at least one file")
        return exit_codes.USAGE
    found = set_check.check(store.parse_files(files))
    has_errors = diagnostic.has_errors(found)
    if as_json:
        terminal.print_json({"ok": not has_errors, "faults": found})
    else:
        for each in found:
            print(each)
        errors = sum(each.is_error for each in found)
        warnings = len(found) - errors
        print(f"{len(files)} files, {errors} errors, {warnings} warnings")
    return exit_codes.REJECTED if has_errors else exit_codes.OK


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(check, name="check")
