"""Fault injection points in the distribution of a generation."""

from rosedyke.observe import step

WATCH_CHANGED = step.define("watch.changed", "A watch reported a change; the store is read next.")
GENERATION_READ = step.define(
    "spread.read", "A watcher has read a newer generation; it is activated next."
)
GENERATION_ACTIVE = step.define(
    "spread.in_force", "A generation is active; it is announced in the data centre next."
)
PULL_STARTING = step.define("spread.pulling", "A peer has a newer version; it is pulled next.")
