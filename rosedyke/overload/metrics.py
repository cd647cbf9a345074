"""Metrics of the limits of an instance's own capacity."""

from rosedyke.observe import metric

LINK_BACKLOG = metric.define(
    "overload.link_backlog_ms",
    "gauge",
    "Time that the data handed to the instance's link still takes to leave.",
)
LOOP_DELAY = metric.define(
    "overload.loop_delay_ms", "gauge", "Longest delay of the event loop's timers in a second."
)
STARTS_HELD = metric.define(
    "overload.starts_held", "counter", "Tasks of owned pools that had to wait for the link."
)
SUBMISSIONS_HELD = metric.define(
    "overload.submissions_held",
    "counter",
    "Submissions of this holder to pools that had to wait for the link.",
)
JOB_LIMIT = metric.define(
    "overload.job_limit", "gauge", "Jobs that this instance may hold at a time."
)
REQUESTS_REFUSED = metric.define(
    "overload.refused_unread", "counter", "Requests refused before their bodies were read."
)
