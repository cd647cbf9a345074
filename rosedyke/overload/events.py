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
