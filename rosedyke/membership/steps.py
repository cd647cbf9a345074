"""Named points of joining and leaving, between which faults can be put."""

from rosedyke.observe import step

JOIN_ANNOUNCING = step.define(
    "join.announcing", "An instance has news of itself for a member; the message leaves next."
)
JOIN_ACKNOWLEDGING = step.define(
    "join.acknowledging", "A member has taken an announced state in; its reply leaves next."
)
JOIN_CONFIRMED = step.define(
    "join.confirmed", "Every member has acknowledged the own state; the instance serves next."
)
LEAVE_ANNOUNCING = step.define(
    "leave.announcing", "An instance ends its incarnation; the members are told next."
)
DEATH_DECLARED = step.define(
    "death.declared", "A suspected member is taken as dead; the others are told next."
)
