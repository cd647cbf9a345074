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
    "No shared key is set, so any process that can reach the address can act as a peer. Set a key.",
)
HANDLER_FAILED = event.define(
    1002,
    "handler_failed",
    logging.ERROR,
    "The handler of a peer's message raised an error, which was returned to the peer. Report "
    "the traceback.",
)
LINK_REPLACED = event.define(
    1003,
    "link_replaced",
    logging.INFO,
    "Requests on a connection timed out, so it was closed and a new one will be opened. Logged at "
    "most once a minute; the metric wire.links_replaced counts every case.",
)
STRANGER_REFUSED = event.define(
    1004,
    "stranger_refused",
    logging.WARNING,
    "A client failed the handshake because it lacks the shared key. If it is an instance of this "
    "system, its key differs. Logged at most once a minute.",
)
FRAME_FAILED = event.define(
    1006,
    "frame_failed",
    logging.ERROR,
    "A received frame raised an unexpected error and was dropped. Report the traceback. Logged at "
    "most once a minute; the metric wire.dropped_malformed counts every case.",
)
VERSION_REFUSED = event.define(
    1005,
    "version_refused",
    logging.WARNING,
    "A peer uses another protocol version; its message was refused. Logged at most once a minute.",
)
