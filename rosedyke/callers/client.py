"""The callers' library: submits a job until it has the job's whole answer.

It keeps the attempt's number and the job's age right, which is what makes a resubmission safe: an
attempt counts from the moment bytes may have left, and the age comes from the monotonic clock.
The library blocks and can be used from several threads, or from green threads where the sockets
are patched.
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

# Another instance may take the job at once; for the other refusals another one would say the same.
_OF_THE_INSTANCE = frozenset({job_code.Code.NOT_READY, job_code.Code.DRAINING})

# Finds a connection that the network has forgotten: without these a caller would wait for its
# whole timeout on a connection through which nothing will ever come.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 3
_UNACKNOWLEDGED_MS = 5000
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)


class ClientError(fault.RosedykeError):
    """A job has no whole answer.

    Attributes
    ----------
    answer : Answer
        What is known.
    """

    code = "client_error"

    def __init__(self, final: answer.Answer):
        super().__init__(f"{final.job_id}: {final.code.value}: {final.detail}")
        self.answer = final


class JobNotRun(ClientError):
    """No task of the job has started, and none will."""

    code = "job_not_run"


class JobFailed(ClientError):
    """At least one task ran, and the job failed."""

    code = "job_failed"


class JobRunning(ClientError):
    """The job has no answer yet."""

    code = "job_running"


class JobUnknown(ClientError):
    """Nobody who could be asked knows whether the job ran."""

    code = "job_unknown"


_ERRORS = {
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
        ``ip:port`` of each instance's interface for callers.
    connect_timeout_s : float
        For a connection to be made.
    attempt_timeout_s : float
        How long an attempt may stay silent before the job is submitted again; it then attaches
        to the run in progress.
    first_backoff_s : float
        Mean pause before the second attempt; doubles with each further one.
    longest_backoff_s : float
        Bound of the mean pause.
    max_connections : int
        Connections kept open to each instance.
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
        A task of the service.
    payload : object
        Any JSON value.
    run_time_s : float or None
        An estimate.
    size : dict of str to float or None
        ``cores``, ``memory_mb`` and ``accelerators``.
    """

    name: str
    payload: object = None
    run_time_s: float | None = None
    size: dict[str, float] | None = None


class _Complete(msgspec.Struct):
    """The body of a whole answer."""

    job_id: str
    results: list[msgspec.Raw]


class _Running(msgspec.Struct):
    """The body for a job that has no answer yet."""

    job_id: str
    holder: str = ""


class _Lost(Exception):
    """A request has no answer that can be read.

    Attributes
    ----------
    may_have_left : bool
        Whether bytes of the request may have left.
    """

    def __init__(self, may_have_left: bool, detail: str):
        super().__init__(detail)
        self.may_have_left = may_have_left
        self.detail = detail


@attrs.define
class _Progress:
    """What is known about one job while it is submitted."""

    job_id: str
    deadline: float
    is_first: bool
    attempts: int = 0
    first: float | None = None
    last: answer.Answer | None = None
    pauses: int = 0


