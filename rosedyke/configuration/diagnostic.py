"""One fault of a configuration file as a value with its position."""

import enum

import attrs


class Severity(enum.Enum):
    """Whether a diagnostic keeps the file from being accepted."""

    ERROR = "error"
    WARNING = "warning"  # accepted, but the intent can probably never work


# Every code with its cause, as docs/CONFIGURATION.md lists them.
ERRORS = {
    "syntax": "the line is not TOML",
    "duplicate_key": "a key or table is there twice",
    "not_utf8": "the file is not text in UTF-8",
    "too_deep": "values are nested too deep",
    "file_too_large": "the file has more bytes than fit in the store",
    "change_too_large": "the files of one change have too many bytes together",
    "too_many_files": "one change has too many files",
    "too_many_servers": "the file defines too many backend servers",
    "unreadable": "the file can't be opened",
    "unknown_key": "there is no such key in this table",
    "missing_key": "a required key is not there",
    "missing_table": "a required table is not there",
    "wrong_type": "the value has another type, for example text for a number",
    "out_of_bounds": "the number is outside its bounds",
    "bad_name": "the text is no name",
    "bad_address": "the text is no address",
    "bad_text": "the text is too long or has control characters",
    "template_without_number": "several servers would have one name or address",
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
    "concurrency_above_slots": "the limit can't be reached",
}


@attrs.frozen
class Diagnostic:
    """A fault of one file.

    Attributes
    ----------
    file : str
        Path of the file as the operator named it.
    line : int
        Counted from 1.
    key : str
        Path of the key, for example ``services[0].tasks[1].run_time_s``; empty for the file.
    code : str
        Stable identifier of the kind of fault.
    text : str
        One sentence for the operator.
    severity : Severity
        Errors reject the change; follows from the code.
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
        """Whether the file can't be accepted."""
        return self.severity is Severity.ERROR

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}: " if self.file else ""
        key = f"{self.key}: " if self.key else ""
        return f"{where}{key}{self.severity.value}: {self.text} [{self.code}]"


def has_errors(diagnostics) -> bool:
    """Return whether any diagnostic is an error."""
    return any(diagnostic.is_error for diagnostic in diagnostics)
