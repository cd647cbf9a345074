"""What the callers' interface asks of the instance behind it."""

from typing import Protocol

from rosedyke.job import answer, ports, status, submission


class Manager(Protocol):
    """Runs jobs and knows their answers."""

    def submit(self, request: submission.Submission) -> answer.Answer:
        """Block until the job's final answer, at the latest until its deadline."""

    def cancel(self, job_id: str) -> status.Status:
        """Cancel a job anywhere in the region and return what it came to."""

    def find(self, job_id: str) -> status.Status:
        """Return a job's state or kept answer, wherever it is."""


class Gate(Protocol):
    """Whether the balancer should send callers here."""

    def refusal(self) -> ports.Refusal | None:
        """Return why not, None while it should."""


class Recorder(Protocol):
    """Counts finished jobs against their service's objective."""

    def record(self, service: str, final: answer.Answer, seconds: float) -> None:
        """Count one answer that took ``seconds`` from arrival."""