class Client:
    """Submits jobs to a list of instances.

    Parameters
    ----------
    settings : ClientSettings
        Whom to ask and how long to wait.
    clock, sleep, draw : callable
        Monotonic seconds, a pause, and a random number in [0, 1); tests replace them.
    """

    def __init__(
        self,
        settings: ClientSettings,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        draw: Callable[[], float] = random.random,
    ):
        if not settings.instances:
            raise ValueError("a client needs at least one instance")
        self.settings = settings
        self.clock = clock
        self.sleep = sleep
        self.draw = draw
        self.not_before = dict.fromkeys(settings.instances, 0.0)
        self.next_instance = int(draw() * len(settings.instances))
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
        """Run a job and return its whole answer.

        Parameters
        ----------
        service : str
            The service that runs the tasks.
        tasks : sequence of Task
            At most 300.
        timeout_s : float
            Seconds until the answer is wanted.
        job_id : str or None
            Unique for ever; made up if None.
        idempotent : bool
            Whether a second run would do no harm.
        is_first : bool or None
            Whether nobody, also no earlier process, has submitted this job before.  Then it costs
            no question to other data centres.  None vouches only for an id that is made up here.

        Raises
        ------
        ClientError
            One of its subclasses says whether the job ran.
        """
        if is_first is None:
            is_first = job_id is None
        job_id = job_id or uuid.uuid4().hex
        progress = _Progress(job_id, self.clock() + timeout_s, is_first)
        encoded = msgspec.json.encode([_task_body(task) for task in tasks])
        while self.clock() < progress.deadline:
            final = self._attempt(service, encoded, idempotent, progress)
            if final is not None:
                return final
        raise _given_up(progress)

    def find(self, job_id: str) -> answer.Answer:
        """Return the answer of a finished job, or raise a ``ClientError``."""
        return self._ask_all("GET", job_id)

    def cancel(self, job_id: str) -> answer.Answer:
        """Cancel a job; return its answer if it was complete, else raise a ``ClientError``."""
        return self._ask_all("DELETE", job_id)

    def _attempt(self, service, tasks, idempotent, progress):
        """Submit once; return the whole answer, None to go on, or raise."""
        instance = self._choose(progress)
        if instance is None:
            return None
        now = self.clock()
        left_s = progress.deadline - now
        if left_s <= 0:
            return None
        age_s = 0.0 if progress.first is None else now - progress.first
        headers = {"Content-Type": "application/json"}
        if progress.is_first:
            # Of a job that may be older than this call neither is known.
            headers["Rosedyke-Attempt"] = str(progress.attempts + 1)
            headers["Rosedyke-Age-Ms"] = str(int(age_s * 1000))
        content = b'{"job_id":%s,"timeout_s":%s,"idempotent":%s,"tasks":%s}' % (
            msgspec.json.encode(progress.job_id),
            msgspec.json.encode(left_s),
            b"true" if idempotent else b"false",
            tasks,
        )
        wait_s = min(self.settings.attempt_timeout_s, left_s)
        try:
            final = self._send(
                "POST", instance, f"/v1/services/{service}/jobs", wait_s, headers, content
            )
        except _Lost as lost:
            if lost.may_have_left:
                self._count(progress, now)
                progress.last = None
            self.not_before[instance] = self.clock() + self._backoff(progress)
            return None
        self._count(progress, now)
        return self._judge(instance, final, progress)

    def _count(self, progress, now):
        progress.attempts += 1
        if progress.first is None:
            progress.first = now

    def _judge(self, instance, final, progress):
        """Return a whole answer, None if a further attempt makes sense, or raise."""
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
        progress.last = final
        if final.code is job_code.Code.ATTEMPT_CLOSED:
            return None
        if final.retry_after_s is None:
            raise _ERRORS[final.ran](final)
        # Jitter is only ever added: nobody comes back before the time that was asked for.
        pause_s = final.retry_after_s + self._backoff(progress)
        if final.code in _OF_THE_INSTANCE:
            self.not_before[instance] = self.clock() + pause_s
        else:
            self._pause(pause_s, progress)
        return None

    def _backoff(self, progress):
        mean_s = self.settings.first_backoff_s * 2**progress.pauses
        progress.pauses = min(progress.pauses + 1, 32)
        return min(mean_s, self.settings.longest_backoff_s) * (0.5 + self.draw())

    def _pause(self, seconds, progress):
        self.sleep(max(0.0, min(seconds, progress.deadline - self.clock())))

    def _choose(self, progress):
        """Return the next instance that may be asked, or pause until one may and return None."""
        instances = self.settings.instances
        for step in range(len(instances)):
            index = (self.next_instance + step) % len(instances)
            if self.not_before[instances[index]] <= self.clock():
                self.next_instance = (index + 1) % len(instances)
                return instances[index]
        self._pause(min(self.not_before.values()) - self.clock(), progress)
        return None

    def _ask_all(self, method, job_id):
        """Ask each instance until one answers."""
        detail = ""
        for instance in self.settings.instances:
            try:
                final = self._send(
                    method, instance, f"/v1/jobs/{job_id}", self.settings.attempt_timeout_s
                )
            except _Lost as lost:
                detail = lost.detail
                continue
            if final.is_complete:
                return final
            raise _ERRORS[final.ran](final)
        raise JobUnknown(
            answer.Answer(job_id, job_code.Code.NOT_READY, answer.Ran.UNKNOWN, detail=detail)
        )

    def _send(self, method, instance, path, wait_s, headers=None, content=None):
        timeout = urllib3.Timeout(connect=min(self.settings.connect_timeout_s, wait_s), read=wait_s)
        try:
            response = self.pool.request(
                method, f"http://{instance}{path}", headers=headers, body=content, timeout=timeout
            )
            return _read(response.status, response.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise _Lost(False, f"{instance} can't be reached: {error}") from error
        except urllib3.exceptions.HTTPError as error:
            raise _Lost(True, f"the connection to {instance} was lost: {error}") from error


def _task_body(task: Task) -> dict[str, object]:
    body: dict[str, object] = {"name": task.name, "payload": task.payload}
    if task.run_time_s is not None:
        body["run_time_s"] = task.run_time_s
    if task.size is not None:
        body["size"] = task.size
    return body


def _read(status: int, content: bytes) -> answer.Answer:
    """Return the answer in a response, or raise _Lost if it is none of ours."""
    try:
        if status == 200:
            complete = msgspec.json.decode(content, type=_Complete)
            results = tuple(bytes(result) for result in complete.results)
            return answer.Answer(complete.job_id, job_code.Code.COMPLETE, answer.Ran.YES, results)
        if status == 202:
            running = msgspec.json.decode(content, type=_Running)
            raise JobRunning(
                answer.Answer(
                    running.job_id,
                    job_code.Code.UNKNOWN_JOB,
                    answer.Ran.UNKNOWN,
                    detail=f"the job runs at {running.holder}",
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
        # Such as a balancer's own error page: it says nothing about the job.
        raise _Lost(True, f"status {status} without an answer") from error


def _given_up(progress: _Progress) -> ClientError:
    """Return the error for a job whose time is over."""
    ran = answer.Ran.NO if progress.attempts == 0 else answer.Ran.UNKNOWN
    detail = "no instance could be reached" if progress.attempts == 0 else "no answer in time"
    if progress.last is not None:
        # The answer to the newest attempt also speaks for all earlier ones.
        ran, detail = progress.last.ran, progress.last.detail
    final = answer.Answer(progress.job_id, job_code.Code.DEADLINE, ran, detail=detail)
    return _ERRORS[ran](final)
