"""Status of a job as returned by any instance."""

import enum

import attrs

from rosedyke.job import answer as answers


class State(enum.Enum):
    """Lifecycle state of a job."""

    RUNNING = "running"
    ENDED = "ended"
    NOT_FOUND = "not_found"
    UNREACHABLE = "unreachable"  # its holder or a registrar did not answer


@attrs.frozen
class Status:
    """State of a job, its answer if it ended, and the name of its holder."""

    job_id: str
    state: State
    answer: answers.Answer | None = None
    holder: str = ""
