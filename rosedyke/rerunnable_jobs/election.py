"""Ranks the instances that may own a pool.

Instances in the pool's data centre come first, so that a partitioned data centre keeps its owner.
Others follow in case all local instances have failed.

Instances are weighted by speed: every command to a server and every completion passes through the
owner, so a slow owner delays all jobs of the pool.
"""

from collections.abc import Iterable

from rosedyke.membership import rendezvous
from rosedyke.rerunnable_jobs import messages

# A machine twice as fast owns 2 ** SPEED_EXPONENT times as many pools.  Greater than 1, or many
# slow machines together would own most pools despite a few fast ones.
SPEED_EXPONENT = 2.0


def rank_candidates(
    pool: str, data_centre: str, instances: Iterable[messages.Instance]
) -> list[messages.Instance]:
    """Return all instances, best candidate first."""
    return sorted(
        instances,
        key=lambda instance: (
            instance.data_centre != data_centre,
            score(pool, instance),
            instance.name,
        ),
    )


def score(pool: str, instance: messages.Instance) -> float:
    """Return the score of a candidate within its data centre, lowest for the best."""
    weight = instance.cores**SPEED_EXPONENT
    return rendezvous.weighted_score(pool, instance.name, weight)
