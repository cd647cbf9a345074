"""What the job package asks of the one that runs its tasks."""

from typing import Protocol

import attrs

from rosedyke.job import code, job, submission


@attrs.frozen
class Refusal:
    """Why a submission can't be taken.  Nothing of it has run."""

    code: code.Code
    detail: str
    retry_after_s: float | None = None


class Dispatcher(Protocol):
    """Runs the tasks of claimed jobs on backend servers."""

    def check(self, request: submission.Submission) -> Refusal | None:
        """Return why the job can't be taken now or ever; None if it may go on to its claim."""

    def run(self, running: job.Job) -> None:
        """Block until the job is closed; sends tasks only through ``Job.mark_sent``.

        Fails the job itself when a task fails, a server is lost or the deadline passes.  When
        another task closes the job (cancellation), returns soon and starts nothing more.
        """
