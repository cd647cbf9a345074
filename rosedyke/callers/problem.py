"""Problem documents (RFC 9457): the HTTP representation of each answer code."""

import http
import math

import attrs
import msgspec

from rosedyke.job import answer, code

CONTENT_TYPE = "application/problem+json"


@attrs.frozen
class ProblemType:
    """HTTP status and title of an answer code.

    Attributes
    ----------
    status : int
        HTTP status.
    title : str
        Summary of the problem, the same for every occurrence.
    """

    status: int
    title: str


# 502 and 504 are avoided for jobs that may have run: load balancers are often configured to retry
# such requests, but only the caller may decide that.
PROBLEM_TYPES = {
    code.Code.COMPLETE: ProblemType(200, "Complete"),
    code.Code.MALFORMED: ProblemType(400, "The request is not well formed"),
    code.Code.TOO_LARGE: ProblemType(413, "The request is too large"),
    code.Code.TOO_MANY_TASKS: ProblemType(422, "The job has too many tasks"),
    code.Code.INVALID_FIELD: ProblemType(422, "A field has a wrong type or value"),
    code.Code.CALLER_TOO_SLOW: ProblemType(408, "The request did not arrive in time"),
    code.Code.NOT_FOUND: ProblemType(404, "There is nothing at this path"),
    code.Code.METHOD_NOT_ALLOWED: ProblemType(405, "The path has no such method"),
    code.Code.UNKNOWN_SERVICE: ProblemType(404, "No such service is configured"),
    code.Code.UNKNOWN_TASK: ProblemType(422, "The service has no such task"),
    code.Code.UNKNOWN_JOB: ProblemType(404, "No such job is known"),
    code.Code.NOT_READY: ProblemType(503, "The instance is not ready"),
    code.Code.DRAINING: ProblemType(503, "The instance is shutting down"),
    code.Code.CAN_NEVER_RUN: ProblemType(422, "No backend server can ever run this job"),
    code.Code.OVERLOADED: ProblemType(503, "Too much is waiting"),
    code.Code.QUOTA_EXCEEDED: ProblemType(429, "The team's quota is used up"),
    code.Code.NO_SERVER: ProblemType(503, "No backend server is available"),
    code.Code.OTHER_BODY: ProblemType(409, "The job id was used for other tasks"),
    code.Code.ATTEMPT_CLOSED: ProblemType(409, "This attempt was refused before"),
    code.Code.CLAIM_FAILED: ProblemType(503, "The job could not be claimed"),
    code.Code.TOO_OLD: ProblemType(410, "The job is too old to be submitted again"),
    code.Code.HOLDER_LOST: ProblemType(500, "The instance that ran the job is lost"),
    code.Code.HISTORY_LOST: ProblemType(500, "Nobody left can tell whether the job ran"),
    code.Code.DATA_CENTRE_UNREACHABLE: ProblemType(
        503, "A data centre that may know the job is cut off"
    ),
    code.Code.TASK_FAILED: ProblemType(500, "A task failed"),
    code.Code.SERVER_LOST: ProblemType(500, "A backend server was lost while it ran a task"),
    code.Code.DEADLINE: ProblemType(500, "The job did not finish within its timeout"),
    code.Code.CANCELLED: ProblemType(409, "The job was cancelled"),
    code.Code.STOPPED: ProblemType(500, "The instance stopped before the job finished"),
    code.Code.INTERNAL: ProblemType(500, "Internal error"),
}


class Document(msgspec.Struct, omit_defaults=True):
    """The JSON body of a problem document."""

    type: str
    title: str
    status: int
    code: str
    outcome: str
    ran: str
    detail: str = ""
    job_id: str = ""
    retry_after_s: float | None = None


_ENCODER = msgspec.json.Encoder()


def document(final: answer.Answer) -> bytes:
    """Return the encoded problem document of a failed answer."""
    problem_type = PROBLEM_TYPES[final.code]
    return _ENCODER.encode(
        Document(
            type=f"urn:rosedyke:problem:{final.code.value}",
            title=problem_type.title,
            status=problem_type.status,
            code=final.code.value,
            outcome="failed",
            ran=final.ran.value,
            detail=final.detail,
            job_id=final.job_id,
            retry_after_s=final.retry_after_s,
        )
    )


def status_line(final: answer.Answer) -> str:
    """Return the HTTP status code and reason phrase."""
    status = PROBLEM_TYPES[final.code].status
    return f"{status} {http.HTTPStatus(status).phrase}"


def headers(final: answer.Answer) -> list[tuple[str, str]]:
    """Return the headers of a failed answer, without Content-Length."""
    header_fields = [("Content-Type", CONTENT_TYPE)]
    if final.retry_after_s is not None:
        # Retry-After takes whole seconds only; the body has the exact value.
        header_fields.append(("Retry-After", str(max(1, math.ceil(final.retry_after_s)))))
    return header_fields
