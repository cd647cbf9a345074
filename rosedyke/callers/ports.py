"""What the callers' interface asks of the instance behind it."""

from typing import Protocol

from rosedyke.job import answer, ports, submission


class Manager(Protocol):
    """Runs jobs and knows their answers."""

    def submit(self, request: submission.Submission) -> answer.Answer:
        """Block until the job's final answer, at the latest until its deadline."""

    def cancel(self, job_id: str) -> answer.Answer | None:
        """Cancel a job anywhere in the region and return its answer; None if nobody knows it."""

    def find(self, job_id: str) -> answer.Answer | None:
        """Return the answer of a finished job; None if this instance knows no answer."""


class Gate(Protocol):
    """Whether the instance takes callers."""

    def refusal(self) -> ports.Refusal | None:
        """Return why new jobs can't be taken now, None while they can."""


class Recorder(Protocol):
    """Counts finished jobs against their service's objective."""

    def record(self, service: str, final: answer.Answer, seconds: float) -> None:
        """Count one answer that took ``seconds`` from arrival."""
