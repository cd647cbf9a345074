"""Log events of the limits of an instance's own capacity."""

import logging

from rosedyke.observe import event

LINK_IS_LIMIT = event.define(
    8050,
    "link_is_limit",
    logging.INFO,
    "The instance's link is full, so new work waits for it. If this lasts, add instances or faster "
    "links.",
)
LINK_LIMIT_ENDED = event.define(
    8051, "link_limit_ended", logging.INFO, "For a second no work had to wait for the link."
)
REQUESTS_REFUSED = event.define(
    8061,
    "requests_refused_unread",
    logging.WARNING,
    "Requests were refused before their bodies were read, because the instance holds as many jobs "
    "as its link and processor carry; logged at most once a second, with the number since the last "
    "entry. The field delay_ms is the delay that the instance itself adds.",
)
