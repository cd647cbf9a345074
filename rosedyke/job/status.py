"""What can be said about a job to someone who asks, at any instance."""

import enum

import attrs

from rosedyke.job import answer as answers


class State(enum.Enum):
    """Where a job is."""

    RUNNING = "running"
    ENDED = "ended"
    NOT_FOUND = "not_found"
    UNREACHABLE = "unreachable"  # its holder or a registrar didn't answer


@attrs.frozen
class Status:
    """A job's state, its answer when ended, and the instance that holds it."""

    job_id: str
    state: State
    answer: answers.Answer | None = None
    holder: str = ""
