"""Renders the outcomes of a configuration change as exit codes, text and JSON."""

import functools
import shlex
from typing import Any

import attrs

from rosedyke.command import exit_codes
from rosedyke.configuration import change


@attrs.frozen
class Report:
    """A rendered outcome.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    lines : tuple of str
        Text output.
    document : dict
        JSON output.
    """

    exit_code: int
    lines: tuple[str, ...]
    document: dict[str, Any]


@functools.singledispatch
def report(outcome: object) -> Report:
    """Return the rendered outcome of a change."""
    raise TypeError(f"not an outcome of a change: {outcome!r}")


@report.register
def _(outcome: change.Accepted) -> Report:
    lines = [str(warning) for warning in outcome.warnings]
    if outcome.changes:
        lines.append(f"accepted (generation {outcome.generation})")
        lines.extend(f"  {item.action} {item.team}" for item in outcome.changes)
    else:
        lines.append(f"accepted (generation {outcome.generation}): no changes")
    document = {
        "outcome": "accepted",
        "generation": outcome.generation,
        "change_id": outcome.change_id,
        "changes": outcome.changes,
        "warnings": outcome.warnings,
    }
    return Report(exit_codes.OK, tuple(lines), document)


@report.register
def _(outcome: change.Rejected) -> Report:
    errors = sum(diagnostic.is_error for diagnostic in outcome.diagnostics)
    lines = [str(diagnostic) for diagnostic in outcome.diagnostics]
    lines.append(f"rejected: {errors} fault{'' if errors == 1 else 's'}; nothing was changed")
    document = {"outcome": "rejected", "faults": outcome.diagnostics}
    return Report(exit_codes.REJECTED, tuple(lines), document)


@report.register
def _(outcome: change.Conflict) -> Report:
    winner = outcome.winner
    lines = []
    if winner is not None:
        change_text = ", ".join(f"{item.action} {item.team}" for item in winner.changes)
        winner_text = (
            f"{winner.operator} at {winner.time} ({change_text}), generation {winner.generation}"
        )
        lines.append(f"conflict with the change of {winner_text}; nothing was changed")
    else:
        lines.append("conflict with a change that the history no longer has; nothing was changed")
    lines.append("difference from the stored to the proposed files:")
    lines.extend(f"  {line}" for line in outcome.difference)
    document = {
        "outcome": "conflict",
        "generation": outcome.generation,
        "winner": winner,
        "difference": outcome.difference,
    }
    return Report(exit_codes.CONFLICT, tuple(lines), document)


@report.register
def _(outcome: change.Unknown) -> Report:
    command = history_command(outcome)
    lines = (
        f"unknown: the change {outcome.change_id} was sent, but the reply was lost",
        f"  {outcome.detail}",
        f"check with: {command}",
    )
    document = {
        "outcome": "unknown",
        "change_id": outcome.change_id,
        "detail": outcome.detail,
        "settle": command,
    }
    return Report(exit_codes.UNKNOWN, lines, document)


@report.register
def _(outcome: change.Unreachable) -> Report:
    lines = (f"unreachable: nothing was changed; {outcome.detail}",)
    document = {"outcome": "unreachable", "detail": outcome.detail}
    return Report(exit_codes.UNREACHABLE, lines, document)


def history_command(outcome: change.Unknown) -> str:
    """Return the command that shows whether a change with a lost reply took effect."""
    change_id = shlex.quote(outcome.change_id)
    return f"rosedyke history --change {change_id} --after {outcome.base_generation}"
