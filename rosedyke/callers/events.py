"""Numbered events of the callers' API."""

import logging

from rosedyke.observe import event

LISTENING = event.define(
    6000, "callers_listening", logging.INFO, "The instance accepts connections from callers."
)
REQUEST_REJECTED = event.define(
    6001,
    "request_rejected",
    logging.DEBUG,
    "A request was invalid or exceeded a limit; the caller received a problem document.",
)
CALLER_TOO_SLOW = event.define(
    6002,
    "caller_too_slow",
    logging.INFO,
    "A connection was closed because the request or the response was not transferred in time. Many "
    "such events indicate a network fault or callers that hold connections open on purpose.",
)
CONNECTIONS_FULL = event.define(
    6003,
    "connections_full",
    logging.WARNING,
    "A connection was refused because the limit on open connections is reached. Look for callers "
    "that don't reuse connections, or add instances.",
)
BODIES_FULL = event.define(
    6004,
    "bodies_full",
    logging.WARNING,
    "A request was refused because the request bodies in progress use all memory reserved for "
    "them.",
)
REQUEST_FAILED = event.define(
    6005,
    "request_failed",
    logging.ERROR,
    "A request failed with an unexpected error; the caller received a problem document with code "
    "internal. Please report it with the traceback that follows.",
)
FOREIGN_ANSWER = event.define(
    6006,
    "foreign_answer",
    logging.CRITICAL,
    "The answer to a request was for another job and was not sent; the caller received a problem "
    "document with code internal. This is a defect; please report it.",
)
ACCEPT_FAILED = event.define(
    6007,
    "accept_failed",
    logging.WARNING,
    "A connection could not be accepted; the instance keeps trying. If the error is that too many "
    "files are open, raise the process's limit above --max-connections.",
)
CONNECTION_FAILED = event.define(
    6008,
    "connection_failed",
    logging.ERROR,
    "A connection failed with an unexpected error. Please report it with the traceback that "
    "follows.",
)
