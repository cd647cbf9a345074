"""Metrics of the transport between entry instances."""

from rosedyke.observe import metric

MESSAGES_SENT = metric.define("wire.messages_sent", "counter", "Messages queued to peers.")
MESSAGES_RECEIVED = metric.define("wire.messages_received", "counter", "Messages from peers.")
BYTES_SENT = metric.define("wire.bytes_sent", "counter", "Bytes of the messages sent.")
BYTES_RECEIVED = metric.define("wire.bytes_received", "counter", "Bytes of the messages received.")
LINKS = metric.define("wire.links", "gauge", "Open connections to peers.")
LINKS_REPLACED = metric.define(
    "wire.links_replaced", "counter", "Connections given up because requests went unanswered."
)
DROPPED_MALFORMED = metric.define(
    "wire.dropped_malformed", "counter", "Truncated or foreign messages, dropped."
)
DROPPED_OVERSIZED = metric.define(
    "wire.dropped_oversized", "counter", "Messages over the bound of size, dropped."
)
DROPPED_REPEATED = metric.define(
    "wire.dropped_repeated",
    "counter",
    "Messages seen before, or of an earlier incarnation of their sender, dropped.",
)
DROPPED_MISDIRECTED = metric.define(
    "wire.dropped_misdirected",
    "counter",
    "Messages for another instance or incarnation; a request is answered so.",
)
DROPPED_REPLIES = metric.define(
    "wire.dropped_replies", "counter", "Replies that no request waited for, dropped."
)
UNDELIVERED_REPLIES = metric.define(
    "wire.undelivered_replies",
    "counter",
    "Replies not sent, because the peer's connection was gone or full.",
)
REFUSED_VERSIONS = metric.define(
    "wire.refused_versions", "counter", "Messages of another protocol version."
)
REFUSED_STRANGERS = metric.define(
    "wire.refused_strangers", "counter", "Connections refused for want of the shared key."
)
QUEUE_FULL = metric.define(
    "wire.queue_full", "counter", "Messages not sent because the peer's queue was full."
)
