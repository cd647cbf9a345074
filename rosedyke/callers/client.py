"""Client library for callers: submits a job until its complete answer is received.

It maintains the attempt number and the age of a job, which make resubmission safe: an attempt
counts as soon as bytes may have been sent, and the age is measured with the monotonic clock.
Calls block.  A client may be shared by threads, or by green threads if sockets are patched.
"""

import random
import socket
import time
import uuid
from collections.abc import Callable, Sequence

import attrs
import msgspec
import urllib3
import urllib3.connection
import urllib3.exceptions

from rosedyke import fault
from rosedyke.callers import problem
from rosedyke.job import answer
from rosedyke.job import code as job_code

# Refusals specific to an instance: another instance may accept the job at once.
_INSTANCE_SPECIFIC_CODES = frozenset({job_code.Code.NOT_READY, job_code.Code.DRAINING})

# TCP options that detect a dead connection before the timeout of the request.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 3
_USER_TIMEOUT_MS = 5000
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


class ClientError(fault.RosedykeError):
    """A job has no complete answer.

    Attributes
    ----------
    answer : Answer
        What is known about the job.
    """

    code = "client_error"

    def __init__(self, final: answer.Answer):
        super().__init__(f"{final.job_id}: {final.code.value}: {final.detail}")
        self.answer = final


class JobNotRun(ClientError):
    """No task of the job has started or will start."""

    code = "job_not_run"


class JobFailed(ClientError):
    """At least one task ran, and the job failed."""

    code = "job_failed"


class JobRunning(ClientError):
    """The job has no answer yet."""

    code = "job_running"


class JobUnknown(ClientError):
    """Whether the job ran is unknown."""

    code = "job_unknown"


_ERROR_CLASSES = {
    answer.Ran.NO: JobNotRun,
    answer.Ran.YES: JobFailed,
    answer.Ran.UNKNOWN: JobUnknown,
}


@attrs.frozen
class ClientSettings:
    """How a caller reaches the entry instances.

    Attributes
    ----------
    instances : tuple of str
        ``ip:port`` of the callers' API of each instance.
    connect_timeout_s : float
        Timeout for connecting.
    attempt_timeout_s : float
        Time to wait for an answer before the job is submitted again, which attaches to the run in
        progress.
    first_backoff_s : float
        Mean delay before the second attempt, doubled for each further one.
    longest_backoff_s : float
        Upper limit of the mean delay.
    max_connections : int
        Size of the connection pool of each instance.
    """

    instances: tuple[str, ...]
    connect_timeout_s: float = 1.0
    attempt_timeout_s: float = 5.0
    first_backoff_s: float = 0.05
    longest_backoff_s: float = 2.0
    max_connections: int = 16


@attrs.frozen
class Task:
    """One task of a job.

    Attributes
    ----------
    name : str
        Name of a task of the service.
    payload : object
        Any JSON value.
    run_time_s : float or None
        Estimated run time.
    size : dict of str to float or None
        Required ``cores``, ``memory_mb`` and ``accelerators``.
    """

    name: str
    payload: object = None
    run_time_s: float | None = None
    size: dict[str, float] | None = None


class _CompleteBody(msgspec.Struct):
    """The body of a complete answer."""

    job_id: str
    results: list[msgspec.Raw]


class _RunningBody(msgspec.Struct):
    """The body for a job that is still running."""

    job_id: str
    holder: str = ""


class _NoAnswer(Exception):
    """A request received no valid answer.

    Attributes
    ----------
    may_have_been_sent : bool
        Whether bytes of the request may have been sent.
    """

    def __init__(self, may_have_been_sent: bool, detail: str):
        super().__init__(detail)
        self.may_have_been_sent = may_have_been_sent
        self.detail = detail


@attrs.define
class _Progress:
    """State of a submission over its attempts."""

    job_id: str
    deadline: float
    is_first: bool
    attempts: int = 0
    started_at: float | None = None
    last_answer: answer.Answer | None = None
    backoff_count: int = 0


