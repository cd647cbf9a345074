"""Parses and validates submissions.

Payloads are not interpreted: they are passed on as the bytes that the caller sent.
"""

import hashlib
import json
import math
import re
from typing import Any

import attrs
import msgspec

from rosedyke.callers import bad_request
from rosedyke.callers import settings as settings_module
from rosedyke.configuration import intent
from rosedyke.job import code as job_code
from rosedyke.job import submission

DIGEST_BYTES = 16
MAX_NAME_CHARACTERS = 100
MAX_ATTEMPT = 1_000_000
MAX_AGE_MS = 10**12
# Only characters that need no escaping in a path or a log line.
JOB_ID = re.compile(r"[A-Za-z0-9._:~-]{1,128}")


class SizeBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON form of a task's resource requirements."""

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


class TaskBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON form of a task."""

    name: str
    payload: msgspec.Raw = msgspec.Raw(b"null")
    run_time_s: float | None = None
    size: SizeBody | None = None


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON form of a job."""

    job_id: str
    tasks: list[TaskBody]
    timeout_s: float | None = None
    idempotent: bool = False


@attrs.frozen
class Headers:
    """The headers of a submission.

    Attributes
    ----------
    attempt : int or None
        Number of the attempt, None if not given.
    age_s : float or None
        Seconds since the first attempt, None if not given.
    """

    attempt: int | None
    age_s: float | None


_DECODER = msgspec.json.Decoder(JobBody)


def parse_attempt(text: str | None) -> int | None:
    """Return the number of the attempt, None if absent.

    Raises
    ------
    bad_request.BadRequest
        The text is not a number or is out of range.
    """
    if text is None:
        return None
    return _parse_integer("Rosedyke-Attempt", text, 1, MAX_ATTEMPT)


def parse_headers(attempt: str | None, age_ms: str | None) -> Headers:
    """Return the validated headers.

    Raises
    ------
    bad_request.BadRequest
        A value is not a number or is out of range, or a later attempt has no age.
    """
    attempt_number = parse_attempt(attempt)
    if age_ms is None:
        # Without its age, a resubmitted job whose claim has expired would be taken for a new job
        # and run again.
        if attempt_number is not None and attempt_number > 1:
            raise bad_request.BadRequest(
                job_code.Code.INVALID_FIELD,
                "Rosedyke-Age-Ms is required from the second attempt on",
            )
        return Headers(attempt_number, None if attempt_number is None else 0.0)
    return Headers(attempt_number, _parse_integer("Rosedyke-Age-Ms", age_ms, 0, MAX_AGE_MS) / 1000)


def _parse_integer(name: str, text: str, minimum: int, maximum: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(maximum))):
        raise bad_request.BadRequest(job_code.Code.INVALID_FIELD, f"{name} is not a whole number")
    value = int(text)
    if not minimum <= value <= maximum:
        raise bad_request.BadRequest(
            job_code.Code.INVALID_FIELD, f"{name} is not between {minimum} and {maximum}"
        )
    return value


def parse(
    service: str, headers: Headers, data: bytes, settings: settings_module.CallersSettings
) -> submission.Submission:
    """Return the submission in a body and its headers.

    Raises
    ------
    bad_request.BadRequest
        The body is not well formed or a value is out of range.
    """
    _check_syntax(data)
    job = _decode(data)
    _check_values(job)
    tasks = tuple(_create_task_call(task) for task in job.tasks)
    timeout_s = settings.default_timeout_s if job.timeout_s is None else job.timeout_s
    return submission.Submission(
        service=service,
        job_id=job.job_id,
        attempt=headers.attempt,
        age_s=settings.unknown_age_s if headers.age_s is None else headers.age_s,
        timeout_s=timeout_s,
        tasks=tasks,
        idempotent=job.idempotent,
        digest=digest(service, job.idempotent, tasks),
    )


