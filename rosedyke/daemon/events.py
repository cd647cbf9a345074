"""Numbered events of the daemon."""

import logging

from rosedyke.observe import event

STARTING = event.define(7000, "instance_starting", logging.INFO, "The entry instance starts.")
READY = event.define(
    7001,
    "instance_ready",
    logging.INFO,
    "The instance accepts jobs: a configuration is in force and it is a live member of its data "
    "centre.",
)
NOT_READY = event.define(
    7002,
    "instance_not_ready",
    logging.WARNING,
    "The instance accepts no new jobs, for the reason in the event's field. Jobs in progress "
    "continue.",
)
SHUTDOWN_BEGUN = event.define(
    7003,
    "shutdown_begun",
    logging.INFO,
    "A graceful shutdown has begun: the instance is not ready any more, and requests in progress "
    "continue.",
)
SHUTDOWN_FORCED = event.define(
    7004,
    "shutdown_forced",
    logging.WARNING,
    "A second signal or the timeout ended the graceful shutdown. Requests that were still in "
    "progress are failed; their answers say whether any task may have run.",
)
SHUTDOWN_ENDED = event.define(
    7005, "shutdown_ended", logging.INFO, "The instance has left its data centre and exits."
)
SETTINGS_FAULT = event.define(
    7006,
    "settings_fault",
    logging.ERROR,
    "A setting is invalid; the instance does not start. Each invalid setting is logged.",
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
    "Some claims or cached answers could not be transferred to another instance, for example "
    "because this was the last one of its data centre. For such a job, a resubmission is answered "
    "that it is not known whether the job ran.",
)
STATSD_OFF = event.define(
    7008,
    "statsd_off",
    logging.INFO,
    "No statsd address is set. Metrics are kept in memory only and are lost when the instance "
    "exits.",
)
OPERATOR_REQUEST_FAILED = event.define(
    7010,
    "operator_request_failed",
    logging.ERROR,
    "An operator's request failed with an unexpected error; jobs are not affected. Please report "
    "it with the traceback that follows.",
)
