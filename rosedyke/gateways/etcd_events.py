"""Numbered log events of the store's client."""

import logging

from rosedyke.observe import event

ENDPOINT_FAILED = event.define(
    5000,
    "store_endpoint_failed",
    logging.WARNING,
    "An endpoint of the key-value service didn't answer; it is left alone for a growing time.",
)
