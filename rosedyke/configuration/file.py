"""One team's configuration file: from its bytes to the team's intent, or to all of its faults."""

import ipaddress
import re
from typing import Any

import attrs

from rosedyke.configuration import diagnostic, intent, key, position, syntax

NUMBER_MARK = "{n}"
MAX_SERVERS = 5000  # of one file

_NAME = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
_LABEL = re.compile(r"[ -~]{0,200}")
_INVALID = object()


@attrs.frozen
class Definition:
    """A name that a file defines and that must be unique.

    Attributes
    ----------
    kind : str
        ``team``, ``service``, ``task``, ``server`` or ``address``.
    name : str
        The name.
    file, line, key
        Where it is defined.
    scope : str
        Where the name must be unique; empty for all files.
    """

    kind: str
    name: str
    file: str
    line: int
    key: str
    scope: str = ""


@attrs.frozen
class Parsed:
    """What a file says.

    Attributes
    ----------
    path : str
        As the operator named it.
    text : str
        The whole file.
    team : Team or None
        The intent, None when the file has any error.
    definitions : tuple of Definition
        The names of the file, also of one with errors as far as they could be read.
    diagnostics : tuple of Diagnostic
        In the order of lines.
    lines : dict
        Line of each key path.
    """

    path: str
    text: str
    team: intent.Team | None
    definitions: tuple[Definition, ...] = ()
    diagnostics: tuple[diagnostic.Diagnostic, ...] = ()
    lines: dict[str, int] = attrs.Factory(dict)

    def line(self, path: str) -> int:
        """Return the line of a key path or of the closest table around it."""
        return position.nearest(self.lines, path)


def parse(path: str, content: bytes) -> Parsed:
    """Read a file; never raises for any content."""
    read = syntax.read(path, content)
    reader = _Reader(path, read)
    team = reader.team(read.values) if read.values or not read.diagnostics else None
    found = [*read.diagnostics, *reader.diagnostics]
    found.sort(key=lambda each: each.line)
    return Parsed(
        path,
        read.text,
        None if diagnostic.has_errors(found) else team,
        tuple(reader.definitions),
        tuple(found),
        reader.lines,
    )


def loads(text: str) -> intent.Team:
    """Return the intent of a text that is known to be right, as in tests.

    Raises
    ------
    ValueError
        The text has faults; the message lists them.
    """
    parsed = parse("text", text.encode())
    if parsed.team is None:
        raise ValueError("\n".join(map(str, parsed.diagnostics)))
    return parsed.team


