"""Numbered events of the daemon."""

import logging

from rosedyke.observe import event

STARTING = event.define(7000, "instance_starting", logging.INFO, "The entry instance starts.")
READY = event.define(
    7001,
    "instance_ready",
    logging.INFO,
    "The instance takes jobs: a configuration is in force and it is a live member of its data "
    "centre.",
)
NOT_READY = event.define(
    7002,
    "instance_not_ready",
    logging.WARNING,
    "The instance takes no new jobs; the field says why. It goes on serving those it has.",
)
SHUTDOWN_BEGUN = event.define(
    7003,
    "shutdown_begun",
    logging.INFO,
    "A graceful shutdown has begun: readiness is gone, requests in progress go on to their end.",
)
SHUTDOWN_FORCED = event.define(
    7004,
    "shutdown_forced",
    logging.WARNING,
    "A second signal or the bound of time ended the graceful shutdown. Requests that were still "
    "in progress are failed; their callers are told what is known.",
)
SHUTDOWN_ENDED = event.define(
    7005, "shutdown_ended", logging.INFO, "The instance has left its data centre and ends."
)
SETTINGS_FAULT = event.define(
    7006,
    "settings_fault",
    logging.ERROR,
    "A setting is wrong; the instance does not start. All faults are listed.",
)
START_FAILED = event.define(
    7007,
    "start_failed",
    logging.ERROR,
    "The instance could not start, for example because an address is in use.",
)
HANDOVER_INCOMPLETE = event.define(
    7009,
    "handover_incomplete",
    logging.WARNING,
    "Not every claim and kept answer found another instance, for example because this was the last "
    "one of its data centre. A resubmission of such a job is told that nobody can tell any more.",
)
STATSD_OFF = event.define(
    7008,
    "statsd_off",
    logging.INFO,
    "No statsd address is set. Metrics are kept in memory only and are lost with the instance.",
)
OPERATOR_REQUEST_FAILED = event.define(
    7010,
    "operator_request_failed",
    logging.ERROR,
    "A request of an operator ended in an unexpected error; jobs go on. Please report it with the "
    "traceback that follows.",
)
