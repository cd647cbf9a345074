"""The callers' HTTP API as a WSGI application.

``ran: no`` is reported only when it is certain.  A rejected request did not run, but an earlier
attempt at the same job may have run on any instance.  So a rejection before the job is claimed
reports ``no`` only for a first attempt, and ``unknown`` otherwise.
"""

import re
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from rosedyke import runtime
from rosedyke.callers import (
    bad_request,
    body,
    body_reader,
    events,
    metrics,
    ports,
    problem,
    settings,
)
from rosedyke.job import answer, code, status
from rosedyke.observe import event, metric

RETRY_AFTER_S = 1.0

_JOBS_PATH = re.compile(r"/v1/services/([^/]+)/jobs")
_JOB_PATH = re.compile(r"/v1/jobs/([^/]+)")

_INSTANCE_SPECIFIC_CODES = frozenset({code.Code.CALLER_TOO_SLOW, code.Code.OVERLOADED})

StartResponse = Callable[..., Any]


class Application:
    """Answers each request with the complete answer of its job or a problem document.

    Parameters
    ----------
    limits : CallersSettings
        Limits on requests.
    clock : Runtime
        Time source.
    manager : Manager
        Runs the jobs.
    readiness_check : ReadinessCheck
        Answers the load balancer's readiness probe.  Jobs are passed to the manager even when it
        fails: only the manager can ensure that "not run" also holds for delayed copies of a
        request.
    slo_recorder : SloRecorder
        Counts answers towards the service level objectives.
    max_timeout_s : callable
        ``max_timeout_s(service)`` returns the longest timeout that the service allows, None if
        unknown.
    """

    def __init__(
        self,
        limits: settings.CallersSettings,
        clock: runtime.Runtime,
        manager: ports.Manager,
        readiness_check: ports.ReadinessCheck,
        slo_recorder: ports.SloRecorder,
        max_timeout_s: Callable[[str], float | None] = lambda service: None,
    ):
        self.limits = limits
        self.clock = clock
        self.manager = manager
        self.readiness_check = readiness_check
        self.slo_recorder = slo_recorder
        self.max_timeout_s = max_timeout_s
        self.reader = body_reader.BodyReader(limits)
        self.in_progress = 0
        self.stopped_jobs = 0

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        metric.count(metrics.REQUESTS)
        self.in_progress += 1
        try:
            return self._route(environ, start_response)
        except bad_request.BadRequest as error:
            metric.count(metrics.REJECTED)
            event.log(events.REQUEST_REJECTED, code=error.reason.value, detail=error.detail)
            environ.get("rosedyke.refused", _no_hook)()
            retry_after_s = RETRY_AFTER_S if error.reason is code.Code.OVERLOADED else None
            return _problem_response(
                start_response,
                answer.Answer(
                    "",
                    error.reason,
                    _ran_if_rejected(error.reason, environ),
                    detail=error.detail,
                    retry_after_s=retry_after_s,
                ),
            )
        except Exception:
            event.log(events.REQUEST_FAILED, exc_info=True, path=environ.get("PATH_INFO"))
            return _problem_response(
                start_response, answer.Answer("", code.Code.INTERNAL, answer.Ran.UNKNOWN)
            )
        finally:
            self.in_progress -= 1

    def _route(self, environ, start_response):
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if match := _JOBS_PATH.fullmatch(path):
            _require(method, "POST")
            return self._submit(match[1], environ, start_response)
        if match := _JOB_PATH.fullmatch(path):
            _require(method, "GET", "DELETE")
            return self._find_or_cancel(match[1], method, start_response)
        if path == "/healthz":
            _require(method, "GET", "HEAD")
            return text_response(start_response, "200 OK", b"ok\n")
        if path == "/readyz":
            _require(method, "GET", "HEAD")
            return self._readiness(start_response)
        raise bad_request.BadRequest(code.Code.NOT_FOUND, "see docs/API.md for the paths")

    def _readiness(self, start_response):
        refusal = self.readiness_check.refusal()
        if refusal is None:
            return text_response(start_response, "200 OK", b"ready\n")
        return text_response(
            start_response, "503 Service Unavailable", refusal.detail.encode() + b"\n"
        )

    def _submit(self, service, environ, start_response):
        arrived_at = self.clock.now()
        with self.reader.read(environ) as data:
            headers = body.parse_headers(
                environ.get("HTTP_ROSEDYKE_ATTEMPT"), environ.get("HTTP_ROSEDYKE_AGE_MS")
            )
            request = body.parse(service, headers, data, self._limits_for(service))
            metric.count(metrics.TASKS, len(request.tasks))
            final = self._run(request)
        elapsed_s = self.clock.now() - arrived_at
        self.slo_recorder.record(service, final, elapsed_s)
        if final.is_complete:
            metric.count(metrics.COMPLETE)
            metric.timing(metrics.RESPONSE, elapsed_s * 1000)
            return _complete_response(start_response, final)
        metric.count(metrics.FAILED)
        if final.code is code.Code.STOPPED:
            self.stopped_jobs += 1
        return _problem_response(start_response, final)

    def _limits_for(self, service):
        """Return the limits, with the default timeout capped at the service's maximum."""
        service_max_s = self.max_timeout_s(service)
        if service_max_s is None or service_max_s >= self.limits.default_timeout_s:
            return self.limits
        return attrs.evolve(self.limits, default_timeout_s=service_max_s)

    def _run(self, request):
        final = self.manager.submit(request)
        if final.job_id != request.job_id:
            event.log(events.FOREIGN_ANSWER, asked=request.job_id, got=final.job_id)
            return answer.Answer(request.job_id, code.Code.INTERNAL, answer.Ran.UNKNOWN)
        return final

    def _find_or_cancel(self, job_id, method, start_response):
        if not body.JOB_ID.fullmatch(job_id):
            raise bad_request.BadRequest(code.Code.INVALID_FIELD, "the path has no valid job id")
        job_status = (
            self.manager.cancel(job_id) if method == "DELETE" else self.manager.find(job_id)
        )
        if job_status.state is status.State.RUNNING:
            return _running_response(start_response, job_status)
        final = job_status.answer or _missing_answer(job_status)
        if final.is_complete:
            return _complete_response(start_response, final)
        return _problem_response(start_response, final)


