"""Parses the TOML of a configuration file and reports syntax errors as diagnostics."""

import re
import tomllib
from typing import Any

import attrs

from rosedyke.configuration import diagnostic

MAX_FILE_BYTES = 900_000  # the store accepts values of one megabyte, with the record around it
MAX_SYNTAX_ERRORS = 20

_LOCATION = re.compile(r"\(at (?:line (\d+), column (\d+)|end of document)\)")


@attrs.frozen
class ParseResult:
    """The parsed content of a file, as far as its syntax is valid.

    Attributes
    ----------
    text : str
        The file as text; empty if it can't be decoded or is too large.
    values : dict
        Parsed values; without the invalid lines if there are syntax errors.
    diagnostics : tuple of Diagnostic
        The syntax errors.
    accepted_text : str
        The text that ``values`` were parsed from: ``text`` with blank lines in place of the invalid
        ones.
    """

    text: str
    values: dict[str, Any]
    diagnostics: tuple[diagnostic.Diagnostic, ...] = ()
    accepted_text: str = ""


def parse_toml(path: str, content: bytes) -> ParseResult:
    """Parse TOML; never raises, whatever the content.

    A line with an error is removed and the rest parsed again, so that all errors of a file are
    reported at once.
    """
    if len(content) > MAX_FILE_BYTES:
        text = f"the file has {len(content)} bytes; {MAX_FILE_BYTES} at most"
        return ParseResult("", {}, (diagnostic.Diagnostic(path, 1, "", "file_too_large", text),))
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        syntax_error = diagnostic.Diagnostic(
            path, line, "", "not_utf8", "the file is not UTF-8 text"
        )
        return ParseResult("", {}, (syntax_error,))
    text = text.replace("\r\n", "\n")
    return _parse(path, text)


def _parse(path: str, text: str) -> ParseResult:
    lines = text.split("\n")
    errors: list[diagnostic.Diagnostic] = []
    while len(errors) < MAX_SYNTAX_ERRORS:
        try:
            accepted_text = "\n".join(lines)
            return ParseResult(text, tomllib.loads(accepted_text), tuple(errors), accepted_text)
        except RecursionError:
            syntax_error = diagnostic.Diagnostic(
                path, 1, "", "too_deep", "values are nested too deeply"
            )
            return ParseResult(text, {}, (*errors, syntax_error))
        except ValueError as error:  # TOMLDecodeError, or an integer with too many digits
            syntax_error = _syntax_error(path, lines, str(error))
        errors.append(syntax_error)
        invalid_line = lines[syntax_error.line - 1].strip()
        # Removing a table header would attach its keys to the previous table, and removing the
        # first line of a multi-line value would leave its rest: both cause spurious errors.
        if not invalid_line or invalid_line.startswith("[") or not _is_complete_pair(invalid_line):
            break
        lines[syntax_error.line - 1] = ""
    return ParseResult(text, {}, tuple(errors))


def _is_complete_pair(line: str) -> bool:
    return not any(quotes in line for quotes in ('"""', "'''")) and all(
        line.count(opening) == line.count(closing) for opening, closing in ("[]", "{}")
    )


def _syntax_error(path: str, lines: list[str], message: str) -> diagnostic.Diagnostic:
    location = _LOCATION.search(message)
    if location and location.group(1):
        line = int(location.group(1))
    else:
        line = max((number for number, text in enumerate(lines, 1) if text.strip()), default=1)
    text = _LOCATION.sub("", message).strip()
    is_duplicate = "overwrite" in text or "twice" in text
    code = "duplicate_key" if is_duplicate else "syntax"
    return diagnostic.Diagnostic(path, line, "", code, text[:1].lower() + text[1:])
