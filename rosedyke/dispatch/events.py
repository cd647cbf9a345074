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
LEASE_EXPIRED = event.define(
    4003,
    "lease_expired",
    logging.WARNING,
    "A slot was not released by its holder before the job's deadline; it is free again.",
)
SERVER_EJECTED = event.define(
    4004,
    "server_ejected",
    logging.WARNING,
    "A backend server failed several tasks in a row and gets no work for a while; look at it.",
)
