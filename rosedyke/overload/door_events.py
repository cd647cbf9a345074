"""Numbered events of requests that are refused before their bodies are read."""

import logging

from rosedyke.observe import event

REQUESTS_REFUSED = event.define(
    8061,
    "requests_refused_unread",
    logging.WARNING,
    "Requests were refused before their bodies were read, because the instance holds as many jobs "
    "as its link and processor carry; logged at most once a second, with the number since the last "
    "entry. The field delay_ms is the delay that the instance itself adds.",
)
