"""Interfaces that the callers' API requires of the instance."""

from typing import Protocol

from rosedyke.job import answer, ports, status, submission


class Manager(Protocol):
    """Runs jobs and returns their answers."""

    def submit(self, request: submission.Submission) -> answer.Answer:
        """Block until the job's final answer, at most until its deadline."""

    def cancel(self, job_id: str) -> status.Status:
        """Cancel a job anywhere in the region and return its status."""

    def find(self, job_id: str) -> status.Status:
        """Return the status of a job anywhere in the region."""


class ReadinessCheck(Protocol):
    """Readiness of this instance for requests from the load balancer."""

    def refusal(self) -> ports.Refusal | None:
        """Return the reason for not being ready, None when ready."""


class SloRecorder(Protocol):
    """Counts answers towards the service level objectives."""

    def record(self, service: str, final: answer.Answer, seconds: float) -> None:
        """Record an answer that was ready ``seconds`` after the request arrived."""