def digest(service: str, idempotent: bool, tasks: tuple[submission.TaskCall, ...]) -> bytes:
    """Return the hash that detects a different body with the same job id.

    Each part is prefixed with its length, so that different lists of parts never hash the same
    bytes.  The timeout is excluded because later attempts have less time left.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (service.encode(), b"1" if idempotent else b"0"):
        hasher.update(b"%d:" % len(part) + part)
    for task in tasks:
        size = b"" if task.size is None else repr(attrs.astuple(task.size)).encode()
        name = task.name.encode()
        hasher.update(b"%d:%d:%d:" % (len(name), len(task.payload), len(size)))
        hasher.update(name + task.payload + size)
    return hasher.digest()


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> None:
    if len(pairs) == 1:
        return
    names = {name for name, _ in pairs}
    if len(names) == len(pairs):
        return
    seen = set()
    for name, _ in pairs:
        if name in seen:
            raise bad_request.BadRequest(
                job_code.Code.MALFORMED, f"the key {name[:MAX_NAME_CHARACTERS]!r} stands twice"
            )
        seen.add(name)


# Numbers stay text: Python rejects or is slow to convert some that a payload may contain.
_SYNTAX_DECODER = json.JSONDecoder(
    object_pairs_hook=_reject_duplicates, parse_int=str, parse_float=str
)


def _check_syntax(data: bytes) -> None:
    """Reject invalid JSON and objects with duplicate keys.

    Parsers disagree on which of two equal keys counts, so the instance and a backend server could
    see different tasks.  msgspec accepts duplicates, so they are checked here.
    """
    try:
        _SYNTAX_DECODER.decode(data.decode())
    except UnicodeDecodeError as error:
        raise bad_request.BadRequest(
            job_code.Code.MALFORMED, f"the body is not UTF-8 at byte {error.start}"
        ) from error
    except json.JSONDecodeError as error:
        raise bad_request.BadRequest(
            job_code.Code.MALFORMED, f"{error.msg} at line {error.lineno} column {error.colno}"
        ) from error
    except RecursionError as error:
        raise bad_request.BadRequest(
            job_code.Code.MALFORMED, "the body is nested too deeply"
        ) from error


def _decode(data: bytes) -> JobBody:
    try:
        return _DECODER.decode(data)
    except msgspec.ValidationError as error:
        raise bad_request.BadRequest(job_code.Code.INVALID_FIELD, str(error)) from error
    except msgspec.DecodeError as error:
        raise bad_request.BadRequest(job_code.Code.MALFORMED, str(error)) from error
    except RecursionError as error:
        raise bad_request.BadRequest(
            job_code.Code.MALFORMED, "the body is nested too deeply"
        ) from error


def _check_values(job: JobBody) -> None:
    if not JOB_ID.fullmatch(job.job_id):
        raise bad_request.BadRequest(
            job_code.Code.INVALID_FIELD, "$.job_id must be 1 to 128 of A-Z a-z 0-9 . _ : ~ -"
        )
    if not job.tasks:
        raise bad_request.BadRequest(job_code.Code.INVALID_FIELD, "$.tasks is empty")
    if len(job.tasks) > settings_module.MAX_TASKS:
        raise bad_request.BadRequest(
            job_code.Code.TOO_MANY_TASKS,
            f"$.tasks has {len(job.tasks)} tasks, {settings_module.MAX_TASKS} at most",
        )
    if job.timeout_s is not None and not 0 < job.timeout_s < math.inf:
        raise bad_request.BadRequest(job_code.Code.INVALID_FIELD, "$.timeout_s must be more than 0")
    for index, task in enumerate(job.tasks):
        _check_task(index, task)


def _check_task(index: int, task: TaskBody) -> None:
    if not 0 < len(task.name) <= MAX_NAME_CHARACTERS:
        raise bad_request.BadRequest(
            job_code.Code.INVALID_FIELD,
            f"$.tasks[{index}].name must have 1 to {MAX_NAME_CHARACTERS} characters",
        )
    if task.run_time_s is not None and not 0 <= task.run_time_s < math.inf:
        raise bad_request.BadRequest(
            job_code.Code.INVALID_FIELD, f"$.tasks[{index}].run_time_s must not be negative"
        )
    if task.size is None:
        return
    for name in ("cores", "memory_mb", "accelerators"):
        if not 0 <= getattr(task.size, name) < math.inf:
            raise bad_request.BadRequest(
                job_code.Code.INVALID_FIELD, f"$.tasks[{index}].size.{name} must not be negative"
            )


def _create_task_call(task: TaskBody) -> submission.TaskCall:
    size = None
    if task.size is not None:
        size = intent.Size(task.size.cores, task.size.memory_mb, task.size.accelerators)
    return submission.TaskCall(task.name, bytes(task.payload), task.run_time_s, size)
