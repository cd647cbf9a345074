"""Metrics of the callers' API."""

from rosedyke.observe import metric

REQUESTS = metric.define("callers.requests", "counter", "Requests of callers, of any kind.")
TASKS = metric.define("callers.tasks", "counter", "Tasks in submissions that were understood.")
COMPLETE = metric.define("callers.complete", "counter", "Submissions answered whole.")
FAILED = metric.define("callers.failed", "counter", "Submissions answered as failed, any reason.")
RESPONSE = metric.define(
    "callers.response", "timer", "From a submission's arrival to its whole answer."
)
REJECTED = metric.define(
    "callers.rejected", "counter", "Requests that could not be understood or were out of bounds."
)
CUT_OFF = metric.define("callers.cut_off", "counter", "Connections closed for being too slow.")
CONNECTIONS = metric.define("callers.connections", "gauge", "Open connections of callers.")
CONNECTIONS_REFUSED = metric.define(
    "callers.connections_refused", "counter", "Connections refused at the limit."
)
