"""The final answer to a job: complete with every result, or failed with none."""

import enum

import attrs

from rosedyke.job import code


class Ran(enum.Enum):
    """What is known about whether tasks of a failed job ran.

    ``NO`` promises that no task started and none will under this attempt or an earlier one.
    ``YES`` says that at least one task ran.  ``UNKNOWN`` promises nothing.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """A whole answer.  A partial one can't be expressed.

    Attributes
    ----------
    job_id : str
        Whose answer it is; checked before it is given to anyone.
    code : Code
        ``COMPLETE`` or the reason of the failure.
    ran : Ran
        ``YES`` for a complete answer.
    results : tuple of bytes
        Each task's JSON result in the order of the submission; empty unless complete.
    detail : str
        One sentence for a person.
    retry_after_s : float or None
        When a further attempt makes sense, in seconds.
    """

    job_id: str
    code: code.Code
    ran: Ran
    results: tuple[bytes, ...] = ()
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every task's result is there."""
        return self.code is code.Code.COMPLETE
