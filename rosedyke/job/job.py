"""The job aggregate: the state of each task and the final answer.

Its invariants hold even if messages around it are delayed, duplicated or lost:

- a task is sent at most once; it returns to waiting only if it provably did not start;
- a closed job starts no task, and its answer never changes;
- an answer is complete only with the result of every task.
"""

import enum
from collections.abc import Callable

from rosedyke import fault
from rosedyke.job import answer, code, submission


class TaskState(enum.Enum):
    """The state of a task.  ``SENT`` is recorded before the first byte is written."""

    WAITING = "waiting"
    SENT = "sent"
    FINISHED = "finished"


class JobError(fault.RosedykeError):
    """A state transition that the job does not allow."""

    code = "job_step_refused"


class JobClosed(JobError):
    """The job has its final answer; no further task may start."""

    code = "job_closed"


class Fenced(JobClosed):
    """The process was paused for so long that peers may have declared the instance dead."""

    code = "job_fenced"


class TaskNotWaiting(JobError):
    """The task was already sent; sending it again could run it twice."""

    code = "task_not_waiting"


class Job:
    """One claimed submission in progress.

    Parameters
    ----------
    request : Submission
        The submission to run.
    deadline : float
        Monotonic time in seconds at which the job ends regardless of its progress.
    fence : callable or None
        Called before each task is sent; raises Fenced while the instance is fenced.
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
        """Whether the job has its final answer."""
        return self.answer is not None

    def mark_sent(self, index: int) -> None:
        """Record that a task is about to be sent to a backend server.

        Raises
        ------
        JobClosed
            The job was cancelled, failed or timed out.
        Fenced
            The process was paused and the instance has not rejoined yet.
        TaskNotWaiting
            The task was already sent.
        """
        if self.fence is not None:
            # Checked inline: after a process pause, this may run before any timer fires.
            self.fence()
        if self.is_closed:
            raise JobClosed(self.request.job_id)
        if self.states[index] is not TaskState.WAITING:
            raise TaskNotWaiting(f"{self.request.job_id}/{index}")
        self.states[index] = TaskState.SENT

    def mark_not_started(self, index: int) -> None:
        """Return a sent task to waiting: the server reported so, or no connection was made."""
        if self.states[index] is not TaskState.SENT:
            raise JobError(f"{self.request.job_id}/{index} is {self.states[index].value}")
        self.states[index] = TaskState.WAITING

    def mark_finished(self, index: int, result: bytes) -> None:
        """Record a task's result; the last one completes the job.

        A result that arrives after the job was closed still affects ``ran``, but does not
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
        """Close the job without results; has no effect on a closed job.

        Parameters
        ----------
        reason : Code
            Anything but ``COMPLETE``.
        detail : str
            One human-readable sentence.
        retry_after_s : float or None
            Seconds after which a further attempt makes sense; None if not stated.
        ran : Ran or None
            Whether a task ran, as reported by a server; derived from the task states if None.
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
        """Close a job that sent no task with the answer of another run of the same job.

        Raises
        ------
        JobError
            The answer belongs to another job, or a task of this one was already sent.
        """
        if final.job_id != self.request.job_id:
            raise JobError(f"answer of job {final.job_id} given to job {self.request.job_id}")
        if any(state is not TaskState.WAITING for state in self.states):
            raise JobError(f"{self.request.job_id} has already sent tasks")
        if not self.is_closed:
            self._close(final)

    def ran(self) -> answer.Ran:
        """Return whether tasks ran, as far as the task states prove it.

        Without a claim, an earlier attempt may have run elsewhere.
        """
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
