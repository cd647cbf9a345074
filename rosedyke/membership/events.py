"""Log events of the membership."""

import logging

from rosedyke.observe import event

MEMBER_CHANGED = event.define(
    1100,
    "member_changed",
    logging.INFO,
    "A member's state changed in this instance's view.",
)
JOINED = event.define(
    1101,
    "joined",
    logging.INFO,
    "Every member of the data centre has acknowledged this instance; it may take callers.",
)
JOINING_ALONE = event.define(
    1102,
    "joining_alone",
    logging.WARNING,
    "No seed answered, so this instance goes on without peers and keeps trying them. Check the "
    "list of seeds if others are running.",
)
REJOINING = event.define(
    1103,
    "rejoining",
    logging.WARNING,
    "This instance stood still or was declared dead, and comes back with a new incarnation.",
)
MEMBER_DEAD = event.define(
    1104,
    "member_dead",
    logging.WARNING,
    "A member of the own data centre stopped answering and was declared dead.",
)
DATA_CENTRE_UNREACHABLE = event.define(
    1105,
    "data_centre_unreachable",
    logging.WARNING,
    "No relay of another data centre answers. Its members are not declared dead.",
)
DATA_CENTRE_REACHABLE = event.define(
    1106,
    "data_centre_reachable",
    logging.INFO,
    "A relay of another data centre answers again.",
)
ISOLATED = event.define(
    1108,
    "isolated",
    logging.WARNING,
    "Too few members of the own data centre answer to know that they are gone; starts nothing.",
)
ISOLATION_ENDED = event.define(
    1109,
    "isolation_ended",
    logging.INFO,
    "Enough members answer again, or witnesses showed the silent ones to be gone.",
)
NAME_TAKEN = event.define(
    1107,
    "name_taken",
    logging.ERROR,
    "Another instance uses this instance's name at another address. Give each its own name.",
)
