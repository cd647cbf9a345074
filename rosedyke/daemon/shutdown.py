"""A graceful shutdown: cuts off no request in progress and hands over what others need to know."""

from collections.abc import Callable
from typing import Protocol

from rosedyke import runtime
from rosedyke.callers import server
from rosedyke.daemon import events, gate
from rosedyke.observe import event

# For the last answers to leave once no job is left.
CLOSE_S = 5.0


class Jobs(Protocol):
    """The part of the job manager that a shutdown needs."""

    def drain(self, timeout_s: float) -> bool:
        """Take no more jobs, let the present ones end, and hand claims and answers over."""

    def stop(self) -> None:
        """End what still runs with truthful failures."""


class Shutdown:
    """Ends an instance once; asking again while it goes on ends it by force.

    Parameters
    ----------
    notice_s : float
        Between "not ready" and the end of accepting jobs.
    timeout_s : float
        Bound for the jobs in progress.
    clock : Runtime
        Time and tasks.
    entrance : Gate
        Readiness.
    servers : tuple of Server
        The HTTP servers.
    jobs : Jobs
        The job manager.
    stopped : callable
        Returns how many jobs have been failed because the instance stopped.
    """

    def __init__(
        self,
        notice_s: float,
        timeout_s: float,
        clock: runtime.Runtime,
        entrance: gate.Gate,
        servers: tuple[server.Server, ...],
        jobs: Jobs,
        stopped: Callable[[], int],
    ):
        self.notice_s = notice_s
        self.timeout_s = timeout_s
        self.clock = clock
        self.entrance = entrance
        self.servers = servers
        self.jobs = jobs
        self.stopped = stopped
        self.begun = clock.signal()
        self.forced = clock.signal()

    def request(self) -> None:
        """Begin the shutdown, or force the one that has begun.  Does not block."""
        if self.begun.is_set():
            self.forced.set()
        else:
            self.begun.set()

    def run(self) -> bool:
        """Block until asked, then until every job has ended.

        Returns
        -------
        bool
            Whether every request in progress went on to its own end.
        """
        self.begun.wait()
        event.log(events.SHUTDOWN_BEGUN, connections=sum(len(s.connections) for s in self.servers))
        stopped_before = self.stopped()
        self.entrance.is_draining = True
        for each in self.servers:
            each.drain()
        self.forced.wait(self.notice_s)
        self._drain_jobs()
        is_closed = all([each.stop(CLOSE_S) for each in self.servers])
        is_whole = is_closed and self.stopped() == stopped_before
        if not is_whole:
            event.log(events.SHUTDOWN_FORCED, jobs=self.stopped() - stopped_before)
        return is_whole

    def _drain_jobs(self):
        ended = self.clock.signal()
        first = self.clock.signal()
        self.clock.spawn(lambda: ended.set(self.jobs.drain(self.timeout_s)))
        for one in (ended, self.forced):
            self.clock.spawn(self._pass_on, one, first)
        # The drain has this bound itself; the margin is for its last messages.
        first.wait(self.timeout_s + CLOSE_S)
        if not ended.is_set():
            self.jobs.stop()
        elif not ended.value:
            event.log(events.HANDOVER_INCOMPLETE)

    @staticmethod
    def _pass_on(source: runtime.Signal, target: runtime.Signal) -> None:
        source.wait()
        target.set()
