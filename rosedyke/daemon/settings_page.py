"""Renders the daemon's settings as a documentation page."""

from collections.abc import Iterator

import attrs
import docstring_parser

from rosedyke.daemon import argument


def render() -> str:
    """Return docs/SETTINGS.md."""
    return "\n".join(_lines()) + "\n"


def _lines() -> Iterator[str]:
    yield "# Settings of `rosedyked`"
    yield ""
    yield "Each setting is a flag and an environment variable; the flag takes precedence. All are"
    yield "validated at start-up: every invalid setting is reported, and the exit code is 2. This"
    yield "page is written by `tools/update_catalogues.py`."
    yield ""
    yield "| Flag | Variable | Default | Meaning |"
    yield "|---|---|---|---|"
    meanings = {
        parameter.arg_name: " ".join(parameter.description.split())
        for parameter in docstring_parser.parse(argument.Arguments.__doc__).params
    }
    for field in attrs.fields(argument.Arguments):
        flag = "--" + field.name.replace("_", "-")
        default = f"`{field.default}`" if field.default else ""
        yield f"| `{flag}` | `ROSEDYKE_{field.name.upper()}` | {default} | {meanings[field.name]} |"
    yield "| | `ROSEDYKE_PEER_KEY` | | The shared key itself, instead of `--peer-key-file`. |"
    yield ""
    yield "Hosts are given as IP addresses. Without a shared key the peer address must be on"
    yield "loopback, because anyone with access to it could claim, cancel and read jobs."
