"""Turns the bytes of a configuration file into plain values, with syntax faults as values."""

import re
import tomllib
from typing import Any

import attrs

from rosedyke.configuration import diagnostic

MAX_FILE_BYTES = 900_000  # leaves room for the record around it in a value of one megabyte
MAX_SYNTAX_FAULTS = 20

_PLACE = re.compile(r"\(at (?:line (\d+), column (\d+)|end of document)\)")


@attrs.frozen
class Syntax:
    """What could be read of a file.

    Attributes
    ----------
    text : str
        The file as text, empty if it is none.
    values : dict
        Parsed values; with faults, those of the lines that could be read.
    diagnostics : tuple of Diagnostic
        The syntax faults.
    """

    text: str
    values: dict[str, Any]
    diagnostics: tuple[diagnostic.Diagnostic, ...] = ()


def read(path: str, content: bytes) -> Syntax:
    """Parse TOML; never raises for any content.

    After a fault the line is left out and the rest parsed again, so that an operator sees all
    faults of a file at once.
    """
    if len(content) > MAX_FILE_BYTES:
        text = f"the file has {len(content)} bytes; {MAX_FILE_BYTES} at most"
        return Syntax("", {}, (diagnostic.Diagnostic(path, 1, "", "file_too_large", text),))
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        fault = diagnostic.Diagnostic(path, line, "", "not_utf8", "the file is not UTF-8 text")
        return Syntax("", {}, (fault,))
    text = text.replace("\r\n", "\n")
    return _parse(path, text)


def _parse(path: str, text: str) -> Syntax:
    lines = text.split("\n")
    faults: list[diagnostic.Diagnostic] = []
    while len(faults) < MAX_SYNTAX_FAULTS:
        try:
            return Syntax(text, tomllib.loads("\n".join(lines)), tuple(faults))
        except RecursionError:
            fault = diagnostic.Diagnostic(path, 1, "", "too_deep", "values are nested too deep")
            return Syntax(text, {}, (*faults, fault))
        except ValueError as error:  # TOMLDecodeError, and numbers too long for an integer
            fault = _syntax_fault(path, lines, str(error))
        faults.append(fault)
        bad = lines[fault.line - 1].strip()
        # Without its header a table's keys would seem to belong to the table before it, and
        # without its opening line a long value's rest makes no sense: more faults than there are.
        if not bad or bad.startswith("[") or not _is_whole_pair(bad):
            break
        lines[fault.line - 1] = ""
    return Syntax(text, {}, tuple(faults))


def _is_whole_pair(line: str) -> bool:
    return not any(mark in line for mark in ('"""', "'''")) and all(
        line.count(opening) == line.count(closing) for opening, closing in ("[]", "{}")
    )


def _syntax_fault(path: str, lines: list[str], message: str) -> diagnostic.Diagnostic:
    place = _PLACE.search(message)
    if place and place.group(1):
        line = int(place.group(1))
    else:
        line = max((n for n, text in enumerate(lines, 1) if text.strip()), default=1)
    text = _PLACE.sub("", message).strip()
    is_duplicate = "overwrite" in text or "twice" in text
    code = "duplicate_key" if is_duplicate else "syntax"
    return diagnostic.Diagnostic(path, line, "", code, text[:1].lower() + text[1:])
