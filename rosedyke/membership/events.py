"""Log events of the membership."""

import logging

from rosedyke.observe import event

MEMBER_CHANGED = event.define(
    1100,
    "member_changed",
    logging.INFO,
    "The state of a member changed in this instance's view.",
)
JOINED = event.define(
    1101,
    "joined",
    logging.INFO,
    "Every member of the data centre has acknowledged this instance; it may accept callers.",
)
JOINING_ALONE = event.define(
    1102,
    "joining_alone",
    logging.WARNING,
    "No seed answered, so this instance continues without peers and keeps trying to reach them. "
    "Check the list of seeds if other instances are running.",
)
REJOINING = event.define(
    1103,
    "rejoining",
    logging.WARNING,
    "This instance was paused, rejected or declared dead, and re-joins with a new incarnation.",
)
MEMBER_DEAD = event.define(
    1104,
    "member_dead",
    logging.WARNING,
    "A member of the local data centre stopped responding and was declared dead.",
)
DATA_CENTRE_UNREACHABLE = event.define(
    1105,
    "data_centre_unreachable",
    logging.WARNING,
    "Another data centre can't be reached. Its members are not declared dead.",
)
DATA_CENTRE_REACHABLE = event.define(
    1106,
    "data_centre_reachable",
    logging.INFO,
    "Another data centre can be reached again.",
)
ISOLATED = event.define(
    1108,
    "isolated",
    logging.WARNING,
    "Too few members of the local data centre respond to declare the others dead. This instance "
    "may be isolated and starts nothing new.",
)
ISOLATION_ENDED = event.define(
    1109,
    "isolation_ended",
    logging.INFO,
    "Enough members respond again, or witnesses confirmed that the unresponsive ones are dead.",
)
DEATH_WITHHELD = event.define(
    1110,
    "death_withheld",
    logging.WARNING,
    "A suspect is not declared dead: too few members of the local data centre respond, and too few "
    "other data centres confirmed that they can't reach it either. ``confirmed`` lists those that "
    "did; one that didn't reaches the suspect, did not answer, or its witness is isolated itself.",
)
NAME_TAKEN = event.define(
    1107,
    "name_taken",
    logging.ERROR,
    "Another instance uses this instance's name at another address. Give each instance a unique "
    "name.",
)
