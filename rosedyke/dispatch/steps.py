"""Named points of the slot and task protocols, at which tests inject faults."""

from rosedyke.observe import step

SLOTS_ASKING = step.define(
    "slots.asking", "A holder has updates for a pool's owner; it sends the message next."
)
SLOTS_GRANTED = step.define(
    "slots.granted", "The owner has granted slots; it notifies the holders next."
)
SLOTS_RECEIVED = step.define(
    "slots.received", "A grant has reached its holder; the task is prepared next."
)
TASK_SENDING = step.define(
    "task.sending", "The task is recorded as sent; its first byte is sent next."
)
TASK_ANSWERED = step.define(
    "task.answered", "The server has replied; the slot is released and the job updated next."
)
TASK_NOT_STARTED = step.define(
    "task.not_started", "The task provably did not start; it is queued again next."
)
POOL_RECOVERING = step.define(
    "pool.recovering",
    "A new owner has chosen its ballot; it asks the members for slots in use next.",
)
POOL_TAKEN_OVER = step.define(
    "pool.taken_over", "Every member has replied to the new owner; it starts to grant slots next."
)
