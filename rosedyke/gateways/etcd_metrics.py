"""Metrics of the client of the key-value service."""

from rosedyke.observe import metric

CALLS = metric.define(
    "gateways.store_calls", "counter", "Calls to the key-value service, a watch counting as one."
)
FAILURES = metric.define(
    "gateways.store_failures", "counter", "Calls to the key-value service that failed."
)
CALL_TIME = metric.define(
    "gateways.store_call_time", "timer", "Time of an answered call to the key-value service."
)