class Client:
    """Submits jobs to a list of entry instances.

    Parameters
    ----------
    settings : ClientSettings
        Instances and timeouts.
    clock, sleep, random_fraction : callable
        Monotonic time, sleep, and a random number in [0, 1); replaced in tests.
    """

    def __init__(
        self,
        settings: ClientSettings,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        random_fraction: Callable[[], float] = random.random,
    ):
        if not settings.instances:
            raise ValueError("a client needs at least one instance")
        self.settings = settings
        self.clock = clock
        self.sleep = sleep
        self.random_fraction = random_fraction
        self.retry_at = dict.fromkeys(settings.instances, 0.0)
        self.next_instance = int(random_fraction() * len(settings.instances))
        self.pool = urllib3.PoolManager(
            num_pools=len(settings.instances),
            maxsize=settings.max_connections,
            retries=False,
            socket_options=list(SOCKET_OPTIONS),
        )

    def submit(
        self,
        service: str,
        tasks: Sequence[Task],
        timeout_s: float = 30.0,
        job_id: str | None = None,
        idempotent: bool = False,
        is_first: bool | None = None,
    ) -> answer.Answer:
        """Run a job and return its complete answer.

        Parameters
        ----------
        service : str
            The service that runs the tasks.
        tasks : sequence of Task
            At most 300.
        timeout_s : float
            Time limit for the complete answer.
        job_id : str or None
            Globally unique identifier; generated if None.
        idempotent : bool
            Whether the job may be run more than once.
        is_first : bool or None
            Whether the job was never submitted before, not even by an earlier process.  This saves
            a lookup in other data centres.  None means true only if the identifier is generated.

        Raises
        ------
        ClientError
            The subclass tells whether the job ran.
        """
        if is_first is None:
            is_first = job_id is None
        job_id = job_id or uuid.uuid4().hex
        progress = _Progress(job_id, self.clock() + timeout_s, is_first)
        encoded_tasks = msgspec.json.encode([_task_body(task) for task in tasks])
        while self.clock() < progress.deadline:
            final = self._attempt(service, encoded_tasks, idempotent, progress)
            if final is not None:
                return final
        raise _deadline_error(progress)

    def find(self, job_id: str) -> answer.Answer:
        """Return the answer of a completed job, otherwise raise ``ClientError``."""
        return self._request_any("GET", job_id)

    def cancel(self, job_id: str) -> answer.Answer:
        """Cancel a job; return its answer if it was complete, otherwise raise ``ClientError``."""
        return self._request_any("DELETE", job_id)

    def _attempt(self, service, tasks, idempotent, progress):
        """Submit once; return the complete answer, or None to try again."""
        instance = self._choose_instance(progress)
        if instance is None:
            return None
        now = self.clock()
        remaining_s = progress.deadline - now
        if remaining_s <= 0:
            return None
        age_s = 0.0 if progress.started_at is None else now - progress.started_at
        headers = {"Content-Type": "application/json"}
        if progress.is_first:
            # Unknown for jobs that may have been submitted before this call.
            headers["Rosedyke-Attempt"] = str(progress.attempts + 1)
            headers["Rosedyke-Age-Ms"] = str(int(age_s * 1000))
        content = b'{"job_id":%s,"timeout_s":%s,"idempotent":%s,"tasks":%s}' % (
            msgspec.json.encode(progress.job_id),
            msgspec.json.encode(remaining_s),
            b"true" if idempotent else b"false",
            tasks,
        )
        timeout_s = min(self.settings.attempt_timeout_s, remaining_s)
        try:
            final = self._request(
                "POST", instance, f"/v1/services/{service}/jobs", timeout_s, headers, content
            )
        except _NoAnswer as error:
            if error.may_have_been_sent:
                self._count_attempt(progress, now)
                progress.last_answer = None
            self.retry_at[instance] = self.clock() + self._backoff(progress)
            return None
        self._count_attempt(progress, now)
        return self._handle_answer(instance, final, progress)

    def _count_attempt(self, progress, now):
        progress.attempts += 1
        if progress.started_at is None:
            progress.started_at = now

    def _handle_answer(self, instance, final, progress):
        """Return a complete answer, or None to try again; raises for a final failure."""
        if final.job_id not in ("", progress.job_id):
            raise JobUnknown(
                answer.Answer(
                    progress.job_id,
                    job_code.Code.INTERNAL,
                    answer.Ran.UNKNOWN,
                    detail=f"the instance answered for {final.job_id}",
                )
            )
        if final.is_complete:
            return final
        progress.last_answer = final
        if final.code is job_code.Code.ATTEMPT_CLOSED:
            return None
        if final.retry_after_s is None:
            raise _ERROR_CLASSES[final.ran](final)
        # Jitter is only added, so that no caller retries before ``retry_after_s``.
        delay_s = final.retry_after_s + self._backoff(progress)
        if final.code in _INSTANCE_SPECIFIC_CODES:
            self.retry_at[instance] = self.clock() + delay_s
        else:
            self._sleep(delay_s, progress)
        return None

    def _backoff(self, progress):
        mean_delay_s = self.settings.first_backoff_s * 2**progress.backoff_count
        progress.backoff_count = min(progress.backoff_count + 1, 32)
        return min(mean_delay_s, self.settings.longest_backoff_s) * (0.5 + self.random_fraction())

    def _sleep(self, seconds, progress):
        self.sleep(max(0.0, min(seconds, progress.deadline - self.clock())))

    def _choose_instance(self, progress):
        """Return the next available instance; if there is none, wait for one and return None."""
        instances = self.settings.instances
        for offset in range(len(instances)):
            index = (self.next_instance + offset) % len(instances)
            if self.retry_at[instances[index]] <= self.clock():
                self.next_instance = (index + 1) % len(instances)
                return instances[index]
        self._sleep(min(self.retry_at.values()) - self.clock(), progress)
        return None

    def _request_any(self, method, job_id):
        """Send the request to each instance until one answers."""
        detail = ""
        for instance in self.settings.instances:
            try:
                final = self._request(
                    method, instance, f"/v1/jobs/{job_id}", self.settings.attempt_timeout_s
                )
            except _NoAnswer as error:
                detail = error.detail
                continue
            if final.is_complete:
                return final
            raise _ERROR_CLASSES[final.ran](final)
        raise JobUnknown(
            answer.Answer(job_id, job_code.Code.NOT_READY, answer.Ran.UNKNOWN, detail=detail)
        )

    def _request(self, method, instance, path, timeout_s, headers=None, content=None):
        timeout = urllib3.Timeout(
            connect=min(self.settings.connect_timeout_s, timeout_s), read=timeout_s
        )
        try:
            response = self.pool.request(
                method, f"http://{instance}{path}", headers=headers, body=content, timeout=timeout
            )
            return _parse_response(response.status, response.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _NoAnswer(False, f"{instance} can't be reached: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise _NoAnswer(True, f"the connection to {instance} was lost: {error}") from error


def _task_body(task: Task) -> dict[str, object]:
    body: dict[str, object] = {"name": task.name, "payload": task.payload}
    if task.run_time_s is not None:
        body["run_time_s"] = task.run_time_s
    if task.size is not None:
        body["size"] = task.size
    return body


def _parse_response(status: int, content: bytes) -> answer.Answer:
    """Return the answer in a response; raises ``_NoAnswer`` if it has none."""
    try:
        if status == 200:
            complete_body = msgspec.json.decode(content, type=_CompleteBody)
            results = tuple(bytes(result) for result in complete_body.results)
            return answer.Answer(
                complete_body.job_id, job_code.Code.COMPLETE, answer.Ran.YES, results
            )
        if status == 202:
            running_body = msgspec.json.decode(content, type=_RunningBody)
            raise JobRunning(
                answer.Answer(
                    running_body.job_id,
                    job_code.Code.UNKNOWN_JOB,
                    answer.Ran.UNKNOWN,
                    detail=f"the job runs at {running_body.holder}",
                )
            )
        document = msgspec.json.decode(content, type=problem.Document)
        return answer.Answer(
            document.job_id,
            job_code.Code(document.code),
            answer.Ran(document.ran),
            detail=document.detail,
            retry_after_s=document.retry_after_s,
        )
    except (msgspec.DecodeError, ValueError) as error:
        # For example an error page of a load balancer.
        raise _NoAnswer(True, f"status {status} without an answer") from error


def _deadline_error(progress: _Progress) -> ClientError:
    """Return the error of a job whose deadline has passed."""
    ran = answer.Ran.NO if progress.attempts == 0 else answer.Ran.UNKNOWN
    detail = "no instance could be reached" if progress.attempts == 0 else "no answer in time"
    if progress.last_answer is not None:
        # The answer to the last attempt also covers all earlier ones.
        ran, detail = progress.last_answer.ran, progress.last_answer.detail
    final = answer.Answer(progress.job_id, job_code.Code.DEADLINE, ran, detail=detail)
    return _ERROR_CLASSES[ran](final)
