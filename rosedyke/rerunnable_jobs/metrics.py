"""Metrics of rerunnable jobs."""

from rosedyke.observe import metric

JOBS = {
    end: metric.define(f"rerun.jobs_{end}", "counter", f"Jobs that this holder ended as {end}.")
    for end in ("succeeded", "failed", "refused", "cancelled", "lost")
}
RESPONSE = metric.define(
    "rerun.response", "timer", "From a job's arrival at its holder to its end, successes only."
)
STARTS = metric.define("rerun.starts", "counter", "Starts that this owner ordered.")
STARTS_REFUSED = metric.define(
    "rerun.starts_refused", "counter", "Starts that a backend server refused."
)
STARTS_UNANSWERED = metric.define(
    "rerun.orders_unanswered", "counter", "Starts without an answer in time."
)
RUNS_FAILED = metric.define("rerun.runs_failed", "counter", "Runs that a server ended as failed.")
TASKS_RELEASED = metric.define(
    "rerun.tasks_released", "counter", "Tasks that a full pool gave back toward another one."
)
WAIT = metric.define("rerun.wait", "timer", "From a job's arrival to the start of each task.")
POOLS = metric.define("rerun.pools", "gauge", "Pools that this instance owns.")
POOLS_MOVED = metric.define(
    "rerun.pools_moved", "counter", "Pools handed over to an instance that owned fewer."
)
POOLS_TAKEN = metric.define("rerun.pools_taken", "counter", "Times that it took a pool.")
SUSPENSIONS_TAKEN_OVER = metric.define(
    "rerun.suspensions_taken_over",
    "counter",
    "Servers that a new owner keeps suspended because their runs failed at the previous one.",
)
EVACUATED_RUNS = metric.define(
    "rerun.evacuated_runs",
    "gauge",
    "Runs left in pools of this owner whose data centre is being evacuated.",
)
CLAIMS_UNANSWERED = metric.define(
    "rerun.claims_unanswered", "counter", "Claims on jobs that no other instance answered."
)
CANCELLATIONS_NOT_STORED = metric.define(
    "rerun.cancellations_not_stored",
    "counter",
    "Cancellations that this instance could not store at an attempt; it tries again.",
)
JOBS_JOINED = metric.define(
    "rerun.jobs_joined", "counter", "Jobs of this holder that another instance had claimed."
)
HELD_JOBS = metric.define("rerun.held", "gauge", "Jobs that callers of this instance wait for.")
REFUSED_BY_PREDICTION = metric.define(
    "rerun.refused_by_prediction",
    "counter",
    "Jobs that this owner refused because their predicted completion was too late.",
)
MOVED_AFTER_REFUSAL = metric.define(
    "rerun.moved_after_refusal",
    "counter",
    "Parts of jobs that this holder sent to another pool after their refusal.",
)
PARTS_WITHDRAWN = metric.define(
    "rerun.parts_withdrawn",
    "counter",
    "Parts of jobs that their owners confirmed as not started when this holder withdrew them.",
)
PARTS_UNCONFIRMED = metric.define(
    "rerun.parts_unconfirmed",
    "counter",
    "Parts of jobs for which a withdrawal got no answer or no definite one; they may have started.",
)
RETRY_AFTER = metric.define(
    "rerun.retry_after",
    "timer",
    "After how long this owner asks callers of refused jobs to submit them again.",
)
RESUBMISSIONS_DENIED = metric.define(
    "rerun.resubmissions_denied",
    "counter",
    "Resubmissions and repeated runs that did not take place for lack of retry budget.",
)
KEPT_SERVERS = metric.define(
    "rerun.kept_servers",
    "gauge",
    "Servers that this owner's pools keep for urgent tasks that fit on none now.",
)
QUEUE_USED = metric.define(
    "rerun.queue_used",
    "gauge",
    "Millicores that running tasks of the queue use in this owner's pools, while shares are set.",
    "queue",
)
QUEUE_BORROWS = metric.define(
    "rerun.queue_borrows",
    "gauge",
    "Pools of this owner under pressure in which the queue uses more than its limit.",
    "queue",
)
QUEUE_AT_LIMIT = metric.define(
    "rerun.queue_at_limit",
    "gauge",
    "Tasks of the queue that wait in this owner's pools because the queue is at its limit.",
    "queue",
)
JOBS_SPILLED = metric.define(
    "rerun.jobs_spilled",
    "counter",
    "Jobs that this holder sent to another data centre because of their slack.",
)
CAPACITY_REQUESTS = metric.define(
    "rerun.capacity_requests",
    "counter",
    "Times that a full pool of this owner asked others for free capacity.",
)
OWNERS_ASKED = metric.define(
    "rerun.owners_asked",
    "counter",
    "Owners that these requests were sent to.",
)
EARLIER_OWNERS_UNKNOWN = metric.define(
    "rerun.earlier_owners_unknown",
    "counter",
    "Earlier owners of jobs whose servers this owner did not know, so that tasks wait for leases.",
)
POOL_OFFERS_LATE = metric.define(
    "rerun.pool_offers_late",
    "counter",
    "Offers of a pool that arrived too late to be accepted.",
)
