"""Numbered log events of jobs and claims."""

import logging

from rosedyke.observe import event

PAUSED = event.define(
    3000,
    "instance_paused",
    logging.WARNING,
    "The process stood still for longer than its peers wait. Its jobs were ended; waiting tasks "
    "are not sent. Look for a stopped process, swapping or an overcommitted host.",
)
CLAIM_CONFLICT = event.define(
    3001,
    "claim_conflict",
    logging.ERROR,
    "Two instances hold a claim to one job. This breaks a promise of the product: keep the logs "
    "of both and report it.",
)
REGISTRAR_FULL = event.define(
    3002,
    "registrar_full",
    logging.WARNING,
    "A registrar holds as many claims as it may. New jobs are refused until claims expire; add "
    "instances to the data centre.",
)
SETTLED = event.define(
    3003,
    "registrars_settled",
    logging.INFO,
    "Every member of the data centre has moved its claims after a change of members.",
)
HISTORY_LOST = event.define(
    3004,
    "history_lost",
    logging.WARNING,
    "Instances died together, so a resubmitted job can't be shown not to have run. Its caller "
    "was told that it may have.",
)
RUN_FAILED = event.define(
    3005,
    "run_failed",
    logging.ERROR,
    "Running a job ended with an unexpected error; its caller got 'internal'. Report it with the "
    "traceback in the log.",
)
DRAINED = event.define(
    3006,
    "jobs_drained",
    logging.INFO,
    "The instance took no more jobs, ended those it had, and handed claims and answers over.",
)
