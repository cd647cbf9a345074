"""Named points of the slot and task protocols, between which faults can be put."""

from rosedyke.observe import step

SLOTS_ASKING = step.define(
    "slots.asking", "A holder has news for a pool's owner; the message leaves next."
)
SLOTS_GRANTED = step.define(
    "slots.granted", "The owner has granted slots; the holders are told next."
)
SLOTS_RECEIVED = step.define(
    "slots.received", "A grant has reached its holder; the task is prepared next."
)
TASK_SENDING = step.define(
    "task.sending", "The task is recorded as sent; its first byte leaves next."
)
TASK_ANSWERED = step.define(
    "task.answered", "The server's answer is there; the slot and the job hear of it next."
)
TASK_NOT_STARTED = step.define(
    "task.not_started", "The task provably did not start; it waits again next."
)
POOL_RECOVERING = step.define(
    "pool.recovering", "A new owner knows its ballot; the members are asked for slots in use next."
)
POOL_TAKEN_OVER = step.define(
    "pool.taken_over", "Every member has answered the new owner; it grants next."
)
