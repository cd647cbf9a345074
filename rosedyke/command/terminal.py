"""Output for a person: tables and messages through rich."""

import sys

import msgspec
import rich.console
import rich.table

from rosedyke.command import exit_codes

# Tables are not squeezed when the output goes to a file or another program.
PIPED_WIDTH = 200


def console() -> rich.console.Console:
    """Return the console for results."""
    width = None if sys.stdout.isatty() else PIPED_WIDTH
    return rich.console.Console(width=width, highlight=False, soft_wrap=False)


def table(title: str, *columns: str, right: tuple[str, ...] = ()) -> rich.table.Table:
    """Return an empty table; ``right`` names the columns of numbers."""
    made = rich.table.Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        made.add_column(column, justify="right" if column in right else "left")
    return made


def print_json(value: object) -> None:
    """Print one JSON document."""
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")


def warn(text: str) -> None:
    """Print a message that is no result."""
    print(text, file=sys.stderr)


def warn_no_instances() -> int:
    """Say that no instances are given and return the exit code."""
    warn("no instances given: use --instances or ROSEDYKE_INSTANCES, for example 10.0.0.1:8081")
    return exit_codes.USAGE
