"""Line numbers of the keys of a TOML text, for error messages.

The standard parser returns values without positions.  This scanner runs on text that the parser
has accepted, so it only tells keys from values and validates nothing.  On any other text it still
terminates, because every step either consumes text or raises ``UnexpectedText``.
"""

import bisect
import contextlib
import re

from rosedyke import fault

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_BLANK_OR_COMMENT = re.compile(r"(?:[ \t\r\n]+|#[^\n]*)*")
_WHITESPACE = re.compile(r"[ \t]*")
_SCALAR = re.compile(r"[^,\]}#\n]+")
_STRINGS = (
    re.compile(r'"""(?:[^\\]|\\.)*?"""{1,3}', re.DOTALL),
    re.compile(r"'''.*?'''{1,3}", re.DOTALL),
    re.compile(r'"(?:[^"\\\n]|\\.)*"'),
    re.compile(r"'[^'\n]*'"),
)
_TABLE_START = re.compile(r"\[\[?")
_TABLE_END = re.compile(r"\]\]?")
_EQUALS = re.compile("=")
_ARRAY_START, _ARRAY_END = re.compile(r"\["), re.compile(r"\]")
_INLINE_TABLE_START, _INLINE_TABLE_END = re.compile("{"), re.compile("}")
_SEPARATOR = re.compile("[.,]")


class UnexpectedText(fault.RosedykeError):
    """The text does not continue with the expected token."""

    code = "unexpected_text"


def key_lines(text: str) -> dict[str, int]:
    """Return the line of each key and table, by paths such as ``services[0].tasks[1].name``.

    Text that the scanner can't follow yields the lines found before that point.
    """
    scanner = _Scanner(text)
    with contextlib.suppress(UnexpectedText, RecursionError):
        scanner.scan_document()
    return scanner.lines


def nearest_line(lines: dict[str, int], path: str) -> int:
    """Return the line of a path, of its closest enclosing table, or 1."""
    while path:
        if path in lines:
            return lines[path]
        separator = max(path.rfind("."), path.rfind("["))
        path = path[: max(separator, 0)]
    return 1


class _Scanner:
    """A scanner of one text, which records the line of each key and value."""

    def __init__(self, text):
        self.text = text
        self.offset = 0
        self.lines: dict[str, int] = {}
        self.array_lengths: dict[str, int] = {}
        self.newline_offsets = [match.start() for match in re.finditer("\n", text)]

    def line(self):
        return bisect.bisect_left(self.newline_offsets, self.offset) + 1

    def skip(self, pattern):
        """Advance over an optional token."""
        match = pattern.match(self.text, self.offset)
        if match is not None:
            self.offset = match.end()

    def consume(self, *patterns):
        """Advance over a required token, which is not empty, and return it."""
        for pattern in patterns:
            match = pattern.match(self.text, self.offset)
            if match is not None:
                self.offset = match.end()
                return match.group()
        raise UnexpectedText(f"unexpected text in line {self.line()}")

    def is_at(self, characters):
        return self.offset < len(self.text) and self.text[self.offset] in characters

    def scan_document(self):
        table = ""
        self.skip(_BLANK_OR_COMMENT)
        while self.offset < len(self.text):
            if self.is_at("["):
                table = self.scan_table_header()
            else:
                self.scan_pair(table)
            self.skip(_BLANK_OR_COMMENT)

    def scan_table_header(self):
        line = self.line()
        is_array = self.consume(_TABLE_START) == "[["
        parts = self.scan_dotted_key()
        self.consume(_TABLE_END)
        path = ""
        for part in parts[:-1]:
            path = self.current_element(_join_path(path, part))
        path = _join_path(path, parts[-1])
        if is_array:
            self.lines.setdefault(path, line)
            self.array_lengths[path] = self.array_lengths.get(path, 0) + 1
        path = self.current_element(path)
        self.lines.setdefault(path, line)
        return path

    def current_element(self, path):
        return f"{path}[{self.array_lengths[path] - 1}]" if path in self.array_lengths else path

    def scan_pair(self, table):
        line = self.line()
        path = table
        for part in self.scan_dotted_key():
            path = _join_path(path, part)
            self.lines.setdefault(path, line)
        self.consume(_EQUALS)
        self.scan_value(path)

    def scan_dotted_key(self):
        parts = [self.scan_key()]
        while self.is_at("."):
            self.consume(_SEPARATOR)
            parts.append(self.scan_key())
        return parts

    def scan_key(self):
        self.skip(_WHITESPACE)
        key = self.consume(*_STRINGS)[1:-1] if self.is_at("\"'") else self.consume(_BARE_KEY)
        self.skip(_WHITESPACE)
        return key

    def scan_value(self, path):
        self.skip(_WHITESPACE)
        self.lines.setdefault(path, self.line())
        if self.is_at("\"'"):
            self.consume(*_STRINGS)
        elif self.is_at("["):
            self.scan_array(path)
        elif self.is_at("{"):
            self.scan_inline_table(path)
        else:
            self.consume(_SCALAR)

    def scan_array(self, path):
        self.consume(_ARRAY_START)
        index = 0
        self.skip(_BLANK_OR_COMMENT)
        while not self.is_at("]"):
            if self.is_at(","):
                self.consume(_SEPARATOR)
            else:
                self.scan_value(f"{path}[{index}]")
                index += 1
            self.skip(_BLANK_OR_COMMENT)
        self.consume(_ARRAY_END)

    def scan_inline_table(self, path):
        self.consume(_INLINE_TABLE_START)
        self.skip(_BLANK_OR_COMMENT)
        while not self.is_at("}"):
            if self.is_at(","):
                self.consume(_SEPARATOR)
            else:
                self.scan_pair(path)
            self.skip(_BLANK_OR_COMMENT)
        self.consume(_INLINE_TABLE_END)


def _join_path(path, part):
    return f"{path}.{part}" if path else part
