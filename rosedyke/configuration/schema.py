"""Schema of a configuration file: its tables and keys with types, defaults and bounds.

The parser validates files against it, and a test compares docs/CONFIGURATION.md with it.
"""

import enum
from typing import Any

import attrs

from rosedyke.configuration import intent

REQUIRED = attrs.NOTHING

MAX_SERVERS_IN_TEMPLATE = 1000
MAX_SECONDS = 3600.0


class Kind(enum.Enum):
    """Type of a value."""

    NAME = "name"  # lower case letters, digits and inner hyphens, at most 63
    NAME_TEMPLATE = "name, may contain {n}"
    ADDRESS_TEMPLATE = "IPv4 address and port, may contain {n}"
    LABEL = "text"
    INTEGER = "integer"
    NUMBER = "number"


@attrs.frozen
class Key:
    """A key of a table.

    Attributes
    ----------
    table : str
        Dotted path of the table, empty for the top of the file.
    name : str
        The key in its table.
    kind : Kind
        Type of the value.
    default : object
        Value if the key is omitted, or ``REQUIRED``.
    unit : str
        Unit of a number.
    low, high : float or None
        Inclusive bounds of a number.
    meaning : str
        Description in the documentation, one sentence.
    example : str
        Example value in TOML.
    """

    table: str
    name: str
    kind: Kind
    default: Any
    meaning: str
    example: str
    unit: str = ""
    low: float | None = None
    high: float | None = None

    @property
    def path(self) -> str:
        """Dotted path of the key, without array indexes."""
        return f"{self.table}.{self.name}" if self.table else self.name

    @property
    def is_required(self) -> bool:
        """Whether the key must be present."""
        return self.default is REQUIRED


@attrs.frozen
class Table:
    """A table of a configuration file.

    Attributes
    ----------
    path : str
        Dotted path, empty for the top of the file.
    is_array : bool
        An array of tables, written as ``[[...]]``.
    is_required : bool
        At least one such table is required.
    meaning : str
        Description in the documentation, one sentence.
    """

    path: str
    is_array: bool
    is_required: bool
    meaning: str


TABLES = (
    Table("", False, True, "The team that the file belongs to."),
    Table("services", True, False, "A service that the team offers."),
    Table(
        "services.limits",
        False,
        False,
        "Limits on what the service uses and what callers may request.",
    ),
    Table(
        "services.objective",
        False,
        False,
        "Service level objective that `rosedyke burn` reports on.",
    ),
    Table("services.tasks", True, True, "A kind of task that the service runs."),
    Table(
        "services.servers",
        True,
        True,
        "Backend servers with the same properties; numbered if there are several.",
    ),
)


def _default_of(record: type, name: str) -> Any:
    return getattr(attrs.fields(record), name).default


def _size_keys(table: str, meaning: str) -> tuple[Key, ...]:
    return (
        Key(table, "cores", Kind.NUMBER, 0.0, f"Processor cores {meaning}.", "2", "cores", 0, 4096),
        Key(
            table,
            "memory_mb",
            Kind.NUMBER,
            0.0,
            f"Memory {meaning}.",
            "512",
            "MB",
            0,
            100_000_000,
        ),
        Key(
            table,
            "accelerators",
            Kind.NUMBER,
            0.0,
            f"Accelerator devices {meaning}.",
            "1",
            "devices",
            0,
            1024,
        ),
    )


