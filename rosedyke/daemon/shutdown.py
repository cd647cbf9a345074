"""Graceful shutdown: completes requests in progress and transfers claims and answers to peers."""

from collections.abc import Callable
from typing import Protocol

from rosedyke import runtime
from rosedyke.callers import server
from rosedyke.daemon import events, readiness
from rosedyke.observe import event

# Longest time to receive and answer the remaining requests after the last job has ended.
CLOSE_TIMEOUT_S = 5.0
# Part of the timeout that is reserved for that, and the largest share that it may be.
CLOSE_RESERVE_S = 1.0
MAX_RESERVE_FRACTION = 0.25
# What is still in progress is answered when this part of the time to close is left.
LAST_ANSWER_FRACTION = 0.5
MAX_LAST_ANSWER_S = 0.5


class DrainableJobs(Protocol):
    """Interface of the job manager that a shutdown needs."""

    def drain(self, timeout_s: float) -> bool:
        """Refuse new jobs, wait for those in progress, and transfer claims and answers."""

    def stop(self) -> None:
        """Fail the jobs that still run."""


class Shutdown:
    """Shuts an instance down gracefully; a second request forces the shutdown.

    Parameters
    ----------
    notice_s : float
        Seconds between reporting "not ready" and refusing jobs.
    timeout_s : float
        Maximum seconds from then on until all connections are closed.
    clock : Runtime
        Provides time, tasks and signals.
    readiness_check : ReadinessCheck
        Set to draining when the shutdown begins.
    servers : tuple of Server
        The HTTP servers.
    jobs : DrainableJobs
        The job manager.
    count_stopped_jobs : callable
        Returns the number of jobs failed because the instance stopped.
    """

    def __init__(
        self,
        notice_s: float,
        timeout_s: float,
        clock: runtime.Runtime,
        readiness_check: readiness.ReadinessCheck,
        servers: tuple[server.Server, ...],
        jobs: DrainableJobs,
        count_stopped_jobs: Callable[[], int],
    ):
        self.notice_s = notice_s
        self.timeout_s = timeout_s
        self.clock = clock
        self.readiness_check = readiness_check
        self.servers = servers
        self.jobs = jobs
        self.count_stopped_jobs = count_stopped_jobs
        self.requested = clock.signal()
        self.forced = clock.signal()

    def begin(self) -> None:
        """Begin the shutdown unless it has begun.  Does not block."""
        self.requested.set()

    def request(self) -> None:
        """Begin the shutdown, or force it if it has begun.  Does not block."""
        if self.requested.is_set():
            self.forced.set()
        else:
            self.requested.set()

    def run(self) -> bool:
        """Block until a shutdown is requested and has finished.

        Returns
        -------
        bool
            Whether all requests in progress were completed.
        """
        self.requested.wait()
        event.log(events.SHUTDOWN_BEGUN, connections=sum(len(s.connections) for s in self.servers))
        stopped_before = self.count_stopped_jobs()
        self.readiness_check.is_draining = True
        for http_server in self.servers:
            http_server.drain()
        self.forced.wait(self.notice_s)
        deadline = self.clock.now() + self.timeout_s
        self._drain_jobs()
        is_closed = self._close_servers(deadline)
        is_graceful = is_closed and self.count_stopped_jobs() == stopped_before
        if not is_graceful:
            event.log(events.SHUTDOWN_FORCED, jobs=self.count_stopped_jobs() - stopped_before)
        return is_graceful

    def _drain_jobs(self):
        drained = self.clock.signal()
        drained_or_forced = self.clock.signal()
        reserve_s = self._reserve_s()
        drain_timeout_s = self.timeout_s - reserve_s
        self.clock.spawn(lambda: drained.set(self.jobs.drain(drain_timeout_s)))
        for source in (drained, self.forced):
            self.clock.spawn(self._forward, source, drained_or_forced)
        # The margin lets drain() send its last messages.
        drained_or_forced.wait(drain_timeout_s + reserve_s / 2)
        if not drained.is_set():
            self.jobs.stop()
        elif not drained.value:
            event.log(events.HANDOVER_INCOMPLETE)

    def _reserve_s(self):
        return min(CLOSE_RESERVE_S, MAX_RESERVE_FRACTION * self.timeout_s)

    def _close_servers(self, deadline):
        """Close all connections; return whether every request was answered in time."""
        reserve_s = self._reserve_s()
        timeout_s = min(CLOSE_TIMEOUT_S, max(reserve_s / 2, deadline - self.clock.now()))
        if self.forced.is_set():
            timeout_s = min(timeout_s, reserve_s)
        closed = self.clock.signal()
        self.clock.spawn(self._send_last_answers, closed, timeout_s)
        results = []
        # Together, because each may need the whole time.
        tasks = [
            self.clock.spawn(lambda stopping: results.append(stopping.stop(timeout_s)), http_server)
            for http_server in self.servers
        ]
        for task in tasks:
            task.wait()
        closed.set()
        return len(results) == len(self.servers) and all(results)

    def _send_last_answers(self, closed, timeout_s):
        """End the jobs of requests that were read after the drain, unless all are answered."""
        last_answer_s = min(MAX_LAST_ANSWER_S, LAST_ANSWER_FRACTION * timeout_s)
        if not closed.wait(timeout_s - last_answer_s):
            self.jobs.stop()

    @staticmethod
    def _forward(source: runtime.Signal, target: runtime.Signal) -> None:
        source.wait()
        target.set()
