"""Metrics of dispatch."""

from rosedyke.observe import metric

TASKS_SENT = metric.define("dispatch.tasks_sent", "counter", "Tasks put on a backend server.")
TASKS_NOT_STARTED = metric.define(
    "dispatch.tasks_not_started",
    "counter",
    "Sent tasks that provably did not start; each is a wasted message.",
)
TASKS_LOST = metric.define(
    "dispatch.tasks_lost", "counter", "Sent tasks that may have run, without an answer."
)
TASKS_FAILED = metric.define(
    "dispatch.tasks_failed", "counter", "Tasks that ran and answered with an error."
)
GRANTS_LATE = metric.define(
    "dispatch.grants_late",
    "counter",
    "Grants for a task that no longer waits here; the slot is returned unused.",
)
EXCHANGES = metric.define(
    "dispatch.exchanges", "counter", "Messages from holders to owners of pools."
)
QUEUE_TASKS = metric.define(
    "dispatch.queue_tasks", "gauge", "Tasks that wait in the pools owned here."
)
PROBES = metric.define(
    "dispatch.probes",
    "counter",
    "Questions to backend servers how many tasks run, after a loss; each is a wasted message.",
)
TAKEOVERS = metric.define(
    "dispatch.takeovers", "counter", "Pools that this instance became the owner of."
)
SLOTS_ORPHANED = metric.define(
    "dispatch.slots_orphaned",
    "counter",
    "Slots whose holder died or never got an answer; used again once the server shows them free.",
)
JOBS_REFUSED = metric.define(
    "dispatch.jobs_refused", "counter", "Jobs refused for lack of room or time; not run."
)
PERMITS = metric.define(
    "dispatch.permits",
    "counter",
    "Questions of this owner to other data centres whether it may go on using their servers.",
)
TASKS_STALLED = metric.define(
    "dispatch.tasks_stalled",
    "counter",
    "Sent tasks that their server does not run though no answer came; their jobs fail at once.",
)
