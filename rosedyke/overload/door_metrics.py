"""Metrics of the limit on the jobs that an instance holds."""

from rosedyke.observe import metric

JOB_LIMIT = metric.define(
    "overload.job_limit", "gauge", "Jobs that this instance may hold at a time."
)
REFUSED = metric.define(
    "overload.refused_unread", "counter", "Requests refused before their bodies were read."
)
