"""The daemon's settings as a page of the documentation."""

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
    yield "Each setting is a flag and an environment variable; the flag goes first. All are"
    yield "checked at the start: every fault is named at once, and the exit code is 2. This page is"
    yield "written by `tools/update_catalogues.py`."
    yield ""
    yield "| Flag | Variable | Default | Meaning |"
    yield "|---|---|---|---|"
    texts = {
        each.arg_name: " ".join(each.description.split())
        for each in docstring_parser.parse(argument.Arguments.__doc__).params
    }
    for field in attrs.fields(argument.Arguments):
        flag = "--" + field.name.replace("_", "-")
        default = f"`{field.default}`" if field.default else ""
        yield f"| `{flag}` | `ROSEDYKE_{field.name.upper()}` | {default} | {texts[field.name]} |"
    yield "| | `ROSEDYKE_PEER_KEY` | | The shared key itself, in place of `--peer-key-file`. |"
    yield ""
    yield "Addresses are IP numbers. Without a shared key the peers' address must be on loopback:"
    yield "anyone who reaches it could claim, cancel and read jobs."
