"""Numbered log events of jobs and claims."""

import logging

from rosedyke.observe import event

PAUSED = event.define(
    3000,
    "instance_paused",
    logging.WARNING,
    "The process was paused for longer than its peers tolerate. Its jobs were failed and their "
    "waiting tasks will not be sent. Check for a stopped process, swapping or an overcommitted "
    "host.",
)
CLAIM_CONFLICT = event.define(
    3001,
    "claim_conflict",
    logging.ERROR,
    "Two instances hold a claim to the same job, which violates at-most-once execution. Keep the "
    "logs of both instances and report the fault.",
)
REGISTRAR_FULL = event.define(
    3002,
    "registrar_full",
    logging.WARNING,
    "The registrar has reached its maximum number of claims. New jobs are refused until claims "
    "expire; add instances to the data centre.",
)
SETTLED = event.define(
    3003,
    "registrars_settled",
    logging.INFO,
    "Every member of the data centre has transferred its claims after a membership change.",
)
HISTORY_LOST = event.define(
    3004,
    "history_lost",
    logging.WARNING,
    "Several instances failed at the same time, so it cannot be proved that a resubmitted job did "
    "not run. Its caller was answered that it may have run.",
)
RUN_FAILED = event.define(
    3005,
    "run_failed",
    logging.ERROR,
    "Running a job raised an unexpected error; its caller was answered 'internal'. Report it with "
    "the traceback in the log.",
)
DRAINED = event.define(
    3006,
    "jobs_drained",
    logging.INFO,
    "The instance was drained. `whole` is false if a job had to be failed, or if claims or answers "
    "could not be handed over in time.",
)
JOB_STOPPED = event.define(
    3007,
    "job_stopped",
    logging.WARNING,
    "A job was failed because the instance stops; its caller was answered 'stopped'. `started` is "
    "false for an attempt that was still being claimed or that waited for another instance's run.",
)
