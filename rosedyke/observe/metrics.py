"""Metrics of the services that a process runs."""

from rosedyke.observe import metric

SERVICE_FAILURES = metric.define(
    "process.service_failures",
    "counter",
    "Unexpected errors of parts of the process that have to run all the time.",
)
