"""Numbered events of the client of the key-value service."""

import logging

from rosedyke.observe import event

ENDPOINT_FAILED = event.define(
    5000,
    "store_endpoint_failed",
    logging.WARNING,
    "A call to an endpoint of the key-value service failed; the endpoint is suspended for a time.",
)
