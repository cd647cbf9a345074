"""``rosedyke check``: validate configuration files without access to the store."""

import cyclopts

from rosedyke.command import exit_codes, options, store, terminal
from rosedyke.configuration import check as set_check
from rosedyke.configuration import diagnostic


def check(files: options.Files, /, *, as_json: options.Json = False) -> int:
    """Validate files offline, each alone and all together, and list every fault with its line.

    Warnings are for configurations that are accepted but unlikely to work, such as a task that
    fits no backend server. Conflicts with the files of other teams are found by apply.

    Exit codes: 0 no fault (there may be warnings), 3 at least one fault.

    For example:

    - `rosedyke check weighbridge.toml press-line.toml`
    """
    if not files:
        terminal.warn("check needs at least one file")
        return exit_codes.USAGE
    diagnostics = set_check.check(store.parse_files(files))
    has_errors = diagnostic.has_errors(diagnostics)
    if as_json:
        terminal.print_json({"ok": not has_errors, "faults": diagnostics})
    else:
        for fault in diagnostics:
            print(fault)
        errors = sum(fault.is_error for fault in diagnostics)
        warnings = len(diagnostics) - errors
        print(f"{len(files)} files, {errors} errors, {warnings} warnings")
    return exit_codes.REJECTED if has_errors else exit_codes.OK


def register(app: cyclopts.App) -> None:
    """Add the command."""
    app.command(check, name="check")
