"""Numbered events of dispatch: 4000-4999."""

import logging

from rosedyke.observe import event

SERVER_LOST = event.define(
    4001,
    "server_lost",
    logging.WARNING,
    "A task was sent but no complete reply was received; its job failed and the task is not sent "
    "again. Check the backend server and the network path to it.",
)
EXCHANGE_FAILED = event.define(
    4002,
    "exchange_failed",
    logging.INFO,
    "The owner of a pool did not reply; the message is sent again to the current owner.",
)
SLOTS_ORPHANED = event.define(
    4003,
    "slots_orphaned",
    logging.WARNING,
    "Slots of a pool may be in use by untracked tasks, because their holder died or did not "
    "release them in time; the servers are probed before the slots are granted again.",
)
SERVER_EJECTED = event.define(
    4004,
    "server_ejected",
    logging.WARNING,
    "A backend server failed several tasks in a row and temporarily gets no work; check it.",
)
POOL_TAKEN_OVER = event.define(
    4005,
    "pool_taken_over",
    logging.INFO,
    "This instance owns the pool now and every member has replied to it; it grants slots.",
)
GRANTS_NOT_SENT = event.define(
    4006,
    "grants_not_sent",
    logging.WARNING,
    "Granted slots could not be sent to their holder; the next audit reclaims them.",
)
