"""The outcomes of a change as exit codes, text and JSON."""

import functools
import shlex
from typing import Any

import attrs

from rosedyke.command import exit_codes
from rosedyke.configuration import change


@attrs.frozen
class Report:
    """An outcome ready to be shown.

    Attributes
    ----------
    exit_code : int
        Of the process.
    lines : tuple of str
        For a person.
    document : dict
        For a program.
    """

    exit_code: int
    lines: tuple[str, ...]
    document: dict[str, Any]


@functools.singledispatch
def report(outcome: object) -> Report:
    """Return how an outcome of a change is shown."""
    raise TypeError(f"no outcome: {outcome!r}")


@report.register
def _(outcome: change.Accepted) -> Report:
    lines = [str(each) for each in outcome.warnings]
    if outcome.changes:
        lines.append(f"accepted (generation {outcome.generation})")
        lines.extend(f"  {each.action} {each.team}" for each in outcome.changes)
    else:
        lines.append(f"accepted (generation {outcome.generation}): all was so before")
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
    errors = sum(each.is_error for each in outcome.diagnostics)
    lines = [str(each) for each in outcome.diagnostics]
    lines.append(f"rejected: {errors} fault{'' if errors == 1 else 's'}; nothing was changed")
    document = {"outcome": "rejected", "faults": outcome.diagnostics}
    return Report(exit_codes.REJECTED, tuple(lines), document)


@report.register
def _(outcome: change.Conflict) -> Report:
    winner = outcome.winner
    lines = []
    if winner is not None:
        what = ", ".join(f"{each.action} {each.team}" for each in winner.changes)
        who = f"{winner.operator} at {winner.time} ({what}), generation {winner.generation}"
        lines.append(f"conflict with the change of {who}; nothing was changed")
    else:
        lines.append("conflict with a change that the history no longer has; nothing was changed")
    lines.append("what is stored now, against what you proposed:")
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
    command = settle_command(outcome)
    lines = (
        f"unknown: the change {outcome.change_id} was sent and its answer was lost",
        f"  {outcome.detail}",
        f"find out with: {command}",
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


def settle_command(outcome: change.Unknown) -> str:
    """Return the command that tells whether a lost change took effect."""
    change_id = shlex.quote(outcome.change_id)
    return f"rosedyke history --change {change_id} --after {outcome.base_generation}"
