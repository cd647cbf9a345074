"""Errors and warnings about a configuration file, with their position."""

import enum

import attrs


class Severity(enum.Enum):
    """Whether a diagnostic prevents the file from being accepted."""

    ERROR = "error"
    WARNING = "warning"  # accepted, but the intent is unlikely to work


# Each code with its cause; docs/CONFIGURATION.md lists them.
ERRORS = {
    "syntax": "the line is not TOML",
    "duplicate_key": "a key or table is defined twice",
    "not_utf8": "the file is not UTF-8 text",
    "too_deep": "values are nested too deeply",
    "file_too_large": "the file has more bytes than fit in the store",
    "change_too_large": "the files of one change have too many bytes together",
    "too_many_files": "one change has too many files",
    "too_many_servers": "the file defines too many backend servers",
    "unreadable": "the file can't be opened",
    "unknown_key": "the table has no such key",
    "missing_key": "a required key is missing",
    "missing_table": "a required table is missing",
    "wrong_type": "the value has another type, for example text for a number",
    "out_of_bounds": "the number is outside its bounds",
    "bad_name": "the text is not a valid name",
    "bad_address": "the text is not a valid address",
    "bad_text": "the text is too long or has control characters",
    "template_without_number": "several servers would have the same name or address",
    "duplicate_team": "another file has the same team",
    "duplicate_service": "the service's name is taken, in this file or another team's",
    "duplicate_task": "the service has another task of that name",
    "duplicate_server": "the server's name is taken, in this file or another team's",
    "duplicate_address": "the server's address is taken, in this file or another team's",
}
WARNINGS = {
    "task_fits_no_server": "no server of the service has what the task needs",
    "objective_below_run_time": "the response time is shorter than the fastest task",
    "timeout_below_run_time": "a task times out before its estimated run time",
    "concurrency_above_slots": "the limit is above the number of slots and can't be reached",
}


@attrs.frozen
class Diagnostic:
    """An error in a configuration file, or a warning about it.

    Attributes
    ----------
    file : str
        Path of the file as the operator gave it.
    line : int
        Line number, from 1.
    key : str
        Path of the key, for example ``services[0].tasks[1].run_time_s``; empty for the whole file.
    code : str
        Stable identifier of the problem.
    text : str
        Description for the operator.
    severity : Severity
        Derived from the code; an error rejects the change.
    """

    file: str
    line: int
    key: str
    code: str = attrs.field(validator=attrs.validators.in_({**ERRORS, **WARNINGS}))
    text: str
    severity: Severity = attrs.field()

    @severity.default
    def _severity(self) -> Severity:
        return Severity.WARNING if self.code in WARNINGS else Severity.ERROR

    @property
    def is_error(self) -> bool:
        """Whether the diagnostic prevents the file from being accepted."""
        return self.severity is Severity.ERROR

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}: " if self.file else ""
        key_path = f"{self.key}: " if self.key else ""
        return f"{location}{key_path}{self.severity.value}: {self.text} [{self.code}]"


def has_errors(diagnostics) -> bool:
    """Return whether any diagnostic is an error."""
    return any(diagnostic.is_error for diagnostic in diagnostics)