class _Reader:
    """Walks the values of one file along the table of keys and gathers faults."""

    def __init__(self, path: str, read: syntax.Syntax):
        self.path = path
        self.lines = position.positions(read.text)
        self.diagnostics: list[diagnostic.Diagnostic] = []
        self.definitions: list[Definition] = []
        self.server_count = 0
        # A line that could not be read may hold what seems to be missing.
        self.tells_missing = not read.diagnostics
        self.is_incomplete = bool(read.diagnostics)

    @property
    def is_faulty(self) -> bool:
        """Whether records can't be made any more."""
        return self.is_incomplete or bool(self.diagnostics)

    def fault(self, path: str, code: str, text: str) -> None:
        line = position.nearest(self.lines, path)
        self.diagnostics.append(diagnostic.Diagnostic(self.path, line, path, code, text))

    def define(self, kind: str, name: str, path: str, scope: str = "") -> None:
        line = position.nearest(self.lines, path)
        self.definitions.append(Definition(kind, name, self.path, line, path, scope))

    def team(self, values: dict[str, Any]) -> intent.Team | None:
        found = self.table("", "", values)
        services = tuple(
            self.service(path, table, found.get("team", ""))
            for path, table in self.children("services", "services", values)
        )
        if "team" in found:
            self.define("team", found["team"], "team")
        if self.is_faulty or "team" not in found:
            return None
        return intent.Team(found["team"], found["quota"], services)

    def service(self, path: str, values: dict[str, Any], team: str) -> intent.Service | None:
        found = self.table("services", path, values)
        name = found.get("name", "")
        if name:
            self.define("service", name, f"{path}.name")
        limits = self.single("services.limits", path, values)
        objective = self.single("services.objective", path, values)
        tasks = tuple(
            self.task(place, table, scope=f"{self.path} {path}")
            for place, table in self.children("services.tasks", f"{path}.tasks", values)
        )
        servers = tuple(
            server
            for place, table in self.children("services.servers", f"{path}.servers", values)
            for server in self.servers(place, table)
        )
        if self.is_faulty:
            return None
        return intent.Service(
            name, team, tasks, servers, intent.Limits(**limits), intent.Objective(**objective)
        )

    def task(self, path: str, values: dict[str, Any], scope: str) -> intent.TaskType | None:
        found = self.table("services.tasks", path, values)
        if "name" in found:
            self.define("task", found["name"], f"{path}.name", scope)
        if self.is_faulty:
            return None
        return intent.TaskType(found["name"], found["run_time_s"], _size(found), found["timeout_s"])

    def servers(self, path: str, values: dict[str, Any]) -> list[intent.BackendServer]:
        """Expand one table into the servers that it defines."""
        found = self.table("services.servers", path, values)
        count, first = found.get("count", 1), found.get("first", 1)
        # A few lines can ask for millions of servers; what is over the bound isn't made.
        self.server_count += count
        if self.server_count > MAX_SERVERS:
            if self.server_count - count <= MAX_SERVERS:
                text = f"a file defines at most {MAX_SERVERS} servers"
                self.fault(path, "too_many_servers", text)
            return []
        servers = []
        for name in ("name", "address"):
            if count > 1 and name in found and NUMBER_MARK not in found[name]:
                self.fault(
                    f"{path}.{name}",
                    "template_without_number",
                    f"{count} servers need {NUMBER_MARK} in their {name}",
                )
                count = 1
        known_faults = len(self.diagnostics)
        for number in range(first, first + count):
            server = self.server(path, found, number)
            if server is not None:
                servers.append(server)
            if len(self.diagnostics) > known_faults:
                break  # one fault of a template tells as much as a thousand
        return servers

    def server(self, path: str, found: dict[str, Any], number: int) -> intent.BackendServer | None:
        name = self.expand(path, found, "name", number, _is_name, "a name")
        address = self.expand(path, found, "address", number, _is_address, "an address")
        if name:
            self.define("server", name, f"{path}.name")
        if address:
            self.define("address", address, f"{path}.address")
        if self.is_faulty:
            return None
        return intent.BackendServer(
            name,
            address,
            found["data_centre"],
            found["slots"],
            found["connections"],
            _size(found),
            found["rack"],
        )

    def expand(self, path, found, name, number, is_valid, what) -> str | None:
        """Return a template's text for one number, or record why it is none."""
        if name not in found:
            return None
        text = found[name].replace(NUMBER_MARK, str(number))
        if is_valid(text):
            return text
        self.fault(f"{path}.{name}", f"bad_{name}", f"{text!r} is not {what}: {_RULES[name]}")
        return None

    def single(self, table: str, parent: str, values: dict[str, Any]) -> dict[str, Any]:
        """Read a table that may be there once; left out, it has its defaults."""
        name = table.rpartition(".")[2]
        inner = values.get(name, {})
        if not isinstance(inner, dict):
            self.fault(f"{parent}.{name}", "wrong_type", f"{name} must be a table")
            inner = {}
        return self.table(table, f"{parent}.{name}", inner)

    def children(self, table: str, path: str, values: dict[str, Any]):
        """Return ``(path, values)`` of each table of an array of tables."""
        name = table.rpartition(".")[2]
        inner = values.get(name)
        required = next(each.is_required for each in key.TABLES if each.path == table)
        if inner is None and not required:
            return []
        if not inner and required and (self.tells_missing or inner is not None):
            self.fault(path, "missing_table", f"at least one [[{table}]] is needed")
            return []
        if inner is None:
            return []
        if not isinstance(inner, list) or not all(isinstance(each, dict) for each in inner):
            self.fault(path, "wrong_type", f"{name} must be tables, written as [[{table}]]")
            return []
        return [(f"{path}[{index}]", each) for index, each in enumerate(inner)]

    def table(self, table: str, path: str, values: dict[str, Any]) -> dict[str, Any]:
        """Return the valid keys of a table with defaults for those left out."""
        known = {each.name: each for each in key.keys_of(table)}
        tables = {each.path.rpartition(".")[2] for each in key.tables_in(table)}
        prefix = f"{path}." if path else ""
        for name in values:
            if name not in known and name not in tables:
                self.fault(f"{prefix}{name}", "unknown_key", _unknown(name, known, tables))
        found = {}
        for name, each in known.items():
            if name in values:
                value = self.value(f"{prefix}{name}", each, values[name])
            elif not each.is_required:
                value = each.default
            else:
                value = _INVALID
                if self.tells_missing:
                    self.fault(f"{prefix}{name}", "missing_key", f"{name} is required")
            if value is not _INVALID:
                found[name] = value
        return found

    def value(self, path: str, each: key.Key, value: Any) -> Any:
        """Return a checked value, or ``_INVALID`` after recording the fault."""
        if each.kind in (key.Kind.INTEGER, key.Kind.NUMBER):
            return self.number(path, each, value)
        if not isinstance(value, str):
            self.fault(path, "wrong_type", f"{each.name} must be text in quotes")
        elif each.kind is key.Kind.NAME and not _is_name(value):
            self.fault(path, "bad_name", f"{value!r} is not a name: {_RULES['name']}")
        elif not _LABEL.fullmatch(value):
            self.fault(path, "bad_text", f"{each.name} must be at most 200 printable characters")
        else:
            return value
        return _INVALID

    def number(self, path: str, each: key.Key, value: Any) -> Any:
        is_integer = each.kind is key.Kind.INTEGER
        types = (int,) if is_integer else (int, float)
        if isinstance(value, bool) or not isinstance(value, types):
            self.fault(path, "wrong_type", f"{each.name} must be {_article(each.kind.value)}")
            return _INVALID
        if not each.low <= value <= each.high:  # also false for nan
            unit = f" {each.unit}" if each.unit else ""
            text = f"{each.name} must be between {each.low:g} and {each.high:g}{unit}"
            self.fault(path, "out_of_bounds", text)
            return _INVALID
        return value if is_integer else float(value)


_RULES = {
    "name": "1 to 63 lower case letters, digits and inner hyphens",
    "address": "an IPv4 address, a colon and a port",
}


def _is_name(text: str) -> bool:
    return _NAME.fullmatch(text) is not None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65_536


def _size(found: dict[str, Any]) -> intent.Size:
    return intent.Size(found["cores"], found["memory_mb"], found["accelerators"])


def _article(word: str) -> str:
    return f"an {word}" if word[0] in "aeiou" else f"a {word}"


def _unknown(name: str, known: dict[str, key.Key], tables: set[str]) -> str:
    allowed = ", ".join(sorted({*known, *tables}))
    return f"{name[:63]!r} is no key here; there are: {allowed}"
