"""From a caller's bytes to a checked submission.

Payloads are never interpreted: they stay the bytes that the caller sent.
"""

import hashlib
import json
import math
import re
from typing import Any

import attrs
import msgspec

from rosedyke import fault
from rosedyke.callers import settings as settings_module
from rosedyke.configuration import intent
from rosedyke.job import code as job_code
from rosedyke.job import submission

DIGEST_BYTES = 16
MAX_NAME_CHARACTERS = 100
MAX_ATTEMPT = 1_000_000
MAX_AGE_MS = 10**12
# Also the characters that need no escape in a path or a log line.
JOB_ID = re.compile(r"[A-Za-z0-9._:~-]{1,128}")


class BadRequest(fault.RosedykeError):
    """A request that can't be understood or is out of bounds; nothing of it runs.

    Attributes
    ----------
    reason : Code
        What is wrong.
    detail : str
        One sentence with the position of the fault.
    """

    code = "bad_request"

    def __init__(self, reason: job_code.Code, detail: str):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class SizeBody(msgspec.Struct, forbid_unknown_fields=True):
    """The declared size of a task as it is sent."""

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


class TaskBody(msgspec.Struct, forbid_unknown_fields=True):
    """One task as it is sent."""

    name: str
    payload: msgspec.Raw = msgspec.Raw(b"null")
    run_time_s: float | None = None
    size: SizeBody | None = None


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """A job as it is sent."""

    job_id: str
    tasks: list[TaskBody]
    timeout_s: float | None = None
    idempotent: bool = False


@attrs.frozen
class Headers:
    """What the headers say about the submission as a whole.

    Attributes
    ----------
    attempt : int or None
        None if not given.
    age_s : float or None
        Seconds since the first attempt, None if not given.
    """

    attempt: int | None
    age_s: float | None


_decoder = msgspec.json.Decoder(JobBody)


def parse_attempt(text: str | None) -> int | None:
    """Return the number of the attempt, None if absent.

    Raises
    ------
    BadRequest
        The text is not a number within bounds.
    """
    if text is None:
        return None
    return _whole_number("Rosedyke-Attempt", text, 1, MAX_ATTEMPT)


def parse_headers(attempt: str | None, age_ms: str | None) -> Headers:
    """Return the checked headers.

    Raises
    ------
    BadRequest
        A value is no number within bounds, or a later attempt has no age.
    """
    number = parse_attempt(attempt)
    if age_ms is None:
        # Without its age a resubmission of a job whose claim has lapsed would look like a new
        # job and run once more.
        if number is not None and number > 1:
            raise BadRequest(
                job_code.Code.INVALID_FIELD,
                "Rosedyke-Age-Ms is required from the second attempt on",
            )
        return Headers(number, None if number is None else 0.0)
    return Headers(number, _whole_number("Rosedyke-Age-Ms", age_ms, 0, MAX_AGE_MS) / 1000)


def _whole_number(name: str, text: str, low: int, high: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(high))):
        raise BadRequest(job_code.Code.INVALID_FIELD, f"{name} is not a whole number")
    number = int(text)
    if not low <= number <= high:
        raise BadRequest(job_code.Code.INVALID_FIELD, f"{name} is not between {low} and {high}")
    return number


def parse(
    service: str, headers: Headers, data: bytes, settings: settings_module.CallersSettings
) -> submission.Submission:
    """Return the submission that a body and its headers describe.

    Raises
    ------
    BadRequest
        The body is not well formed or a value is out of bounds.
    """
    _check_syntax(data)
    job = _decode(data)
    _check_values(job)
    tasks = tuple(_task_call(task) for task in job.tasks)
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
    """Return the hash that tells another body under the same job id.

    Each part goes in with its length, so that no two different lists of parts look the same.
    The timeout is left out: a caller's later attempt has less time left.
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
            raise BadRequest(
                job_code.Code.MALFORMED, f"the key {name[:MAX_NAME_CHARACTERS]!r} stands twice"
            )
        seen.add(name)


# Numbers stay text: a payload may hold numbers that Python would refuse or take long to read.
_syntax = json.JSONDecoder(object_pairs_hook=_reject_duplicates, parse_int=str, parse_float=str)


def _check_syntax(data: bytes) -> None:
    """Reject what is not JSON and objects with a duplicate key.

    Of two equal keys one parser takes the first and another the last; the instance and a backend
    server could each run another task.  msgspec keeps the last in silence, hence this pass.
    """
    try:
        _syntax.decode(data.decode())
    except UnicodeDecodeError as error:
        raise BadRequest(
            job_code.Code.MALFORMED, f"the body is not UTF-8 at byte {error.start}"
        ) from error
    except json.JSONDecodeError as error:
        raise BadRequest(
            job_code.Code.MALFORMED, f"{error.msg} at line {error.lineno} column {error.colno}"
        ) from error
    except RecursionError as error:
        raise BadRequest(job_code.Code.MALFORMED, "the body is nested too deeply") from error


def _decode(data: bytes) -> JobBody:
    try:
        return _decoder.decode(data)
    except msgspec.ValidationError as error:
        raise BadRequest(job_code.Code.INVALID_FIELD, str(error)) from error
    except msgspec.DecodeError as error:
        raise BadRequest(job_code.Code.MALFORMED, str(error)) from error
    except RecursionError as error:
        raise BadRequest(job_code.Code.MALFORMED, "the body is nested too deeply") from error


def _check_values(job: JobBody) -> None:
    if not JOB_ID.fullmatch(job.job_id):
        raise BadRequest(
            job_code.Code.INVALID_FIELD, "$.job_id must be 1 to 128 of A-Z a-z 0-9 . _ : ~ -"
        )
    if not job.tasks:
        raise BadRequest(job_code.Code.INVALID_FIELD, "$.tasks is empty")
    if len(job.tasks) > settings_module.MAX_TASKS:
        raise BadRequest(
            job_code.Code.TOO_MANY_TASKS,
            f"$.tasks has {len(job.tasks)} tasks, {settings_module.MAX_TASKS} at most",
        )
    if job.timeout_s is not None and not 0 < job.timeout_s < math.inf:
        raise BadRequest(job_code.Code.INVALID_FIELD, "$.timeout_s must be more than 0")
    for index, task in enumerate(job.tasks):
        _check_task(index, task)


def _check_task(index: int, task: TaskBody) -> None:
    if not 0 < len(task.name) <= MAX_NAME_CHARACTERS:
        raise BadRequest(
            job_code.Code.INVALID_FIELD,
            f"$.tasks[{index}].name must have 1 to {MAX_NAME_CHARACTERS} characters",
        )
    if task.run_time_s is not None and not 0 <= task.run_time_s < math.inf:
        raise BadRequest(
            job_code.Code.INVALID_FIELD, f"$.tasks[{index}].run_time_s must not be negative"
        )
    if task.size is None:
        return
    for name in ("cores", "memory_mb", "accelerators"):
        if not 0 <= getattr(task.size, name) < math.inf:
            raise BadRequest(
                job_code.Code.INVALID_FIELD, f"$.tasks[{index}].size.{name} must not be negative"
            )


def _task_call(task: TaskBody) -> submission.TaskCall:
    size = None
    if task.size is not None:
        size = intent.Size(task.size.cores, task.size.memory_mb, task.size.accelerators)
    return submission.TaskCall(task.name, bytes(task.payload), task.run_time_s, size)
