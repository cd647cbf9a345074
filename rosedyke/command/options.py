"""Options shared by several commands, with their environment variables."""

import getpass
import pathlib
import socket
from collections.abc import Sequence
from typing import Annotated

import cyclopts


def split_commas(target_type: type, tokens: Sequence[cyclopts.Token]) -> tuple[str, ...]:
    """Split comma-separated values of an option or environment variable, without duplicates."""
    items = (item.strip() for token in tokens for item in token.value.split(","))
    return tuple(dict.fromkeys(item for item in items if item))


Store = Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        name="--store",
        env_var="ROSEDYKE_STORE",
        consume_multiple=True,
        converter=split_commas,
        negative=(),
        help="Endpoints of the platform's key-value service, as URLs.",
    ),
]

StorePrefix = Annotated[
    str,
    cyclopts.Parameter(
        name="--store-prefix",
        env_var="ROSEDYKE_STORE_PREFIX",
        help="Prefix of all keys in the key-value service.",
    ),
]

Instances = Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        name="--instances",
        env_var="ROSEDYKE_INSTANCES",
        consume_multiple=True,
        converter=split_commas,
        negative=(),
        help="Operator addresses of entry instances, ip:port.",
    ),
]

Json = Annotated[
    bool,
    cyclopts.Parameter(name="--json", negative=(), help="Print one JSON document instead of text."),
]

Operator = Annotated[
    str,
    cyclopts.Parameter(
        name="--operator",
        env_var="ROSEDYKE_OPERATOR",
        help="Name of the operator, recorded in the history; by default user@host.",
    ),
]

Files = Annotated[
    tuple[pathlib.Path, ...],
    cyclopts.Parameter(negative=(), help="Configuration files, one for each team."),
]

DEFAULT_STORE = ("http://127.0.0.1:2379",)
DEFAULT_PREFIX = "/rosedyke/"


def operator_name(name: str) -> str:
    """Return the given operator name, or user@host of this process if it is empty."""
    return name or f"{getpass.getuser()}@{socket.gethostname()}"
