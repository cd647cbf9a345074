"""Line numbers of the keys of a TOML text, for error messages.

The standard parser returns values without positions.  This scanner runs on text that the parser
has accepted, so it only tells keys from values and validates nothing.
"""

import bisect
import contextlib
import re

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_BLANK_OR_COMMENT = re.compile(r"(?:[ \t\r\n]+|#[^\n]*)*")
_WHITESPACE = re.compile(r"[ \t]*")
_SCALAR = re.compile(r"[^,\]}#\n]*")
_STRINGS = (
    re.compile(r'"""(?:[^\\]|\\.)*?"""{1,3}', re.DOTALL),
    re.compile(r"'''.*?'''{1,3}", re.DOTALL),
    re.compile(r'"(?:[^"\\\n]|\\.)*"'),
    re.compile(r"'[^'\n]*'"),
)


def key_lines(text: str) -> dict[str, int]:
    """Return the line of each key and table, by paths such as ``services[0].tasks[1].name``.

    Text that the scanner can't follow yields the lines found before that point.
    """
    scanner = _Scanner(text)
    with contextlib.suppress(IndexError, RecursionError):
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
    def __init__(self, text):
        self.text = text
        self.offset = 0
        self.lines: dict[str, int] = {}
        self.array_lengths: dict[str, int] = {}
        self.newline_offsets = [match.start() for match in re.finditer("\n", text)]

    def line(self):
        return bisect.bisect_left(self.newline_offsets, self.offset) + 1

    def skip(self, pattern):
        self.offset = pattern.match(self.text, self.offset).end()

    def scan_document(self):
        table = ""
        self.skip(_BLANK_OR_COMMENT)
        while self.offset < len(self.text):
            if self.text[self.offset] == "[":
                table = self.scan_table_header()
            else:
                self.scan_pair(table)
            self.skip(_BLANK_OR_COMMENT)

    def scan_table_header(self):
        line = self.line()
        is_array = self.text.startswith("[[", self.offset)
        self.offset += 2 if is_array else 1
        parts = self.scan_dotted_key()
        self.offset += 2 if is_array else 1
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
        self.offset += 1  # skip the equals sign
        self.scan_value(path)

    def scan_dotted_key(self):
        parts = []
        while True:
            self.skip(_WHITESPACE)
            start = self.offset
            if self.text[self.offset] in "\"'":
                self.scan_string()
                parts.append(self.text[start + 1 : self.offset - 1])
            else:
                match = _BARE_KEY.match(self.text, self.offset)
                if match is None:
                    raise IndexError("expected a key")
                self.offset = match.end()
                parts.append(match.group())
            self.skip(_WHITESPACE)
            if self.text[self.offset] != ".":
                return parts
            self.offset += 1

    def scan_string(self):
        for pattern in _STRINGS:
            match = pattern.match(self.text, self.offset)
            if match:
                self.offset = match.end()
                return
        raise IndexError("unterminated string")

    def scan_value(self, path):
        self.skip(_WHITESPACE)
        self.lines.setdefault(path, self.line())
        first = self.text[self.offset]
        if first in "\"'":
            self.scan_string()
        elif first == "[":
            self.scan_array(path)
        elif first == "{":
            self.scan_inline_table(path)
        else:
            self.skip(_SCALAR)

    def scan_array(self, path):
        self.offset += 1
        index = 0
        while True:
            self.skip(_BLANK_OR_COMMENT)
            if self.text[self.offset] == "]":
                self.offset += 1
                return
            if self.text[self.offset] == ",":
                self.offset += 1
                continue
            self.scan_value(f"{path}[{index}]")
            index += 1

    def scan_inline_table(self, path):
        self.offset += 1
        while True:
            self.skip(_BLANK_OR_COMMENT)
            if self.text[self.offset] == "}":
                self.offset += 1
                return
            if self.text[self.offset] == ",":
                self.offset += 1
                continue
            self.scan_pair(path)


def _join_path(path, part):
    return f"{path}.{part}" if path else part
