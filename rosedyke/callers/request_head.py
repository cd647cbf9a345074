"""Parses the usual form of a request's header lines.

The standard library parses headers as those of an e-mail, which takes more processor time than the
rest of a request's head.  Anything unusual is left to it, so that requests are accepted and
rejected as before.
"""

import re
from collections.abc import Sequence

# The standard library accepts as many lines.
MAX_LINES = 100
# Without forms that the standard library changes or rejects, such as a path that begins with //.
REQUEST_LINE = re.compile(rb"([A-Z]+) (/(?:[\x21-\x2e\x30-\x7e][\x21-\x7e]*)?) HTTP/1\.1\r\n")
END_OF_HEAD = (b"\r\n", b"\n", b"")
# A token as the name; no control characters and no folded lines.
_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\r\n")


class Headers:
    """The headers of a request, with the methods of ``email.message.Message`` that are used.

    Parameters
    ----------
    fields : sequence of (str, str)
        Names and values in the order of the lines.
    """

    def __init__(self, fields: Sequence[tuple[str, str]]):
        # eventlet reads this attribute to build the WSGI environment.
        self._headers = fields
        self.first_values: dict[str, str] = {}
        for name, value in fields:
            self.first_values.setdefault(name.lower(), value)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header."""
        return self.first_values.get(name.lower(), default)

    def get_all(self, name: str, default: list[str] | None = None) -> list[str] | None:
        """Return all values of a header, the default if there is none."""
        wanted = name.lower()
        if wanted not in self.first_values:
            return default
        return [value for field, value in self._headers if field.lower() == wanted]

    def get_content_type(self) -> str:
        """Return the type of a body without a content type, as the standard library does."""
        return "text/plain"


class ReplayedFile:
    """Returns lines that were read already, and then those of the file."""

    def __init__(self, lines: list[bytes], file):
        self.lines = iter(lines)
        self.file = file

    def readline(self, size: int = -1) -> bytes:
        """Return the next line."""
        line = next(self.lines, None)
        return self.file.readline(size) if line is None else line


def read_lines(file) -> list[bytes]:
    """Read the header lines and the line that ends them, or as many as are accepted."""
    lines = []
    while len(lines) < MAX_LINES:
        lines.append(file.readline())
        if lines[-1] in END_OF_HEAD:
            break
    return lines


def parse(lines: list[bytes]) -> Headers | None:
    """Return the headers of complete lines, None if one of them is unusual."""
    if lines[-1] != b"\r\n":
        return None
    fields = []
    for line in lines[:-1]:
        match = _LINE.fullmatch(line)
        if match is None:
            return None
        fields.append((match[1].decode("ascii"), match[2].decode("latin-1")))
    return Headers(fields)
