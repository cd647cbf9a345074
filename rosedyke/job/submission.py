"""A caller's validated request to run a job."""

import attrs
import msgspec

from rosedyke.configuration import intent


@attrs.frozen
class TaskCall:
    """One task of a submission.

    Attributes
    ----------
    name : str
        Name of a task type of the service.
    payload : bytes
        The caller's JSON value, byte for byte.
    run_time_s : float or None
        The caller's estimate of the run time in seconds, which may be inaccurate.
    size : Size or None
        Size declared by the caller; overrides that of the task type.
    """

    name: str
    payload: bytes = b"null"
    run_time_s: float | None = None
    size: intent.Size | None = None


@attrs.frozen
class Submission:
    """One attempt to run a job.

    Attributes
    ----------
    service : str
        The service that runs the tasks.
    job_id : str
        Chosen by the caller; must never be reused.
    attempt : int or None
        Number of the attempt, 1 for the first that the caller may have sent; None if not
        stated, which is treated as a resubmission, the safe assumption.
    age_s : float
        Seconds since the first attempt by the caller's monotonic clock.
    timeout_s : float
        Seconds in which the caller expects its answer.
    tasks : tuple of TaskCall
        In the order of the results.
    idempotent : bool
        Whether the caller declares that running the job twice is harmless.
    digest : bytes
        Hash of the service and the tasks, to detect another body under the same id.
    """

    service: str
    job_id: str
    attempt: int | None
    age_s: float
    timeout_s: float
    tasks: tuple[TaskCall, ...]
    idempotent: bool = False
    digest: bytes = b""

    @property
    def is_first(self) -> bool:
        """Whether the caller declares that it sent no earlier attempt."""
        return self.attempt == 1


def payload_of(value: object) -> bytes:
    """Return a value encoded as a JSON payload."""
    return msgspec.json.encode(value)
