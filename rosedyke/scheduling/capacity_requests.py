"""Decides how many owners a full pool asks for free capacity at once.

Load: a wide job, or several jobs, wait in a full pool, and no other pool alone has the capacity
for them, or none has reported any.
"""

from collections.abc import Sequence

# Each owner asked costs one message, and reserves what it offers for a while.
MAX_OWNERS = 3


def owners_to_ask(missing_millicores: int, free_millicores: Sequence[int]) -> int:
    """Return how many of the other owners are asked.

    As many as have reported enough free capacity together, at least one.  If all of them have not,
    capacity may become free at any of them, so ``MAX_OWNERS`` are asked.

    Parameters
    ----------
    missing_millicores : int
        Demand of the tasks that would move.
    free_millicores : sequence of int
        Usable free capacity in the last reports of each owner, in the order of asking.
    """
    count = 0
    for free in free_millicores[:MAX_OWNERS]:
        count += 1
        missing_millicores -= free
        if missing_millicores <= 0:
            break
    return count
