"""Numbered events of dispatch: 4000-4999."""

import logging

from rosedyke.observe import event

SERVER_LOST = event.define(
    4001,
    "server_lost",
    logging.WARNING,
    "A task was sent and no whole answer came back; its job failed and the task is not sent "
    "again. Look at the backend server and the network between.",
)
EXCHANGE_FAILED = event.define(
    4002,
    "exchange_failed",
    logging.INFO,
    "The owner of a pool did not answer; the message is sent again to the present owner.",
)
SLOTS_ORPHANED = event.define(
    4003,
    "slots_orphaned",
    logging.WARNING,
    "Slots of a pool may be in use by tasks that nobody tells of, because their holder died or "
    "did not release them in time; the servers are asked before the slots are used again.",
)
SERVER_EJECTED = event.define(
    4004,
    "server_ejected",
    logging.WARNING,
    "A backend server failed several tasks in a row and gets no work for a while; look at it.",
)
POOL_TAKEN_OVER = event.define(
    4005,
    "pool_taken_over",
    logging.INFO,
    "This instance owns the pool now and has heard from every member; it grants slots.",
)
GRANTS_NOT_SENT = event.define(
    4006,
    "grants_not_sent",
    logging.WARNING,
    "Slots could not be told to their holder; they are taken back at the next audit.",
)
