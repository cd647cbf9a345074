"""Decides which pool an owner of several hands over to an instance with fewer.

Load: several pools are on one instance while others own none, so that a few links and processors
carry the commands to all servers.  Owners follow from hashes, which spread a few pools unevenly.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs


@attrs.frozen
class InstanceLoad:
    """The pools that a live instance owns.

    Attributes
    ----------
    cores : float
        Processing power in cores of normal speed; more than 0.
    pools : int
        Number of owned pools.
    """

    name: str
    cores: float
    pools: int

    def pools_per_core(self, added: int) -> float:
        """Return the pools per core with a number of pools more, or less if it is negative."""
        return (self.pools + added) / self.cores


@attrs.frozen
class Move:
    """A pool that an instance hands over, and the name of the instance that gets it."""

    pool: str
    receiver: str


def may_receive(receiver: InstanceLoad, sender_pools_per_core: float) -> bool:
    """Return whether an instance may get a pool from one with more pools for its cores.

    After the move the receiver has no more pools per core than the sender.  It had fewer before,
    so it would never hand the pool back.

    Parameters
    ----------
    sender_pools_per_core : float
        Pools per core of the sender after the move.
    """
    return receiver.pools_per_core(1) <= sender_pools_per_core


def choose_move(
    sender: InstanceLoad,
    pools: Sequence[str],
    receivers: Iterable[InstanceLoad],
    score: Callable[[str, str], float],
) -> Move | None:
    """Return the pool to hand over and its receiver, None if no move improves the balance.

    The receiver has the fewest pools per core after the move, so that no third instance would be a
    better one.  Among equal ones, the best candidate for any of the pools gets that pool.

    Parameters
    ----------
    pools : sequence of str
        Pools of the sender that may move.
    receivers : iterable of InstanceLoad
        Instances of the pools' data centre that may get one.
    score : callable
        ``score(pool, name)`` of a candidate, lowest for the best.
    """
    if sender.pools < 2 or not pools:
        return None
    sender_pools_per_core = sender.pools_per_core(-1)
    suitable = [receiver for receiver in receivers if may_receive(receiver, sender_pools_per_core)]
    if not suitable:
        return None
    fewest = min(receiver.pools_per_core(1) for receiver in suitable)
    names = [receiver.name for receiver in suitable if receiver.pools_per_core(1) == fewest]
    _, pool, name = min((score(pool, name), pool, name) for pool in pools for name in names)
    return Move(pool, name)
