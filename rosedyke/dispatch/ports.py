"""What dispatch asks of the gateway to backend servers, and how that gateway may fail.

The errors say only what is proved about the task, because nothing but ``NotStarted`` allows it
to be sent again.
"""

from typing import Protocol

import attrs

from rosedyke import fault
from rosedyke.configuration import intent


class BackendError(fault.RosedykeError):
    """A task did not come back with a result."""

    code = "backend_error"


class NotStarted(BackendError):
    """The task provably did not start: no connection was made, or the server said so.

    Attributes
    ----------
    is_leaving : bool
        The server said that it takes no new work at all.
    is_reached : bool
        The server itself answered; false when no connection could be made.
    """

    code = "backend_not_started"

    def __init__(self, detail: str = "", is_leaving: bool = False, is_reached: bool = False):
        super().__init__(detail)
        self.is_leaving = is_leaving
        self.is_reached = is_reached


class MayHaveRun(BackendError):
    """Bytes of the task left and no whole answer came back, so it may have started.

    Attributes
    ----------
    is_timeout : bool
        The time was over; false when the connection broke.
    """

    code = "backend_may_have_run"

    def __init__(self, detail: str = "", is_timeout: bool = False):
        super().__init__(detail)
        self.is_timeout = is_timeout


class TaskFailed(BackendError):
    """The server ran the task and answered with an error."""

    code = "backend_task_failed"


@attrs.frozen
class BackendCall:
    """One task as a backend server gets it.

    Attributes
    ----------
    job_id : str
        The caller's name of the job.
    index : int
        The task's position in the job; with ``job_id`` the same for every attempt.
    task : str
        Name of the task type.
    payload : bytes
        JSON value of the caller.
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
        JSON value of the server.
    is_leaving : bool
        The server takes no new work from now on.
    """

    result: bytes
    is_leaving: bool = False


@attrs.frozen
class ProbeReply:
    """What a server says about itself.

    Attributes
    ----------
    running : int or None
        Tasks that run there now, None when the server doesn't tell.
    is_leaving : bool
        The server takes no new work.
    """

    running: int | None = None
    is_leaving: bool = False


class BackendGateway(Protocol):
    """Sends one task to one backend server; never sends it twice by itself."""

    def run_task(
        self, server: intent.BackendServer, call: BackendCall, timeout_s: float
    ) -> TaskReply:
        """Send a task and block for its result.

        Raises
        ------
        NotStarted
            The task may be sent again.
        MayHaveRun
            It may not.
        TaskFailed
            It ran and failed.
        """

    def share_with(self, instances: int) -> None:
        """Bound what is kept open, now that so many instances use the same servers."""

    def probe(self, server: intent.BackendServer, timeout_s: float) -> ProbeReply:
        """Ask a server about itself; raises NotStarted when it doesn't answer."""
