"""Events of the services that a process runs."""

import logging

from rosedyke.observe import event

SERVICE_FAILED = event.define(
    900,
    "service_failed",
    logging.ERROR,
    "A part of the process that has to run all the time had an unexpected error; it goes on, or is "
    "started again. Report the traceback; if it repeats, replace the instance.",
)
PROCESS_ENDS = event.define(
    901,
    "process_ends_after_failure",
    logging.CRITICAL,
    "A part of the process that can't be started again has failed, so the process shuts down as "
    "after SIGTERM. Report the reason.",
)
