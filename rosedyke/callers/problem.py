"""Problem documents (RFC 9457): how each code of an answer looks over HTTP."""

import http
import math

import attrs
import msgspec

from rosedyke.job import answer, code

CONTENT_TYPE = "application/problem+json"


@attrs.frozen
class Kind:
    """How one code is shown.

    Attributes
    ----------
    status : int
        HTTP status.
    title : str
        The same for every problem of the kind.
    """

    status: int
    title: str


# 502 and 504 are avoided for jobs that may have run: balancers are often set to send such a
# request once more by themselves, which only a caller may decide.
KINDS = {
    code.Code.COMPLETE: Kind(200, "Complete"),
    code.Code.MALFORMED: Kind(400, "The request is not well formed"),
    code.Code.TOO_LARGE: Kind(413, "The request is too large"),
    code.Code.TOO_MANY_TASKS: Kind(422, "The job has too many tasks"),
    code.Code.INVALID_FIELD: Kind(422, "A field has a wrong type or value"),
    code.Code.CALLER_TOO_SLOW: Kind(408, "The request did not arrive in time"),
    code.Code.NOT_FOUND: Kind(404, "There is nothing at this path"),
    code.Code.METHOD_NOT_ALLOWED: Kind(405, "The path has no such method"),
    code.Code.UNKNOWN_SERVICE: Kind(404, "No such service is configured"),
    code.Code.UNKNOWN_TASK: Kind(422, "The service has no such task"),
    code.Code.UNKNOWN_JOB: Kind(404, "No such job is known"),
    code.Code.NOT_READY: Kind(503, "The instance is not ready"),
    code.Code.DRAINING: Kind(503, "The instance is shutting down"),
    code.Code.CAN_NEVER_RUN: Kind(422, "No backend server can ever run this job"),
    code.Code.OVERLOADED: Kind(503, "Too much is waiting"),
    code.Code.QUOTA_EXCEEDED: Kind(429, "The team's quota is used up"),
    code.Code.NO_SERVER: Kind(503, "No backend server is available"),
    code.Code.OTHER_BODY: Kind(409, "The job id was used for other tasks"),
    code.Code.ATTEMPT_CLOSED: Kind(409, "This attempt was refused before"),
    code.Code.CLAIM_FAILED: Kind(503, "The job could not be claimed"),
    code.Code.TOO_OLD: Kind(410, "The job is too old to be submitted again"),
    code.Code.HOLDER_LOST: Kind(500, "The instance that ran the job is lost"),
    code.Code.HISTORY_LOST: Kind(500, "Nobody left can tell whether the job ran"),
    code.Code.DATA_CENTRE_UNREACHABLE: Kind(503, "A data centre that may know the job is cut off"),
    code.Code.TASK_FAILED: Kind(500, "A task failed"),
    code.Code.SERVER_LOST: Kind(500, "A backend server was lost while it ran a task"),
    code.Code.DEADLINE: Kind(500, "The job did not finish within its timeout"),
    code.Code.CANCELLED: Kind(409, "The job was cancelled"),
    code.Code.STOPPED: Kind(500, "The instance stopped before the job finished"),
    code.Code.INTERNAL: Kind(500, "Internal error"),
}


class Document(msgspec.Struct, omit_defaults=True):
    """The body of a problem document."""

    type: str
    title: str
    status: int
    code: str
    outcome: str
    ran: str
    detail: str = ""
    job_id: str = ""
    retry_after_s: float | None = None


_encoder = msgspec.json.Encoder()


def document(final: answer.Answer) -> bytes:
    """Return the body for a failed answer."""
    kind = KINDS[final.code]
    return _encoder.encode(
        Document(
            type=f"urn:rosedyke:problem:{final.code.value}",
            title=kind.title,
            status=kind.status,
            code=final.code.value,
            outcome="failed",
            ran=final.ran.value,
            detail=final.detail,
            job_id=final.job_id,
            retry_after_s=final.retry_after_s,
        )
    )


def status_line(final: answer.Answer) -> str:
    """Return the HTTP status with its standard phrase."""
    status = KINDS[final.code].status
    return f"{status} {http.HTTPStatus(status).phrase}"


def headers(final: answer.Answer) -> list[tuple[str, str]]:
    """Return the headers of a failed answer, without its length."""
    fields = [("Content-Type", CONTENT_TYPE)]
    if final.retry_after_s is not None:
        # The header has whole seconds only; the body has the exact figure.
        fields.append(("Retry-After", str(max(1, math.ceil(final.retry_after_s)))))
    return fields
