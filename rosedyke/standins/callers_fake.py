"""Fakes of the ports of the callers' HTTP interface."""

from rosedyke.job import answer, code, ports, status, submission


class FakeManager:
    """Implements ``callers.ports.Manager`` with preset answers, returned without delay."""

    def __init__(self):
        self.submitted: list[submission.Submission] = []
        self.cancelled: list[str] = []
        self.answers: dict[str, answer.Answer] = {}
        self.states: dict[str, status.State] = {}

    def submit(self, request: submission.Submission) -> answer.Answer:
        """Return the job's preset answer, by default a success that echoes the payloads."""
        self.submitted.append(request)
        return self.answers.get(request.job_id) or answer.Answer(
            request.job_id,
            code.Code.COMPLETE,
            answer.Ran.YES,
            tuple(task.payload for task in request.tasks),
        )

    def cancel(self, job_id: str) -> status.Status:
        """Record the cancellation."""
        self.cancelled.append(job_id)
        return self.find(job_id)

    def find(self, job_id: str) -> status.Status:
        """Return the job's preset status."""
        if job_id in self.states:
            return status.Status(job_id, self.states[job_id], holder="north-2")
        if job_id in self.answers:
            return status.Status(job_id, status.State.ENDED, self.answers[job_id])
        return status.Status(job_id, status.State.NOT_FOUND)


class FakeReadinessCheck:
    """A readiness check that passes unless a refusal is set."""

    def __init__(self):
        self.closed: ports.Refusal | None = None

    def refusal(self) -> ports.Refusal | None:
        """Return the preset refusal."""
        return self.closed


class FakeSloRecorder:
    """Keeps the records."""

    def __init__(self):
        self.records: list[tuple[str, answer.Answer, float]] = []

    def record(self, service: str, final: answer.Answer, seconds: float) -> None:
        """Append one record."""
        self.records.append((service, final, seconds))
