"""The callers' HTTP interface as a WSGI application.

``ran: no`` is said only where it is sure.  A request that is refused here was not run by it, but
an earlier attempt at the same job may have been, at any instance.  So a refusal before the job's
claim says ``no`` to a first attempt alone, and ``unknown`` to everything else.
"""

import re
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from rosedyke import runtime
from rosedyke.callers import body, events, metrics, ports, problem, reader, settings
from rosedyke.job import answer, code, status
from rosedyke.observe import event, metric

RETRY_AFTER_S = 1.0

_JOBS_PATH = re.compile(r"/v1/services/([^/]+)/jobs")
_JOB_PATH = re.compile(r"/v1/jobs/([^/]+)")

_OF_THIS_INSTANCE = frozenset({code.Code.CALLER_TOO_SLOW, code.Code.OVERLOADED})

StartResponse = Callable[..., Any]


class Application:
    """Answers each request with the whole answer to its own job, or with a problem document.

    Parameters
    ----------
    limits : CallersSettings
        The bounds of a request.
    clock : Runtime
        Tells the time.
    manager : Manager
        Runs the jobs.
    gate : Gate
        Says whether the balancer should send callers here.  A job that comes all the same goes to
        the manager, which alone can make a refusal's "not run" true for delayed copies as well.
    recorder : Recorder
        Counts answers against the objectives.
    longest_timeout_s : callable
        ``longest_timeout_s(service)`` returns the longest timeout that the service allows, None if
        that is not known.
    """

    def __init__(
        self,
        limits: settings.CallersSettings,
        clock: runtime.Runtime,
        manager: ports.Manager,
        gate: ports.Gate,
        recorder: ports.Recorder,
        longest_timeout_s: Callable[[str], float | None] = lambda service: None,
    ):
        self.limits = limits
        self.clock = clock
        self.manager = manager
        self.gate = gate
        self.recorder = recorder
        self.longest_timeout_s = longest_timeout_s
        self.reader = reader.BodyReader(limits)
        self.in_progress = 0
        self.stopped = 0

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        metric.count(metrics.REQUESTS)
        self.in_progress += 1
        try:
            return self._route(environ, start_response)
        except body.BadRequest as error:
            metric.count(metrics.REJECTED)
            event.log(events.REQUEST_REJECTED, code=error.reason.value, detail=error.detail)
            environ.get("rosedyke.refused", _ignore)()
            retry_after_s = RETRY_AFTER_S if error.reason is code.Code.OVERLOADED else None
            return _failed(
                start_response,
                answer.Answer(
                    "",
                    error.reason,
                    _ran_before_claim(error.reason, environ),
                    detail=error.detail,
                    retry_after_s=retry_after_s,
                ),
            )
        except Exception:
            event.log(events.REQUEST_FAILED, exc_info=True, path=environ.get("PATH_INFO"))
            return _failed(
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
            return self._job(match[1], method, start_response)
        if path == "/healthz":
            _require(method, "GET", "HEAD")
            return plain(start_response, "200 OK", b"ok\n")
        if path == "/readyz":
            _require(method, "GET", "HEAD")
            return self._ready(start_response)
        raise body.BadRequest(code.Code.NOT_FOUND, "see docs/API.md for the paths")

    def _ready(self, start_response):
        refusal = self.gate.refusal()
        if refusal is None:
            return plain(start_response, "200 OK", b"ready\n")
        return plain(start_response, "503 Service Unavailable", refusal.detail.encode() + b"\n")

    def _submit(self, service, environ, start_response):
        arrival = self.clock.now()
        with self.reader.read(environ) as data:
            headers = body.parse_headers(
                environ.get("HTTP_ROSEDYKE_ATTEMPT"), environ.get("HTTP_ROSEDYKE_AGE_MS")
            )
            request = body.parse(service, headers, data, self._limits_of(service))
            metric.count(metrics.TASKS, len(request.tasks))
            final = self._run(request)
        seconds = self.clock.now() - arrival
        self.recorder.record(service, final, seconds)
        if final.is_complete:
            metric.count(metrics.COMPLETE)
            metric.timing(metrics.RESPONSE, seconds * 1000)
            return _complete(start_response, final)
        metric.count(metrics.FAILED)
        if final.code is code.Code.STOPPED:
            self.stopped += 1
        return _failed(start_response, final)

    def _limits_of(self, service):
        """Return the limits with a default timeout that the service allows."""
        longest_s = self.longest_timeout_s(service)
        if longest_s is None or longest_s >= self.limits.default_timeout_s:
            return self.limits
        return attrs.evolve(self.limits, default_timeout_s=longest_s)

    def _run(self, request):
        final = self.manager.submit(request)
        if final.job_id != request.job_id:
            event.log(events.FOREIGN_ANSWER, asked=request.job_id, got=final.job_id)
            return answer.Answer(request.job_id, code.Code.INTERNAL, answer.Ran.UNKNOWN)
        return final

    def _job(self, job_id, method, start_response):
        if not body.JOB_ID.fullmatch(job_id):
            raise body.BadRequest(code.Code.INVALID_FIELD, "the path has no valid job id")
        found = self.manager.cancel(job_id) if method == "DELETE" else self.manager.find(job_id)
        if found.state is status.State.RUNNING:
            return _running(start_response, found)
        final = found.answer or _no_answer(found)
        if final.is_complete:
            return _complete(start_response, final)
        return _failed(start_response, final)


def _no_answer(found: status.Status) -> answer.Answer:
    """Return the answer for a job whose own answer nobody could give."""
    if found.state is status.State.UNREACHABLE:
        return answer.Answer(
            found.job_id,
            code.Code.DATA_CENTRE_UNREACHABLE,
            answer.Ran.UNKNOWN,
            detail="an instance that may know the job did not answer",
            retry_after_s=RETRY_AFTER_S,
        )
    return answer.Answer(
        found.job_id,
        code.Code.UNKNOWN_JOB,
        answer.Ran.UNKNOWN,
        detail="no instance knows the job; it may be long gone",
    )


def _ignore() -> None:
    """Stand in for the server's hook where there is no server."""


def _require(method: str, *allowed: str) -> None:
    if method not in allowed:
        raise body.BadRequest(code.Code.METHOD_NOT_ALLOWED, f"use {' or '.join(allowed)}")


def _ran_before_claim(reason: code.Code, environ: dict[str, Any]) -> answer.Ran:
    """Return what a refusal before the claim may say.

    An earlier attempt may have run.  Of a first attempt there may be a copy, made by a balancer
    that repeats requests; what is wrong with the bytes themselves is wrong with the copy too, but
    being slow or having no memory left is a matter of this one instance.
    """
    is_first = environ.get("HTTP_ROSEDYKE_ATTEMPT") == "1"
    if is_first and reason not in _OF_THIS_INSTANCE:
        return answer.Ran.NO
    return answer.Ran.UNKNOWN


def plain(start_response: StartResponse, status: str, content: bytes) -> list[bytes]:
    """Answer with text for a person or a balancer."""
    start_response(status, [("Content-Type", "text/plain"), ("Content-Length", str(len(content)))])
    return [content]


def _complete(start_response: StartResponse, final: answer.Answer) -> list[bytes]:
    content = b'{"job_id":"%s","outcome":"complete","results":[%s]}\n' % (
        final.job_id.encode(),
        b",".join(final.results),
    )
    start_response(
        "200 OK", [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
    )
    return [content]


def _running(start_response: StartResponse, found: status.Status) -> list[bytes]:
    content = b'{"job_id":"%s","outcome":"running","holder":"%s"}\n' % (
        found.job_id.encode(),
        found.holder.encode(),
    )
    start_response(
        "202 Accepted",
        [("Content-Type", "application/json"), ("Content-Length", str(len(content)))],
    )
    return [content]


def _failed(start_response: StartResponse, final: answer.Answer) -> list[bytes]:
    content = problem.document(final)
    fields = [*problem.headers(final), ("Content-Length", str(len(content)))]
    start_response(problem.status_line(final), fields)
    return [content]
