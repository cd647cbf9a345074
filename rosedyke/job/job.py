"""A job that this instance runs: which task may start, and what the final answer is.

The aggregate's rules, which hold whatever is delayed, repeated or lost around it:

- a task goes from waiting to sent once; back to waiting only when it provably did not start;
- a closed job starts nothing, and its answer never changes;
- an answer is complete only with every task's result.
"""

import enum
from collections.abc import Callable

from rosedyke import fault
from rosedyke.job import answer, code, submission


class TaskState(enum.Enum):
    """Where a task is.  ``SENT`` is recorded before the first byte leaves."""

    WAITING = "waiting"
    SENT = "sent"
    FINISHED = "finished"


class JobError(fault.RosedykeError):
    """A step that the job's rules don't allow."""

    code = "job_step_refused"


class JobClosed(JobError):
    """The job has its final answer; nothing more of it may start."""

    code = "job_closed"


class Fenced(JobClosed):
    """The instance stood still for so long that its peers may count it dead."""

    code = "job_fenced"


class TaskNotWaiting(JobError):
    """The task was sent before; sending it again could run it twice."""

    code = "task_not_waiting"


class Job:
    """One claimed submission in progress.

    Parameters
    ----------
    request : Submission
        What to run.
    deadline : float
        Monotonic seconds at which the job ends whatever happened.
    fence : callable or None
        Called before each task is sent; raises Fenced when nothing may be sent any more.
    """

    def __init__(
        self,
        request: submission.Submission,
        deadline: float,
        fence: Callable[[], None] | None = None,
    ):
        self.request = request
        self.deadline = deadline
        self.fence = fence
        self.answer: answer.Answer | None = None
        self.states = [TaskState.WAITING] * len(request.tasks)
        self.results: list[bytes | None] = [None] * len(request.tasks)
        self.unfinished = len(request.tasks)
        self.on_close: list = []
        # False while another instance may be running the job under an earlier attempt.
        self.is_claimed = True

    @property
    def is_closed(self) -> bool:
        """Whether the final answer is there."""
        return self.answer is not None

    def mark_sent(self, index: int) -> None:
        """Record that a task is about to leave for a backend server.

        Raises
        ------
        JobClosed
            The job was cancelled, failed or timed out meanwhile.
        Fenced
            The instance was stopped for a while and has not re-joined.
        TaskNotWaiting
            The task was sent before.
        """
        if self.fence is not None:
            # Checked here and not by a timer: after a stop, this task may run before any timer.
            self.fence()
        if self.is_closed:
            raise JobClosed(self.request.job_id)
        if self.states[index] is not TaskState.WAITING:
            raise TaskNotWaiting(f"{self.request.job_id}/{index}")
        self.states[index] = TaskState.SENT

    def mark_not_started(self, index: int) -> None:
        """Put a sent task back to waiting: the server said so, or no connection was made."""
        if self.states[index] is not TaskState.SENT:
            raise JobError(f"{self.request.job_id}/{index} is {self.states[index].value}")
        self.states[index] = TaskState.WAITING

    def mark_finished(self, index: int, result: bytes) -> None:
        """Record a task's result; the last one completes the job.

        A result that arrives after the job was closed still counts for ``ran``, but can't
        change the answer.
        """
        if self.states[index] is not TaskState.SENT:
            raise JobError(f"{self.request.job_id}/{index} is {self.states[index].value}")
        self.states[index] = TaskState.FINISHED
        self.results[index] = result
        self.unfinished -= 1
        if not self.unfinished and not self.is_closed:
            self._close(
                answer.Answer(
                    self.request.job_id,
                    code.Code.COMPLETE,
                    answer.Ran.YES,
                    results=tuple(self.results),
                )
            )

    def fail(
        self,
        reason: code.Code,
        detail: str = "",
        retry_after_s: float | None = None,
        ran: answer.Ran | None = None,
    ) -> None:
        """Close the job without results; a closed job is left as it is.

        Parameters
        ----------
        reason : Code
            Anything but ``COMPLETE``.
        detail : str
            One sentence for a person.
        retry_after_s : float or None
            When a further attempt makes sense, in seconds.
        ran : Ran or None
            Given by a server that said the task ran and failed; else taken from the states.
        """
        if self.is_closed:
            return
        self._close(
            answer.Answer(
                self.request.job_id,
                reason,
                ran or self.ran(),
                detail=detail,
                retry_after_s=retry_after_s,
            )
        )

    def close_with(self, final: answer.Answer) -> None:
        """Close a job of which nothing was sent with the answer of another run of it.

        Raises
        ------
        JobError
            The answer belongs to another job, or a task was sent here.
        """
        if final.job_id != self.request.job_id:
            raise JobError(f"answer to {final.job_id} given to {self.request.job_id}")
        if any(state is not TaskState.WAITING for state in self.states):
            raise JobError(f"{self.request.job_id} ran here")
        if not self.is_closed:
            self._close(final)

    def ran(self) -> answer.Ran:
        """Return what the states prove; without a claim, nothing about earlier attempts."""
        if TaskState.FINISHED in self.states:
            return answer.Ran.YES
        if TaskState.SENT in self.states:
            return answer.Ran.UNKNOWN
        return answer.Ran.NO if self.is_claimed else answer.Ran.UNKNOWN

    def _close(self, final: answer.Answer) -> None:
        self.answer = final
        callbacks, self.on_close = self.on_close, []
        for callback in callbacks:
            callback(self)
