"""Which instances may own a pool, in which order.

Instances of the pool's own data centre come first: a data centre that is cut off then keeps its
owner.  Others follow, for the case that all of the own ones are gone.

The load that this answers: a fleet in which some machines are five times as fast as others.  Each
order to a backend server and each end goes through the pool's owner, so on a slow machine all jobs
of the pool wait for its processor.
"""

from collections.abc import Iterable

from rosedyke.membership import rendezvous
from rosedyke.rerun import messages

# A machine twice as fast owns this power of two times as many pools: in proportion to its speed
# alone, many slow machines beside a few fast ones would own most of the pools.
SPEED_EXPONENT = 2.0


def rank_candidates(
    pool: str, data_centre: str, instances: Iterable[messages.Instance]
) -> list[messages.Instance]:
    """Return all instances, the first candidate first."""
    by_name = {instance.name: instance for instance in instances}
    weights = {name: instance.cores**SPEED_EXPONENT for name, instance in by_name.items()}
    ranked = [by_name[name] for name in rendezvous.rank_weighted(pool, weights)]
    return sorted(ranked, key=lambda instance: instance.data_centre != data_centre)
