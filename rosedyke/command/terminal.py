"""Terminal output: tables, JSON documents and messages."""

import sys

import msgspec
import rich.console
import rich.table

from rosedyke.command import exit_codes

# Columns of tables when the output is not a terminal.
PIPED_WIDTH = 200


def console() -> rich.console.Console:
    """Return the console for results."""
    width = None if sys.stdout.isatty() else PIPED_WIDTH
    return rich.console.Console(width=width, highlight=False, soft_wrap=False)


def table(title: str, *columns: str, right_aligned: tuple[str, ...] = ()) -> rich.table.Table:
    """Return an empty table; ``right_aligned`` names the right-aligned columns."""
    new_table = rich.table.Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        new_table.add_column(column, justify="right" if column in right_aligned else "left")
    return new_table


def print_json(value: object) -> None:
    """Print one JSON document."""
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")


def warn(text: str) -> None:
    """Print a message to standard error."""
    print(text, file=sys.stderr)


def warn_no_instances() -> int:
    """Print that no instances are given and return the exit code."""
    warn("no instances given: use --instances or ROSEDYKE_INSTANCES, for example 10.0.0.1:8081")
    return exit_codes.USAGE
