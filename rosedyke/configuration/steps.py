"""Named points of changing the intent and of its spread, between which faults can be put."""

from rosedyke.observe import step

APPLY_SENDING = step.define(
    "apply.sending", "The set was read and checked; the change is written next."
)
APPLY_UNANSWERED = step.define(
    "apply.unanswered", "The write's answer was lost; the same write is sent again next."
)
WATCH_CHANGED = step.define("watch.changed", "A watch tells of a change; the store is read next.")
SPREAD_READ = step.define(
    "spread.read", "A watcher has read a newer generation; it is put in force here next."
)
SPREAD_IN_FORCE = step.define(
    "spread.in_force", "A generation is in force here; the data centre is told next."
)
SPREAD_PULLING = step.define("spread.pulling", "A peer is seen to be ahead; it is asked next.")
