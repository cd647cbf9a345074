"""A graceful shutdown: cuts off no request in progress and hands over what others need to know."""

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
    """

    def __init__(
        self,
        notice_s: float,
        timeout_s: float,
        clock: runtime.Runtime,
        entrance: gate.Gate,
        servers: tuple[server.Server, ...],
        jobs: Jobs,
    ):
        self.notice_s = notice_s
        self.timeout_s = timeout_s
        self.clock = clock
        self.entrance = entrance
        self.servers = servers
        self.jobs = jobs
        self.begun = clock.signal()
        self.forced = clock.signal()

    def request(self) -> None:
        """Begin the shutdown, or force the one that has begun.  Does not block."""
        if self.begun.is_set():
            self.forced.set()
        else:
            self.begun.set()

    def run(self) -> bool:
        """Block until asked, then until every job has ended; return whether none was forced."""
        self.begun.wait()
        event.log(events.SHUTDOWN_BEGUN, requests=sum(len(s.protocols) for s in self.servers))
        self.entrance.is_draining = True
        for each in self.servers:
            each.drain()
        self.forced.wait(self.notice_s)
        is_whole = self._drain_jobs()
        if not is_whole:
            event.log(events.SHUTDOWN_FORCED)
            self.jobs.stop()
        for each in self.servers:
            is_whole = each.stop(CLOSE_S) and is_whole
        return is_whole

    def _drain_jobs(self) -> bool:
        ended = self.clock.signal()
        self.clock.spawn(lambda: ended.set(self.jobs.drain(self.timeout_s)))
        # Whichever comes first; the drain has its own bound, the margin is for its last step.
        give_up = self.clock.now() + self.timeout_s + CLOSE_S
        any_end = self.clock.signal()
        for one in (ended, self.forced):
            self.clock.spawn(self._pass_on, one, any_end)
        any_end.wait(max(0.0, give_up - self.clock.now()))
        return bool(ended.is_set() and ended.value)

    @staticmethod
    def _pass_on(source: runtime.Signal, target: runtime.Signal) -> None:
        source.wait()
        target.set()
