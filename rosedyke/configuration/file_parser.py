"""Parses a team's configuration file into the team's intent or a list of all its errors."""

import ipaddress
import re
from typing import Any

import attrs

from rosedyke.configuration import diagnostic, intent, schema, toml_parser, toml_positions

NUMBER_MARK = "{n}"
MAX_SERVERS = 5000  # per file

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
        Position of the definition.
    scope : str
        Namespace that the name must be unique in; empty for all files.
    """

    kind: str
    name: str
    file: str
    line: int
    key: str
    scope: str = ""


@attrs.frozen
class ParsedFile:
    """A parsed configuration file.

    Attributes
    ----------
    path : str
        Path as the operator gave it.
    text : str
        The file's text.
    team : Team or None
        The intent; None if the file has an error.
    definitions : tuple of Definition
        Names that the file defines, as far as they could be parsed.
    diagnostics : tuple of Diagnostic
        In line order.
    lines : dict
        Key path to line number.
    """

    path: str
    text: str
    team: intent.Team | None
    definitions: tuple[Definition, ...] = ()
    diagnostics: tuple[diagnostic.Diagnostic, ...] = ()
    lines: dict[str, int] = attrs.Factory(dict)

    def line(self, path: str) -> int:
        """Return the line of a key path or of its closest enclosing table."""
        return toml_positions.nearest_line(self.lines, path)


def parse(path: str, content: bytes) -> ParsedFile:
    """Parse a file; never raises, whatever the content."""
    parsed_toml = toml_parser.parse_toml(path, content)
    reader = _SchemaReader(path, parsed_toml)
    team = (
        reader.read_team(parsed_toml.values)
        if parsed_toml.values or not parsed_toml.diagnostics
        else None
    )
    all_diagnostics = [*parsed_toml.diagnostics, *reader.diagnostics]
    all_diagnostics.sort(key=lambda item: item.line)
    return ParsedFile(
        path,
        parsed_toml.text,
        None if diagnostic.has_errors(all_diagnostics) else team,
        tuple(reader.definitions),
        tuple(all_diagnostics),
        reader.lines,
    )


def loads(text: str) -> intent.Team:
    """Return the intent of a text that is expected to be valid, as in tests.

    Raises
    ------
    ValueError
        The text has errors; the message lists them.
    """
    parsed = parse("text", text.encode())
    if parsed.team is None:
        raise ValueError("\n".join(map(str, parsed.diagnostics)))
    return parsed.team


class _SchemaReader:
    """Validates the values of a file against the schema and collects all errors."""

    def __init__(self, path: str, parsed_toml: toml_parser.ParseResult):
        self.path = path
        self.lines = toml_positions.key_lines(parsed_toml.accepted_text)
        self.diagnostics: list[diagnostic.Diagnostic] = []
        self.definitions: list[Definition] = []
        self.server_count = 0
        # After a syntax error a key that seems to be missing may be on the invalid line.
        self.reports_missing = not parsed_toml.diagnostics
        self.is_incomplete = bool(parsed_toml.diagnostics)

    @property
    def has_errors(self) -> bool:
        """Whether the file has errors, so that no intent can be built from it."""
        return self.is_incomplete or bool(self.diagnostics)

    def add_error(self, path: str, code: str, text: str) -> None:
        line = toml_positions.nearest_line(self.lines, path)
        self.diagnostics.append(diagnostic.Diagnostic(self.path, line, path, code, text))

    def add_definition(self, kind: str, name: str, path: str, scope: str = "") -> None:
        line = toml_positions.nearest_line(self.lines, path)
        self.definitions.append(Definition(kind, name, self.path, line, path, scope))

    def read_team(self, values: dict[str, Any]) -> intent.Team | None:
        fields = self.read_table("", "", values)
        services = tuple(
            self.read_service(path, table, fields.get("team", ""))
            for path, table in self.read_table_array("services", "services", values)
        )
        if "team" in fields:
            self.add_definition("team", fields["team"], "team")
        if self.has_errors or "team" not in fields:
            return None
        return intent.Team(fields["team"], fields["quota"], services)

    def read_service(self, path: str, values: dict[str, Any], team: str) -> intent.Service | None:
        fields = self.read_table("services", path, values)
        name = fields.get("name", "")
        if name:
            self.add_definition("service", name, f"{path}.name")
        limits = self.read_optional_table("services.limits", path, values)
        objective = self.read_optional_table("services.objective", path, values)
        tasks = tuple(
            self.read_task(table_path, table, scope=f"{self.path} {path}")
            for table_path, table in self.read_table_array(
                "services.tasks", f"{path}.tasks", values
            )
        )
        servers = tuple(
            server
            for table_path, table in self.read_table_array(
                "services.servers", f"{path}.servers", values
            )
            for server in self.read_servers(table_path, table)
        )
        if self.has_errors:
            return None
        return intent.Service(
            name, team, tasks, servers, intent.Limits(**limits), intent.Objective(**objective)
        )

    def read_task(self, path: str, values: dict[str, Any], scope: str) -> intent.TaskType | None:
        fields = self.read_table("services.tasks", path, values)
        if "name" in fields:
            self.add_definition("task", fields["name"], f"{path}.name", scope)
        if self.has_errors:
            return None
        return intent.TaskType(
            fields["name"], fields["run_time_s"], _parse_size(fields), fields["timeout_s"]
        )

    def read_servers(self, path: str, values: dict[str, Any]) -> list[intent.BackendServer]:
        """Return the servers that one table defines."""
        fields = self.read_table("services.servers", path, values)
        count, first = fields.get("count", 1), fields.get("first", 1)
        # A few lines can define millions of servers, so none beyond the limit are created.
        self.server_count += count
        if self.server_count > MAX_SERVERS:
            if self.server_count - count <= MAX_SERVERS:
                text = f"a file defines at most {MAX_SERVERS} servers"
                self.add_error(path, "too_many_servers", text)
            return []
        servers = []
        for name in ("name", "address"):
            if count > 1 and name in fields and NUMBER_MARK not in fields[name]:
                self.add_error(
                    f"{path}.{name}",
                    "template_without_number",
                    f"{count} servers need {NUMBER_MARK} in their {name}",
                )
                count = 1
        errors_before = len(self.diagnostics)
        for number in range(first, first + count):
            server = self.read_server(path, fields, number)
            if server is not None:
                servers.append(server)
            if len(self.diagnostics) > errors_before:
                break  # report an invalid template once, not for each server
        return servers

    def read_server(
        self, path: str, fields: dict[str, Any], number: int
    ) -> intent.BackendServer | None:
        name = self.expand_template(path, fields, "name", number, _is_name, "a name")
        address = self.expand_template(path, fields, "address", number, _is_address, "an address")
        if name:
            self.add_definition("server", name, f"{path}.name")
        if address:
            self.add_definition("address", address, f"{path}.address")
        if self.has_errors:
            return None
        return intent.BackendServer(
            name,
            address,
            fields["data_centre"],
            fields["slots"],
            fields["connections"],
            _parse_size(fields),
            fields["rack"],
        )

    def expand_template(self, path, fields, name, number, is_valid, description) -> str | None:
        """Return a template's text for one server number; None after recording an error."""
        if name not in fields:
            return None
        text = fields[name].replace(NUMBER_MARK, str(number))
        if is_valid(text):
            return text
        self.add_error(
            f"{path}.{name}",
            f"bad_{name}",
            f"{text!r} is not {description}: {_FORMAT_DESCRIPTIONS[name]}",
        )
        return None

    def read_optional_table(
        self, table: str, parent: str, values: dict[str, Any]
    ) -> dict[str, Any]:
        """Return the values of an optional table, defaults if it is omitted."""
        name = table.rpartition(".")[2]
        nested = values.get(name, {})
        if not isinstance(nested, dict):
            self.add_error(f"{parent}.{name}", "wrong_type", f"{name} must be a table")
            nested = {}
        return self.read_table(table, f"{parent}.{name}", nested)

    def read_table_array(self, table: str, path: str, values: dict[str, Any]):
        """Return ``(path, values)`` for each table of an array of tables."""
        name = table.rpartition(".")[2]
        nested = values.get(name)
        required = next(entry.is_required for entry in schema.TABLES if entry.path == table)
        if nested is None and not required:
            return []
        if not nested and required and (self.reports_missing or nested is not None):
            self.add_error(path, "missing_table", f"at least one [[{table}]] is needed")
            return []
        if nested is None:
            return []
        if not isinstance(nested, list) or not all(isinstance(element, dict) for element in nested):
            self.add_error(path, "wrong_type", f"{name} must be tables, written as [[{table}]]")
            return []
        return [(f"{path}[{index}]", element) for index, element in enumerate(nested)]

    def read_table(self, table: str, path: str, values: dict[str, Any]) -> dict[str, Any]:
        """Return the valid values of a table, with defaults for omitted keys."""
        schema_keys = {key.name: key for key in schema.keys_of(table)}
        tables = {child.path.rpartition(".")[2] for child in schema.tables_in(table)}
        prefix = f"{path}." if path else ""
        for name in values:
            if name not in schema_keys and name not in tables:
                self.add_error(
                    f"{prefix}{name}", "unknown_key", _unknown_key_text(name, schema_keys, tables)
                )
        fields = {}
        for name, key in schema_keys.items():
            if name in values:
                value = self.read_value(f"{prefix}{name}", key, values[name])
            elif not key.is_required:
                value = key.default
            else:
                value = _INVALID
                if self.reports_missing:
                    self.add_error(f"{prefix}{name}", "missing_key", f"{name} is required")
            if value is not _INVALID:
                fields[name] = value
        return fields

    def read_value(self, path: str, key: schema.Key, value: Any) -> Any:
        """Return a validated value, or ``_INVALID`` after recording an error."""
        if key.kind in (schema.Kind.INTEGER, schema.Kind.NUMBER):
            return self.read_number(path, key, value)
        if not isinstance(value, str):
            self.add_error(path, "wrong_type", f"{key.name} must be text in quotes")
        elif key.kind is schema.Kind.NAME and not _is_name(value):
            self.add_error(
                path, "bad_name", f"{value!r} is not a name: {_FORMAT_DESCRIPTIONS['name']}"
            )
        elif not _LABEL.fullmatch(value):
            self.add_error(path, "bad_text", f"{key.name} must be at most 200 printable characters")
        else:
            return value
        return _INVALID

    def read_number(self, path: str, key: schema.Key, value: Any) -> Any:
        is_integer = key.kind is schema.Kind.INTEGER
        types = (int,) if is_integer else (int, float)
        if isinstance(value, bool) or not isinstance(value, types):
            self.add_error(
                path, "wrong_type", f"{key.name} must be {_with_article(key.kind.value)}"
            )
            return _INVALID
        if not key.low <= value <= key.high:  # NaN fails this comparison too
            unit = f" {key.unit}" if key.unit else ""
            text = f"{key.name} must be between {key.low:g} and {key.high:g}{unit}"
            self.add_error(path, "out_of_bounds", text)
            return _INVALID
        return value if is_integer else float(value)


_FORMAT_DESCRIPTIONS = {
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


def _parse_size(fields: dict[str, Any]) -> intent.Size:
    return intent.Size(fields["cores"], fields["memory_mb"], fields["accelerators"])


def _with_article(word: str) -> str:
    return f"an {word}" if word[0] in "aeiou" else f"a {word}"


def _unknown_key_text(name: str, schema_keys: dict[str, schema.Key], tables: set[str]) -> str:
    allowed = ", ".join(sorted({*schema_keys, *tables}))
    return f"unknown key {name[:63]!r}; allowed are: {allowed}"
