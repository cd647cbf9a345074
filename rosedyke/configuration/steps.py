"""Named points of the spread of a generation, between which faults can be put."""

from rosedyke.observe import step

WATCH_CHANGED = step.define("watch.changed", "A watch tells of a change; the store is read next.")
SPREAD_READ = step.define(
    "spread.read", "A watcher has read a newer generation; it is put in force here next."
)
SPREAD_IN_FORCE = step.define(
    "spread.in_force", "A generation is in force here; the data centre is told next."
)
SPREAD_PULLING = step.define("spread.pulling", "A peer is seen to be ahead; it is asked next.")
