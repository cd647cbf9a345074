"""Numbered events of the callers' interface."""

import logging

from rosedyke.observe import event

LISTENING = event.define(
    6000, "callers_listening", logging.INFO, "The instance accepts connections of callers."
)
REQUEST_REJECTED = event.define(
    6001,
    "request_rejected",
    logging.DEBUG,
    "A request could not be understood or was out of bounds; its caller has a problem document.",
)
CALLER_TOO_SLOW = event.define(
    6002,
    "caller_too_slow",
    logging.INFO,
    "A connection was closed because its request or its answer did not pass in time. Many of "
    "them point at a network fault or at callers that hold connections on purpose.",
)
CONNECTIONS_FULL = event.define(
    6003,
    "connections_full",
    logging.WARNING,
    "A connection was refused because the limit of open connections is reached. Look for callers "
    "that don't reuse connections, or add instances.",
)
BODIES_FULL = event.define(
    6004,
    "bodies_full",
    logging.WARNING,
    "A request was refused because the bodies in progress fill their share of memory.",
)
REQUEST_FAILED = event.define(
    6005,
    "request_failed",
    logging.ERROR,
    "A request ended in an unexpected error; its caller has a problem document with code "
    "internal. Please report it with the traceback that follows.",
)
FOREIGN_ANSWER = event.define(
    6006,
    "foreign_answer",
    logging.CRITICAL,
    "An answer for another job was held back from a caller, who has a problem document with code "
    "internal. This is a defect; please report it.",
)
ACCEPT_FAILED = event.define(
    6007,
    "accept_failed",
    logging.WARNING,
    'A connection could not be accepted; the instance goes on trying. With "Too many open files" '
    "raise the process's limit above --max-connections.",
)
CONNECTION_FAILED = event.define(
    6008,
    "connection_failed",
    logging.ERROR,
    "A connection ended in an unexpected error. Please report it with the traceback that follows.",
)