def _missing_answer(job_status: status.Status) -> answer.Answer:
    """Return the answer for a job whose status has no answer."""
    if job_status.state is status.State.UNREACHABLE:
        return answer.Answer(
            job_status.job_id,
            code.Code.DATA_CENTRE_UNREACHABLE,
            answer.Ran.UNKNOWN,
            detail="an instance that may know the job did not answer",
            retry_after_s=RETRY_AFTER_S,
        )
    return answer.Answer(
        job_status.job_id,
        code.Code.UNKNOWN_JOB,
        answer.Ran.UNKNOWN,
        detail="no instance knows the job; it may be long gone",
    )


def _no_hook() -> None:
    """Replace the server's hook when there is no server."""


def _require(method: str, *allowed: str) -> None:
    if method not in allowed:
        raise bad_request.BadRequest(code.Code.METHOD_NOT_ALLOWED, f"use {' or '.join(allowed)}")


def _ran_if_rejected(reason: code.Code, environ: dict[str, Any]) -> answer.Ran:
    """Return whether the job may have run when a request is rejected before its claim.

    An earlier attempt may have run, and a load balancer may have sent a copy of a first attempt to
    another instance.  That copy is rejected too if the bytes are invalid, but not if this instance
    received them too slowly or lacked memory.
    """
    is_first = environ.get("HTTP_ROSEDYKE_ATTEMPT") == "1"
    if is_first and reason not in _INSTANCE_SPECIFIC_CODES:
        return answer.Ran.NO
    return answer.Ran.UNKNOWN


def text_response(start_response: StartResponse, status: str, content: bytes) -> list[bytes]:
    """Send a plain-text response, for operators and load balancers."""
    start_response(status, [("Content-Type", "text/plain"), ("Content-Length", str(len(content)))])
    return [content]


def _complete_response(start_response: StartResponse, final: answer.Answer) -> list[bytes]:
    content = b'{"job_id":"%s","outcome":"complete","results":[%s]}\n' % (
        final.job_id.encode(),
        b",".join(final.results),
    )
    start_response(
        "200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
    )
    return [content]


def _running_response(start_response: StartResponse, job_status: status.Status) -> list[bytes]:
    content = b'{"job_id":"%s","outcome":"running","holder":"%s"}\n' % (
        job_status.job_id.encode(),
        job_status.holder.encode(),
    )
    start_response(
        "202 Accepted",
        [("Content-Type", "application/json"), ("Content-Length", str(len(content)))],
    )
    return [content]


def _problem_response(start_response: StartResponse, final: answer.Answer) -> list[bytes]:
    content = problem.document(final)
    response_headers = [*problem.headers(final), ("Content-Length", str(len(content)))]
    start_response(problem.status_line(final), response_headers)
    return [content]
