"""Numbered events of rerunnable jobs."""

import logging

from rosedyke.observe import event

POOL_CLAIMED = event.define(
    8000,
    "pool_claimed",
    logging.INFO,
    "This instance now owns a pool of backend servers; the fields give the reason.",
)
POOL_GIVEN_UP = event.define(
    8001,
    "pool_given_up",
    logging.WARNING,
    "This instance no longer owns a pool: a server has seen a higher fencing token, another owner "
    "claimed the pool, the process was paused for too long, or the instance shuts down.",
)
OWNER_CHANGED = event.define(
    8002, "pool_owner_changed", logging.INFO, "A pool has a new owner; the fields name it."
)
OWNER_GONE = event.define(
    8005,
    "pool_owner_gone",
    logging.INFO,
    "The known owner of a pool no longer owns it, for example after a restart.",
)
OWNER_SUSPECTED = event.define(
    8003,
    "pool_owner_suspected",
    logging.WARNING,
    "A pool's owner does not respond; the field heard lists the seconds since peers had contact.",
)
TOKEN_RAISED = event.define(
    8004,
    "fencing_token_raised",
    logging.INFO,
    "A server had seen a higher fencing token at the first contact, most likely from an owner "
    "whose clock was ahead; the new owner continues with a higher one.",
)
LEARNED_STATE_TAKEN_OVER = event.define(
    8006,
    "learned_state_taken_over",
    logging.INFO,
    "A new owner uses what the previous one had learned: the field queues counts the queues whose "
    "run time ratios it takes, the field suspended names the servers that stay suspended.",
)
SERVER_LISTED = event.define(
    8010,
    "server_listed",
    logging.INFO,
    "A backend server answered its owner for the first time, or again after being unresponsive.",
)
SERVER_UNRESPONSIVE = event.define(
    8011,
    "server_silent",
    logging.WARNING,
    "A backend server does not respond to its owner. It gets no tasks, and its tasks are placed "
    "elsewhere once the lease has expired.",
)
SERVER_RESTARTED = event.define(
    8012,
    "server_reborn",
    logging.WARNING,
    "A backend server has restarted, so its earlier runs are over.",
)
ORPHAN_STOPPED = event.define(
    8013,
    "orphan_stopped",
    logging.INFO,
    "A run that no holder claimed was stopped.",
)
COMMAND_UNANSWERED = event.define(
    8014,
    "order_unanswered",
    logging.INFO,
    "A start command got no reply. Its run is stopped before the task is started elsewhere.",
)
SERVER_SUSPENDED = event.define(
    8015,
    "server_suspended",
    logging.WARNING,
    "Several runs in a row failed on a backend server; it gets no tasks for a while.",
)
RUN_STALLED = event.define(
    8016,
    "run_stalled",
    logging.WARNING,
    "A run makes no progress; it is stopped, and its task is placed elsewhere.",
)
POLL_REFUSED = event.define(
    8017,
    "look_refused",
    logging.WARNING,
    "A backend server refused to renew its lease and to list its runs; it gets no tasks.",
)
LEASE_LAPSED = event.define(
    8018,
    "server_lease_lapsed",
    logging.WARNING,
    "The lease of a backend server has expired, so the tasks of its runs are placed elsewhere; the "
    "field unconfirmed counts the runs whose start command has no reply.",
)
START_DISCARDED = event.define(
    8019,
    "start_discarded",
    logging.INFO,
    "A run was not started because its task was requeued or its job cancelled after the run was "
    "placed.",
)
JOB_ENDED = event.define(
    8020,
    "rerunnable_job_ended",
    logging.INFO,
    "A job did not succeed or was late; the fields give its end, reason, duration and location. A "
    "holder's entry also has the age of the caller's connection, the number of the request on it, "
    "and the longest delay of the event loop in the second before the request.",
)
JOB_MOVED = event.define(
    8021,
    "rerunnable_job_moved",
    logging.INFO,
    "A job moved to another holder, to which its caller has resubmitted it; the fields give the "
    "time since the former holder accepted it and since the other one submitted it.",
)
TASKS_RELEASED = event.define(
    8023,
    "tasks_released",
    logging.INFO,
    "A full or evacuated pool released tasks that had not started, to be moved to another pool.",
)
POOL_MOVED = event.define(
    8040,
    "pool_moved",
    logging.INFO,
    "This instance handed a pool over to an instance that owns fewer pools for its cores; the "
    "fields name it and give the pools per core that are left here.",
)
POOL_MOVE_DECLINED = event.define(
    8041,
    "pool_move_declined",
    logging.INFO,
    "An instance that owns fewer pools declined to get one, for example because it shuts down or "
    "has just got another.",
)
POOL_EMPTIED = event.define(
    8035,
    "pool_emptied",
    logging.INFO,
    "No run is left on the servers of a pool whose data centre is being evacuated.",
)
SUBMIT_STALE = event.define(
    8024,
    "submission_stale",
    logging.WARNING,
    "A submission was rejected: it was in transit for so long that the caller may have resubmitted "
    "the job elsewhere.",
)
HOLDER_LOST = event.define(
    8022,
    "holder_lost",
    logging.WARNING,
    "A job's holder stopped renewing it; its runs are stopped before the caller may resubmit it.",
)
JOB_HELD_ELSEWHERE = event.define(
    8025,
    "job_held_elsewhere",
    logging.INFO,
    "Another instance, the field holder, has claimed a job that a caller has sent here: a request "
    "came late, or the caller has sent the job again. This instance waits for the outcome there. "
    "The other fields are those of 8020.",
)
DOCUMENT_FROM_PEER = event.define(
    8030,
    "document_from_peer",
    logging.INFO,
    "A newer configuration or list came from a peer rather than from the platform's store.",
)
INSTANCE_PAUSED = event.define(
    8031,
    "loop_stood_still",
    logging.WARNING,
    "The process was paused for longer than the timeout of its peers; it gives up its pools.",
)
MESSAGE_NOT_SENT = event.define(
    8032,
    "rerun_message_not_sent",
    logging.INFO,
    "A message to a peer could not be sent; the next renewal makes up for it.",
)
DOCUMENT_NOT_FETCHED = event.define(
    8033,
    "document_not_fetched",
    logging.INFO,
    "Fetching a newer document from a peer failed; it will be retried.",
)
PART_STARTED = event.define(
    8034,
    "part_has_begun",
    logging.INFO,
    "A part of a job had started when its holder withdrew it, because a pool had refused another "
    "part, whose tasks are submitted to other pools, or because the caller's timeout was near.",
)
RACKS_SPLIT = event.define(
    8044,
    "racks_split",
    logging.INFO,
    "The record of the racks that are split into several pools has become known or has changed.",
)
POOL_SPLITS_CREATED = event.define(
    8045,
    "pool_splits_created",
    logging.INFO,
    "The fleet is starting and all instances are small, so this one has written the numbers of "
    "pools of the racks.",
)
POOL_SPLITS_NOT_CREATED = event.define(
    8046,
    "pool_splits_not_created",
    logging.WARNING,
    "Writing the numbers of pools of the racks failed, or its result is unknown; it is retried "
    "while the fleet is starting.",
)
POOL_SPLITS_UNREADABLE = event.define(
    8047,
    "pool_splits_unreadable",
    logging.ERROR,
    "The record of the split racks is invalid; the last valid one stays in effect.",
)
POOL_RENAMED = event.define(
    8048,
    "pool_renamed",
    logging.WARNING,
    "The record of the split racks became known late, so that the pool's servers belong to pools "
    "of other names; its jobs end as after the loss of an owner.",
)
QUEUE_TOO_LONG = event.define(
    8060,
    "queue_too_long",
    logging.WARNING,
    "A pool refused jobs because their predicted completion was later than their answers are "
    "useful; logged at most once a second, with the number since the last entry. Callers ask for "
    "more than the pool carries.",
)
RETRY_BUDGET_SPENT = event.define(
    8062,
    "retry_budget_spent",
    logging.WARNING,
    "More tasks than usual are submitted again or repeated, so these wait where they are, "
    "or their jobs are refused; logged at most once a second. Look for failing servers or owners.",
)
POOL_UNDER_PRESSURE = event.define(
    8070,
    "pool_under_pressure",
    logging.INFO,
    "Jobs compete for a pool that is nearly full, so priority 0 comes first, and queues of one "
    "priority share the pool.",
)
POOL_PRESSURE_ENDED = event.define(
    8071,
    "pool_pressure_ended",
    logging.INFO,
    "A pool has not been under pressure for a second.",
)
SPILL_STARTED = event.define(
    8080,
    "spill_started",
    logging.INFO,
    "Little of the data centre's capacity is free, so this instance sends jobs with slack to other "
    "data centres.",
)
SPILL_ENDED = event.define(
    8081,
    "spill_ended",
    logging.INFO,
    "For a second this instance has sent no job to another data centre because of its slack.",
)
CANCELLATIONS_NOT_STORED = event.define(
    8083,
    "cancellations_not_stored",
    logging.WARNING,
    "Cancellations of callers could not be stored. Their jobs are stopped; the callers get no "
    "acknowledgement until this or another instance has stored them.",
)
CANCELLATIONS_STORED_AGAIN = event.define(
    8084,
    "cancellations_stored_again",
    logging.INFO,
    "Cancellations are stored again.",
)
EARLIER_OWNER_UNKNOWN = event.define(
    8085,
    "earlier_owner_unknown",
    logging.INFO,
    "The pool's owner does not know all servers on which an earlier owner of a job may have "
    "started its tasks, so those that it does not find wait until the leases have expired. "
    "Expected at the end of a partition.",
)
POOL_OFFER_LATE = event.define(
    8086,
    "pool_offer_late",
    logging.INFO,
    "An offer of a pool arrived too late to be accepted: this process stood still, or a link held "
    "the message back. Another instance may own the pool by now.",
)
REFUSED_AT_SHUTDOWN = event.define(
    8082,
    "rerunnable_job_refused_at_shutdown",
    logging.INFO,
    "A job arrived at an instance that shuts down and could not be answered before its end; "
    "nothing of it started here.",
)
