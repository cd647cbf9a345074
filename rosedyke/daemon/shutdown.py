"""Graceful shutdown: completes requests in progress and transfers claims and answers to peers."""

from collections.abc import Callable
from typing import Protocol

from rosedyke import runtime
from rosedyke.callers import server
from rosedyke.daemon import events, readiness
from rosedyke.observe import event

# Time to send the remaining responses after the last job has ended.
CLOSE_TIMEOUT_S = 5.0
# What is still in progress is answered this long before connections are closed.
LAST_ANSWER_S = 0.5


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
        Maximum seconds to wait for jobs in progress.
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
        self._drain_jobs()
        is_closed = self._close_servers()
        is_graceful = is_closed and self.count_stopped_jobs() == stopped_before
        if not is_graceful:
            event.log(events.SHUTDOWN_FORCED, jobs=self.count_stopped_jobs() - stopped_before)
        return is_graceful

    def _drain_jobs(self):
        drained = self.clock.signal()
        drained_or_forced = self.clock.signal()
        self.clock.spawn(lambda: drained.set(self.jobs.drain(self.timeout_s)))
        for source in (drained, self.forced):
            self.clock.spawn(self._forward, source, drained_or_forced)
        # drain() has the same timeout; the margin lets it send its last messages.
        drained_or_forced.wait(self.timeout_s + CLOSE_TIMEOUT_S)
        if not drained.is_set():
            self.jobs.stop()
        elif not drained.value:
            event.log(events.HANDOVER_INCOMPLETE)

    def _close_servers(self):
        """Close all connections; return whether every request was answered in time."""
        closed = self.clock.signal()
        self.clock.spawn(self._send_last_answers, closed)
        is_closed = all([http_server.stop(CLOSE_TIMEOUT_S) for http_server in self.servers])
        closed.set()
        return is_closed

    def _send_last_answers(self, closed):
        """End the jobs of requests that were read after the drain, unless all are answered."""
        if not closed.wait(CLOSE_TIMEOUT_S - LAST_ANSWER_S):
            self.jobs.stop()

    @staticmethod
    def _forward(source: runtime.Signal, target: runtime.Signal) -> None:
        source.wait()
        target.set()
