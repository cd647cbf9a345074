"""Decides whether a request is refused before its body is read.

Load: more requests than the instance can hold.  A refusal after the body was read and parsed would
take link and processor time from jobs that are held.
"""

from collections.abc import Callable

import attrs

from rosedyke.observe import event, metric
from rosedyke.overload import events, job_limit, metrics

# Share of the limits up to which requests of each priority are accepted, so that the most urgent
# ones are refused last.
ACCEPTED_SHARES = (1.0, 0.9, 0.8)
LOG_INTERVAL_S = 1.0


@attrs.frozen
class Usage:
    """What an instance holds, and its limits.

    Attributes
    ----------
    jobs : int
        Jobs held, including those whose bodies are being read.
    max_jobs : float
        The present limit on the jobs held.
    body_bytes, max_body_bytes : int
        Memory used by bodies, and its bound.
    """

    jobs: int
    max_jobs: float
    body_bytes: int
    max_body_bytes: int


def refusal_reason(usage: Usage, priority: int, body_bytes: int) -> str:
    """Return why a request is refused, empty if it is accepted.

    Parameters
    ----------
    priority : int
        Priority of the request's queue; 0 is the highest.
    body_bytes : int
        Length of its body, 0 if unknown.
    """
    share = ACCEPTED_SHARES[min(priority, len(ACCEPTED_SHARES) - 1)]
    if usage.jobs >= share * usage.max_jobs:
        return "the instance holds too many jobs"
    if usage.body_bytes + body_bytes > share * usage.max_body_bytes:
        return "the bodies of other requests fill the instance's memory"
    return ""


class Door:
    """Applies the decision for one instance, and reports the refusals.

    Parameters
    ----------
    own_delay_s : callable
        Returns the delay that the instance itself adds, in seconds, at a time.
    max_body_bytes : int
        Bound on the memory used by bodies.

    Attributes
    ----------
    refused : int
        Requests refused since the last log entry.
    """

    def __init__(self, own_delay_s: Callable[[float], float], max_body_bytes: int):
        self.own_delay_s = own_delay_s
        self.max_body_bytes = max_body_bytes
        self.limit = job_limit.JobLimit()
        self.refused = 0
        self.logged_at = float("-inf")

    def refusal_reason(
        self, priority: int, jobs: int, used_bytes: int, body_bytes: int, now: float
    ) -> str:
        """Return why a request that arrives now is refused, empty if it is accepted."""
        delay_s = self.own_delay_s(now)
        self.limit = job_limit.adapt(self.limit, jobs, delay_s, now)
        metric.gauge(metrics.JOB_LIMIT, self.limit.jobs)
        usage = Usage(jobs, self.limit.jobs, used_bytes, self.max_body_bytes)
        reason = refusal_reason(usage, priority, body_bytes)
        if reason:
            self._record_refusal(usage, delay_s, now)
        return reason

    def _record_refusal(self, usage, delay_s, now):
        metric.count(metrics.REQUESTS_REFUSED)
        self.refused += 1
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        event.log(
            events.REQUESTS_REFUSED,
            refused=self.refused,
            jobs=usage.jobs,
            limit=round(usage.max_jobs, 1),
            body_bytes=usage.body_bytes,
            delay_ms=round(delay_s * 1000),
        )
        self.refused, self.logged_at = 0, now
