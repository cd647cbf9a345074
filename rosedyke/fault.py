"""The base of all errors, so that every error carries a stable code.

Each package defines its own errors on this base and translates those of the packages below it;
a caller of a package never has to know what that package is built on.
"""

from typing import ClassVar


class RosedykeError(Exception):
    """An error with a stable code that logs, metrics and answers can carry.

    Attributes
    ----------
    code : str
        Stable identifier, in lower case with underscores.
    """

    code: ClassVar[str] = "internal"
