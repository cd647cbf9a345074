"""One fault of a configuration file as a value with its position."""

import enum

import attrs


class Severity(enum.Enum):
    """Whether a diagnostic keeps the file from being accepted."""

    ERROR = "error"
    WARNING = "warning"  # accepted, but the intent can probably never work


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
        Errors reject the change.
    """

    file: str
    line: int
    key: str
    code: str
    text: str
    severity: Severity = Severity.ERROR

    @property
    def is_error(self) -> bool:
        """Whether the file can't be accepted."""
        return self.severity is Severity.ERROR

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}"
        key = f" {self.key}:" if self.key else ""
        return f"{where}:{key} {self.severity.value}: {self.text} [{self.code}]"


def has_errors(diagnostics) -> bool:
    """Return whether any diagnostic is an error."""
    return any(diagnostic.is_error for diagnostic in diagnostics)
