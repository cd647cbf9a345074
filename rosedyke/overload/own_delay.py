"""Delay that an instance itself adds to its messages.

Load: the instance's link or processor is the bottleneck, so its peers and servers look slow.
"""

from rosedyke import runtime as runtime_module
from rosedyke.observe import event, metric
from rosedyke.overload import events, link, loop_delay, metrics

# Work waits while the link's backlog is longer, so that control messages, which never wait, are
# delayed by at most this and the start commands of one job.
START_BACKLOG_S = 0.02
# Shortest wait; shorter ones cost more processor time than they gain.
MIN_HOLD_S = 0.001
# Most that the timeout of a command is extended by.  The times by which an owner must have stopped
# a lost holder's job contain it.
MAX_ADDED_DELAY_S = 0.05
# Most that a peer's or server's timeout is extended by, so that a failure is noticed at all.
MAX_ALLOWANCE_S = 0.3
# Interval of the metrics.  The link has ceased to be the limit if nothing waited for it this long.
REPORT_INTERVAL_S = 1.0


class OwnDelay:
    """The delay of one instance; every component that sends or receives shares the object.

    Parameters
    ----------
    link_bytes_per_s : float
        Rate of the instance's link in each direction, 0 if it is unlimited.

    Attributes
    ----------
    outgoing, incoming : LinkUsage
        The two directions of the link.
    loop : LoopDelay
        Delay of the event loop; measured only while its task runs.
    waiting_bytes : dict of str to int
        Size of the start commands of each owned pool that wait for the link.
    is_link_limit : bool
        Work has waited for the link in the last second.
    held_at : float
        When work last had to wait.
    limit_ended_at : float
        When the link last ceased to be the limit.
    """

    def __init__(self, runtime: runtime_module.Runtime, link_bytes_per_s: float = 0.0):
        self.runtime = runtime
        self.outgoing = link.LinkUsage(link_bytes_per_s)
        self.incoming = link.LinkUsage(link_bytes_per_s)
        self.loop = loop_delay.LoopDelay(runtime)
        self.waiting_bytes: dict[str, int] = {}
        self.is_link_limit = False
        self.held_at = self.limit_ended_at = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Return whether the link has a limited rate."""
        return self.outgoing.bytes_per_s > 0

    def record_sent(self, size: int) -> None:
        """Record a message that is handed to a socket."""
        if self.outgoing.bytes_per_s:
            self.outgoing.record(size, self.runtime.now())

    def record_received(self, size: int) -> None:
        """Record a message that was read from a socket."""
        if self.incoming.bytes_per_s:
            self.incoming.record(size, self.runtime.now())

    def hold_s(self, now: float) -> float:
        """Return how long new work has to wait for the link, 0 if it may be sent now."""
        committed_s = self.outgoing.backlog_s(now) + self.outgoing.reserved_s
        if committed_s <= START_BACKLOG_S:
            return 0.0
        return max(MIN_HOLD_S, committed_s - START_BACKLOG_S)

    def record_hold(self, now: float) -> None:
        """Record that work has to wait for the link; logged at most once a second."""
        self.held_at = now
        if not self.is_link_limit and now - self.limit_ended_at >= REPORT_INTERVAL_S:
            self.is_link_limit = True
            event.log(
                events.LINK_IS_LIMIT,
                backlog_ms=round((self.outgoing.backlog_s(now) + self.outgoing.reserved_s) * 1000),
                bytes_per_s=round(self.outgoing.bytes_per_s),
            )

    def run(self) -> None:
        """Measure the event loop's delay and report the metrics until cancelled."""
        self.runtime.spawn_service(self.loop.run)
        while True:
            self.runtime.sleep(REPORT_INTERVAL_S)
            self.report(self.runtime.now())

    def report(self, now: float) -> None:
        """Set the gauges, and log if the link has ceased to be the limit."""
        metric.gauge(metrics.LINK_BACKLOG, round(self.outgoing.backlog_s(now) * 1000))
        metric.gauge(metrics.LOOP_DELAY, round(self.loop.maximum_s(now) * 1000))
        if self.is_link_limit and now - self.held_at >= REPORT_INTERVAL_S:
            self.is_link_limit = False
            self.limit_ended_at = now
            event.log(events.LINK_LIMIT_ENDED)

    def work_wait_s(self, now: float) -> float:
        """Return the time that new work waits for the link, behind the work that waits already."""
        waiting_s = self.outgoing.transmission_s(sum(self.waiting_bytes.values()))
        return max(self.outgoing.backlog_s(now) + waiting_s, self.incoming.backlog_s(now))

    def added_command_s(self, now: float) -> float:
        """Return by how much the timeout of a command that is sent now is extended."""
        return min(MAX_ADDED_DELAY_S, self.outgoing.backlog_s(now))

    def allowance_s(self, now: float) -> float:
        """Return by how much longer peers and servers may seem unresponsive from here.

        0 if the link is unlimited.
        """
        if not self.is_limited:
            return 0.0
        link_s = self.outgoing.backlog_s(now) + self.incoming.backlog_s(now)
        return min(MAX_ALLOWANCE_S, link_s + self.loop.maximum_s(now))

    def delay_s(self, now: float) -> float:
        """Return the largest of the delays."""
        return max(
            self.outgoing.backlog_s(now), self.incoming.backlog_s(now), self.loop.delay_s(now)
        )
