"""Where each key of a TOML text stands, so that a fault can name its line.

The standard parser gives values without positions.  This scanner runs over a text that the
parser has accepted; it only has to tell keys from values, not to check them.
"""

import bisect
import contextlib
import re

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_BLANK = re.compile(r"(?:[ \t\r\n]+|#[^\n]*)*")
_SPACE = re.compile(r"[ \t]*")
_SCALAR = re.compile(r"[^,\]}#\n]*")
_STRINGS = (
    re.compile(r'"""(?:[^\\]|\\.)*?"""{1,3}', re.DOTALL),
    re.compile(r"'''.*?'''{1,3}", re.DOTALL),
    re.compile(r'"(?:[^"\\\n]|\\.)*"'),
    re.compile(r"'[^'\n]*'"),
)


def positions(text: str) -> dict[str, int]:
    """Return the line of each key and table, by paths such as ``services[0].tasks[1].name``.

    A text that the scanner can't follow gives the positions found up to there.
    """
    scanner = _Scanner(text)
    with contextlib.suppress(IndexError, RecursionError):
        scanner.document()
    return scanner.lines


def nearest(lines: dict[str, int], path: str) -> int:
    """Return the line of a path, or of the closest table around it, or 1."""
    while path:
        if path in lines:
            return lines[path]
        cut = max(path.rfind("."), path.rfind("["))
        path = path[: max(cut, 0)]
    return 1


class _Scanner:
    def __init__(self, text):
        self.text = text
        self.at = 0
        self.lines: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.newlines = [match.start() for match in re.finditer("\n", text)]

    def line(self):
        return bisect.bisect_left(self.newlines, self.at) + 1

    def skip(self, pattern):
        self.at = pattern.match(self.text, self.at).end()

    def document(self):
        table = ""
        self.skip(_BLANK)
        while self.at < len(self.text):
            if self.text[self.at] == "[":
                table = self.header()
            else:
                self.pair(table)
            self.skip(_BLANK)

    def header(self):
        line = self.line()
        is_array = self.text.startswith("[[", self.at)
        self.at += 2 if is_array else 1
        parts = self.dotted_key()
        self.at += 2 if is_array else 1
        path = ""
        for part in parts[:-1]:
            path = self.last_element(_join(path, part))
        path = _join(path, parts[-1])
        if is_array:
            self.lines.setdefault(path, line)
            self.counts[path] = self.counts.get(path, 0) + 1
        path = self.last_element(path)
        self.lines.setdefault(path, line)
        return path

    def last_element(self, path):
        return f"{path}[{self.counts[path] - 1}]" if path in self.counts else path

    def pair(self, table):
        line = self.line()
        path = table
        for part in self.dotted_key():
            path = _join(path, part)
            self.lines.setdefault(path, line)
        self.at += 1  # the equals sign
        self.value(path)

    def dotted_key(self):
        parts = []
        while True:
            self.skip(_SPACE)
            start = self.at
            if self.text[self.at] in "\"'":
                self.string()
                parts.append(self.text[start + 1 : self.at - 1])
            else:
                match = _BARE_KEY.match(self.text, self.at)
                if match is None:
                    raise IndexError("no key here")
                self.at = match.end()
                parts.append(match.group())
            self.skip(_SPACE)
            if self.text[self.at] != ".":
                return parts
            self.at += 1

    def string(self):
        for pattern in _STRINGS:
            match = pattern.match(self.text, self.at)
            if match:
                self.at = match.end()
                return
        raise IndexError("a string without its end")

    def value(self, path):
        self.skip(_SPACE)
        self.lines.setdefault(path, self.line())
        first = self.text[self.at]
        if first in "\"'":
            self.string()
        elif first == "[":
            self.array(path)
        elif first == "{":
            self.inline_table(path)
        else:
            self.skip(_SCALAR)

    def array(self, path):
        self.at += 1
        index = 0
        while True:
            self.skip(_BLANK)
            if self.text[self.at] == "]":
                self.at += 1
                return
            if self.text[self.at] == ",":
                self.at += 1
                continue
            self.value(f"{path}[{index}]")
            index += 1

    def inline_table(self, path):
        self.at += 1
        while True:
            self.skip(_BLANK)
            if self.text[self.at] == "}":
                self.at += 1
                return
            if self.text[self.at] == ",":
                self.at += 1
                continue
            self.pair(path)


def _join(path, part):
    return f"{path}.{part}" if path else part
