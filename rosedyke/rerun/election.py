"""Which instances may own a pool, in which order.

Instances of the pool's own data centre come first: a data centre that is cut off then keeps its
owner.  Others follow, for the case that all of the own ones are gone.
"""

from collections.abc import Iterable

from rosedyke.membership import rendezvous
from rosedyke.rerun import messages


def order(
    pool: str, data_centre: str, instances: Iterable[messages.Instance]
) -> list[messages.Instance]:
    """Return all instances, the first candidate first."""
    by_name = {each.name: each for each in instances}
    ranked = [by_name[name] for name in rendezvous.rank(pool, by_name)]
    return sorted(ranked, key=lambda each: each.data_centre != data_centre)
