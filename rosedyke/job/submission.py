"""A caller's request to run a job, after its syntax was checked."""

import attrs
import msgspec

from rosedyke.configuration import intent


@attrs.frozen
class TaskCall:
    """One task of a submission.

    Attributes
    ----------
    name : str
        A task type of the service.
    payload : bytes
        The caller's JSON value, kept as it was sent.
    run_time_s : float or None
        The caller's estimate in seconds, which may be far off.
    size : Size or None
        The caller's declared size, in place of the task type's.
    """

    name: str
    payload: bytes = b"null"
    run_time_s: float | None = None
    size: intent.Size | None = None


@attrs.frozen
class Submission:
    """One attempt at one job.

    Attributes
    ----------
    service : str
        The service that runs the tasks.
    job_id : str
        Chosen by the caller, unique for ever.
    attempt : int or None
        1 for the first time that bytes may have left the caller; None if it didn't say, which
        is read as a resubmission because that is the safe reading.
    age_s : float
        Seconds since the first attempt by the caller's monotonic clock.
    timeout_s : float
        Seconds in which the caller wants its answer.
    tasks : tuple of TaskCall
        In the order in which the results are wanted.
    idempotent : bool
        Whether the caller says that a second run would do no harm.
    digest : bytes
        Hash of the service and the tasks, to tell another body under the same id.
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
        """Whether the caller vouches that nothing was sent before."""
        return self.attempt == 1


def payload_of(value: object) -> bytes:
    """Return a JSON value as the bytes of a payload."""
    return msgspec.json.encode(value)
