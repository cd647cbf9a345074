"""The tables of docs/CONFIGURATION.md, made from the code's own tables.

    python -m rosedyke.configuration.key_page

prints them; a test compares the page with them.
"""

from rosedyke.configuration import diagnostic, key

HEADER = (
    "| key | type | unit | default | bounds | meaning | example |\n" "|---|---|---|---|---|---|---|"
)


def render_keys() -> str:
    """Return the page's section on keys."""
    return "\n\n".join(_table(table) for table in key.TABLES)


def render_codes(causes: dict[str, str]) -> str:
    """Return a table of codes with their causes."""
    rows = (f"| `{code}` | {cause} |" for code, cause in causes.items())
    return "\n".join(("| code | cause |", "|---|---|", *rows))


def _table(table: key.Table) -> str:
    rows = "\n".join(_row(each) for each in key.keys_of(table.path))
    return f"### {_title(table)}\n\n{table.meaning}{_times(table)}\n\n{HEADER}\n{rows}"


def _title(table: key.Table) -> str:
    if not table.path:
        return "Top of the file"
    return f"`[[{table.path}]]`" if table.is_array else f"`[{table.path}]`"


def _times(table: key.Table) -> str:
    if not table.is_array:
        return "" if not table.path else " May be left out."
    return " At least one." if table.is_required else " Any number."


def _row(each: key.Key) -> str:
    default = "required" if each.is_required else _value(each.default)
    bounds = "" if each.low is None else f"{_number(each.low)} to {_number(each.high)}"
    cells = (
        f"`{each.name}`",
        each.kind.value,
        each.unit,
        default,
        bounds,
        each.meaning,
        f"`{each.example}`",
    )
    return f"| {' | '.join(cells)} |"


def _value(value: object) -> str:
    return '""' if value == "" else _number(value)


def _number(value: float) -> str:
    return f"{value:,.10g}"


if __name__ == "__main__":
    print(render_keys())
    print(render_codes(diagnostic.ERRORS))
    print(render_codes(diagnostic.WARNINGS))
