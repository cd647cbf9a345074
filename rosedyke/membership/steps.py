"""Named steps of joining, leaving and declaring a death, for fault injection."""

from rosedyke.observe import step

JOIN_ANNOUNCING = step.define(
    "join.announcing", "An instance announces its state to a member; the message is sent next."
)
JOIN_ACKNOWLEDGING = step.define(
    "join.acknowledging",
    "A member has merged an announced state; its acknowledgement is sent next.",
)
JOIN_CONFIRMED = step.define(
    "join.confirmed", "Every member has acknowledged the state of an instance; it serves next."
)
LEAVE_ANNOUNCING = step.define(
    "leave.announcing", "An instance ends its incarnation; the members are notified next."
)
DEATH_DECLARED = step.define(
    "death.declared", "A suspected member is declared dead; the other members are notified next."
)
