"""Generates the tables of docs/CONFIGURATION.md from the schema and the diagnostic codes.

    python -m rosedyke.configuration.schema_page

prints them; a test compares the page with them.
"""

from rosedyke.configuration import diagnostic, schema

HEADER = (
    "| key | type | unit | default | bounds | meaning | example |\n" "|---|---|---|---|---|---|---|"
)


def render_keys() -> str:
    """Return the section of the page that lists all keys."""
    return "\n\n".join(_table(table) for table in schema.TABLES)


def render_codes(causes: dict[str, str]) -> str:
    """Return a table of diagnostic codes and their causes."""
    rows = (f"| `{code}` | {cause} |" for code, cause in causes.items())
    return "\n".join(("| code | cause |", "|---|---|", *rows))


def _table(table: schema.Table) -> str:
    rows = "\n".join(_row(key) for key in schema.keys_of(table.path))
    return f"### {_heading(table)}\n\n{table.meaning}{_occurrence(table)}\n\n{HEADER}\n{rows}"


def _heading(table: schema.Table) -> str:
    if not table.path:
        return "Top of the file"
    return f"`[[{table.path}]]`" if table.is_array else f"`[{table.path}]`"


def _occurrence(table: schema.Table) -> str:
    if not table.is_array:
        return "" if not table.path else " May be left out."
    return " At least one." if table.is_required else " Any number."


def _row(key: schema.Key) -> str:
    default = "required" if key.is_required else _default_text(key.default)
    bounds = "" if key.low is None else f"{_number_text(key.low)} to {_number_text(key.high)}"
    cells = (
        f"`{key.name}`",
        key.kind.value,
        key.unit,
        default,
        bounds,
        key.meaning,
        f"`{key.example}`",
    )
    return f"| {' | '.join(cells)} |"


def _default_text(value: object) -> str:
    return '""' if value == "" else _number_text(value)


def _number_text(value: float) -> str:
    return f"{value:,.10g}"


if __name__ == "__main__":
    print(render_keys())
    print(render_codes(diagnostic.ERRORS))
    print(render_codes(diagnostic.WARNINGS))
