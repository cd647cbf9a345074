"""Metrics of the configuration package."""

from rosedyke.observe import metric

GENERATION = metric.define(
    "configuration.generation", "gauge", "Generation in force at this instance."
)
FROM_STORE = metric.define(
    "configuration.from_store", "counter", "Generations taken from the store."
)
FROM_PEER = metric.define("configuration.from_peer", "counter", "Generations taken from a peer.")
PULLS = metric.define("configuration.pulls", "counter", "Requests to peers for newer files.")
STORE_FAILURES = metric.define(
    "configuration.store_failures", "counter", "Reads or watches of the store that failed."
)
IGNORED = metric.define(
    "configuration.ignored", "counter", "Answers with an older generation, which were ignored."
)
