"""Log events of the transport between entry instances."""

import logging

from rosedyke.observe import event

TRANSPORT_STARTED = event.define(
    1000,
    "transport_started",
    logging.INFO,
    "The socket for messages from peers is bound.",
)
TRANSPORT_UNPROTECTED = event.define(
    1001,
    "transport_unprotected",
    logging.WARNING,
    "No shared key is set, so every process of this machine can act as a peer. Set a key.",
)
HANDLER_FAILED = event.define(
    1002,
    "handler_failed",
    logging.ERROR,
    "The handler of a peer's message raised an error; the peer was told. Report the traceback.",
)
LINK_REPLACED = event.define(
    1003,
    "link_replaced",
    logging.INFO,
    "Requests on a connection went unanswered, so it was closed and a new one is opened. Logged "
    "at most once a minute; see the metric for the number.",
)
STRANGER_REFUSED = event.define(
    1004,
    "stranger_refused",
    logging.WARNING,
    "Something without the shared key tried to connect. If it is an instance of ours, its key "
    "differs. Logged at most once a minute.",
)
VERSION_REFUSED = event.define(
    1005,
    "version_refused",
    logging.WARNING,
    "A peer speaks another protocol version; its message was answered with a refusal. Logged at "
    "most once a minute.",
)
