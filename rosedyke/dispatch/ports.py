"""Interface of the gateway to backend servers, and its errors.

The errors state only what is certain about the task: ``NotStarted`` alone allows a retry.
"""

from typing import Protocol

import attrs

from rosedyke import fault
from rosedyke.configuration import intent


class BackendError(fault.RosedykeError):
    """A task did not return a result."""

    code = "backend_error"


class NotStarted(BackendError):
    """The task provably did not start: no connection was made, or the server refused it.

    Attributes
    ----------
    is_leaving : bool
        The server is shutting down and accepts no new work.
    is_reached : bool
        The server itself refused; false when no connection could be made.
    """

    code = "backend_not_started"

    def __init__(self, detail: str = "", is_leaving: bool = False, is_reached: bool = False):
        super().__init__(detail)
        self.is_leaving = is_leaving
        self.is_reached = is_reached


class MayHaveRun(BackendError):
    """The request was sent but no complete reply was received, so the task may have started.

    Attributes
    ----------
    is_timeout : bool
        The timeout expired; false when the connection broke.
    """

    code = "backend_may_have_run"

    def __init__(self, detail: str = "", is_timeout: bool = False):
        super().__init__(detail)
        self.is_timeout = is_timeout


class TaskFailed(BackendError):
    """The server ran the task and returned an error."""

    code = "backend_task_failed"


@attrs.frozen
class BackendCall:
    """A request to run one task on a backend server.

    Attributes
    ----------
    job_id : str
        The caller's identifier of the job.
    index : int
        The task's position in the job; with ``job_id`` the same for every attempt.
    task : str
        Name of the task type.
    payload : bytes
        JSON value given by the caller.
    """

    job_id: str
    index: int
    task: str
    payload: bytes


@attrs.frozen
class TaskReply:
    """A task's result.

    Attributes
    ----------
    result : bytes
        JSON value returned by the server.
    is_leaving : bool
        The server is shutting down and accepts no new work.
    """

    result: bytes
    is_leaving: bool = False


@attrs.frozen
class ProbeReply:
    """The state that a server reports about itself.

    Attributes
    ----------
    running : int or None
        Tasks that run there now, None if the server does not report it.
    is_leaving : bool
        The server is shutting down and accepts no new work.
    """

    running: int | None = None
    is_leaving: bool = False


class BackendGateway(Protocol):
    """Sends a task to a backend server, without retries."""

    def run_task(
        self, server: intent.BackendServer, call: BackendCall, timeout_s: float
    ) -> TaskReply:
        """Send a task and block until its result arrives.

        Raises
        ------
        NotStarted
            The task did not start and may be retried.
        MayHaveRun
            The outcome is unknown; the task must not be retried.
        TaskFailed
            The task ran and failed.
        """

    def set_instance_count(self, instances: int) -> None:
        """Set how many instances share the servers, which bounds the idle connections."""

    def probe(self, server: intent.BackendServer, timeout_s: float) -> ProbeReply:
        """Return a server's state; raises NotStarted if it does not reply."""