KEYS = (
    Key(
        "",
        "team",
        Kind.NAME,
        REQUIRED,
        "The team's name, unique over all files; the file is stored under it.",
        '"weighbridge"',
    ),
    Key(
        "",
        "quota",
        Kind.INTEGER,
        _default_of(intent.Team, "quota"),
        "Tasks of all the team's services that run concurrently; 0 means unlimited.",
        "192",
        "tasks",
        0,
        10_000_000,
    ),
    Key(
        "services",
        "name",
        Kind.NAME,
        REQUIRED,
        "The service's name, unique over all files; callers use it in the URL.",
        '"weighbridge"',
    ),
    Key(
        "services.limits",
        "concurrency",
        Kind.INTEGER,
        _default_of(intent.Limits, "concurrency"),
        "Tasks that run concurrently over all data centres; 0 means limited by the slots only.",
        "192",
        "tasks",
        0,
        10_000_000,
    ),
    Key(
        "services.limits",
        "queue",
        Kind.INTEGER,
        _default_of(intent.Limits, "queue"),
        "Tasks that may wait in one data centre before new jobs are refused.",
        "10000",
        "tasks",
        0,
        1_000_000,
    ),
    Key(
        "services.limits",
        "max_tasks",
        Kind.INTEGER,
        _default_of(intent.Limits, "max_tasks"),
        "Maximum number of tasks in a job.",
        "300",
        "tasks",
        1,
        300,
    ),
    Key(
        "services.limits",
        "max_timeout_s",
        Kind.NUMBER,
        _default_of(intent.Limits, "max_timeout_s"),
        "The longest timeout that a caller may request.",
        "60.0",
        "seconds",
        0.01,
        MAX_SECONDS,
    ),
    Key(
        "services.objective",
        "share",
        Kind.NUMBER,
        _default_of(intent.Objective, "share"),
        "Share of jobs that must be answered completely within the response time.",
        "0.999",
        "ratio",
        0.0,
        1.0,
    ),
    Key(
        "services.objective",
        "response_s",
        Kind.NUMBER,
        _default_of(intent.Objective, "response_s"),
        "Response time from a job's arrival to its complete answer.",
        "2.0",
        "seconds",
        0.001,
        MAX_SECONDS,
    ),
    Key(
        "services.tasks",
        "name",
        Kind.NAME,
        REQUIRED,
        "The task's name, unique in its service.",
        '"tag-basket"',
    ),
    Key(
        "services.tasks",
        "run_time_s",
        Kind.NUMBER,
        REQUIRED,
        "Estimated run time, used until run times have been measured.",
        "0.05",
        "seconds",
        0.0001,
        MAX_SECONDS,
    ),
    Key(
        "services.tasks",
        "timeout_s",
        Kind.NUMBER,
        _default_of(intent.TaskType, "timeout_s"),
        "A run longer than this counts as failed.",
        "5.0",
        "seconds",
        0.001,
        MAX_SECONDS,
    ),
    *_size_keys("services.tasks", "that one run needs"),
    Key(
        "services.servers",
        "name",
        Kind.NAME_TEMPLATE,
        REQUIRED,
        "The server's name, unique over all files; {n} is its number.",
        '"estate-1-{n}"',
    ),
    Key(
        "services.servers",
        "address",
        Kind.ADDRESS_TEMPLATE,
        REQUIRED,
        "Address of the server's HTTP interface, unique over all files; {n} is its number.",
        '"10.1.0.{n}:8100"',
    ),
    Key(
        "services.servers",
        "data_centre",
        Kind.NAME,
        REQUIRED,
        "Data centre that the servers are in.",
        '"estate-1"',
    ),
    Key(
        "services.servers",
        "count",
        Kind.INTEGER,
        1,
        "Number of servers that the table defines.",
        "8",
        "servers",
        1,
        MAX_SERVERS_IN_TEMPLATE,
    ),
    Key(
        "services.servers",
        "first",
        Kind.INTEGER,
        1,
        "The number of the first server.",
        "1",
        "",
        0,
        65_535,
    ),
    Key(
        "services.servers",
        "rack",
        Kind.LABEL,
        _default_of(intent.BackendServer, "rack"),
        "The servers' rack, a failure domain that they share.",
        '"estate-1-rack-1"',
    ),
    Key(
        "services.servers",
        "slots",
        Kind.INTEGER,
        _default_of(intent.BackendServer, "slots"),
        "Tasks that each server runs concurrently, over all entry instances.",
        "8",
        "tasks",
        1,
        10_000,
    ),
    Key(
        "services.servers",
        "connections",
        Kind.INTEGER,
        _default_of(intent.BackendServer, "connections"),
        "Open connections that each server accepts, over all entry instances.",
        "64",
        "connections",
        1,
        100_000,
    ),
    *_size_keys("services.servers", "that each server has"),
)


def keys_of(table: str) -> tuple[Key, ...]:
    """Return the keys of a table in documentation order."""
    return tuple(key for key in KEYS if key.table == table)


def tables_in(parent: str) -> tuple[Table, ...]:
    """Return the tables directly below ``parent``."""
    return tuple(
        table for table in TABLES if table.path and table.path.rpartition(".")[0] == parent
    )
