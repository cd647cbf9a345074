"""The final answer of a job: all results, or a failure without results."""

import enum

import attrs

from rosedyke.job import code


class Ran(enum.Enum):
    """Whether any task of a job ran, as far as is known.

    ``NO`` guarantees that no task started or will start under this attempt or an earlier one.
    ``YES`` means that at least one task ran.  ``UNKNOWN`` guarantees nothing.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """A final answer; partial results cannot be represented.

    Attributes
    ----------
    job_id : str
        The job that this answers; checked before the answer is returned.
    code : Code
        ``COMPLETE`` or the reason for the failure.
    ran : Ran
        ``YES`` for a complete answer.
    results : tuple of bytes
        Each task's JSON result in the order of the submission; empty unless complete.
    detail : str
        One human-readable sentence.
    retry_after_s : float or None
        Seconds after which a further attempt makes sense; None if not stated.
    """

    job_id: str
    code: code.Code
    ran: Ran
    results: tuple[bytes, ...] = ()
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the answer holds the result of every task."""
        return self.code is code.Code.COMPLETE
