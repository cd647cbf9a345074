"""Named points of the change protocol and the distribution, between which faults can be put."""

from rosedyke.observe import step

APPLY_SENDING = step.define(
    "apply.sending", "The set was read and checked; the change is written next."
)
APPLY_UNANSWERED = step.define(
    "apply.unanswered", "The write's answer was lost; the same write is sent again next."
)
HEAD_READ = step.define(
    "distribute.head_read", "A watcher has read a newer head; its files are read next."
)
ANNOUNCING = step.define(
    "distribute.announcing", "A generation came from the store or afar; the others are told next."
)
PULL_ANSWERING = step.define(
    "distribute.answering", "A peer asks for what is newer; the reply is made next."
)
PULL_ANSWERED = step.define(
    "distribute.answered", "A peer's reply has come; its files are checked next."
)
WATCH_CHANGED = step.define("watch.changed", "A watch tells of a change; the store is read next.")
