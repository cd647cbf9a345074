"""Interface of the dispatcher that runs the tasks of claimed jobs."""

from typing import Protocol

import attrs

from rosedyke.job import code, job, submission


@attrs.frozen
class Refusal:
    """Why a submission was rejected; no task of it has run."""

    code: code.Code
    detail: str
    retry_after_s: float | None = None


class Dispatcher(Protocol):
    """Runs the tasks of claimed jobs on backend servers."""

    def check(self, request: submission.Submission) -> Refusal | None:
        """Return why the job is rejected, now or permanently; None if it may be claimed."""

    def run(self, active_job: job.Job) -> None:
        """Run the job's tasks; blocks until the job is closed.

        Calls ``Job.mark_sent`` before each task is sent, and fails the job if a task fails, a
        server is lost or the deadline passes.  If the job is closed from elsewhere (cancelled),
        starts no further task and returns promptly.
        """
