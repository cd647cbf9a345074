"""Decides into how many pools the racks of a fleet of small instances are split.

Load: a fleet of small instances has fewer racks than instances, so that a few owners send all start
commands while the others are idle.  The numbers of pools are a record that is created once, when
the fleet starts, because all instances must assign a server to the same pool.
"""

import types
from collections.abc import Mapping

import attrs
import xxhash

# As many as the smallest racks have.  With fewer servers, tasks of several cores pack badly, and
# each pool costs renewals.
SERVERS_PER_POOL = 6
MAX_POOLS_PER_RACK = 4
# An instance with fewer cores is small.
SMALL_CORES = 0.25
# How long the lists of servers and instances have been known when the record is created, so that
# instances that start together have registered, and for how long they have not changed.
LISTS_KNOWN_S = 1.5
LISTS_UNCHANGED_S = 0.5
# How long a small instance waits for the record before it claims racks as pools.
RECORD_WAIT_S = 4.0
# Separates a rack's name from the number of a pool.
SEPARATOR = "#"

# The number of pools of each split rack, by the name of the rack.
Splits = Mapping[str, int]
NO_SPLITS: Splits = types.MappingProxyType({})


@attrs.frozen
class StartingFleet:
    """What a store reader knows of its fleet.

    Attributes
    ----------
    servers_by_rack : Mapping of str to int
        Number of listed servers of each rack, by its name.
    instance_cores : tuple of float
        Cores of each known instance, including this one.
    reachable_instances : int
        How many of them are in contact with this one, including itself.
    owned_pools : int
        Number of pools with a known owner.
    listed_s : float
        Seconds since the list of servers became known.
    known_s : float
        Seconds since the lists of servers and of instances are both known.
    unchanged_s : float
        Seconds for which servers and instances have not changed.
    """

    servers_by_rack: Mapping[str, int]
    instance_cores: tuple[float, ...]
    reachable_instances: int
    owned_pools: int
    listed_s: float
    known_s: float
    unchanged_s: float


def count_pools(servers: int) -> int:
    """Return into how many pools a rack with a number of servers is split."""
    return min(max(1, servers // SERVERS_PER_POOL), MAX_POOLS_PER_RACK)


def choose_splits(fleet: StartingFleet) -> Splits | None:
    """Return the record to create, None if none is to be created.

    The record is also created if it splits no rack, because instances wait for it.
    """
    is_starting = (
        not fleet.owned_pools
        and fleet.known_s >= LISTS_KNOWN_S
        # Later, instances claim racks without the record.
        and fleet.listed_s < RECORD_WAIT_S
        and fleet.unchanged_s >= LISTS_UNCHANGED_S
        # An instance without contact to a running fleet knows no owner either.
        and 2 * fleet.reachable_instances > len(fleet.instance_cores)
    )
    is_small = all(cores < SMALL_CORES for cores in fleet.instance_cores)
    has_idle = len(fleet.instance_cores) > len(fleet.servers_by_rack) > 0
    if not (is_starting and is_small and has_idle):
        return None
    pool_counts = {
        rack: count_pools(servers)
        for rack, servers in fleet.servers_by_rack.items()
        if SEPARATOR not in rack  # its pools' names could equal another rack's
    }
    return {rack: count for rack, count in sorted(pool_counts.items()) if count > 1}


def may_claim(balances_pools: bool, splits: Splits | None, listed_s: float | None) -> bool:
    """Return whether an instance may claim pools, whose names depend on the record.

    Parameters
    ----------
    balances_pools : bool
        Whether the instance is small; others do not wait.
    splits : Mapping or None
        The record, None while it is unknown or absent.
    listed_s : float or None
        Seconds since the list of servers became known, None if it is unknown.
    """
    if not balances_pools or splits is not None:
        return True
    return listed_s is not None and listed_s >= RECORD_WAIT_S


def pool_of(rack: str, server_id: str, splits: Splits) -> str:
    """Return the pool of a server of a rack."""
    count = splits.get(rack, 1)
    if count <= 1:
        return rack
    return f"{rack}{SEPARATOR}{xxhash.xxh3_64_intdigest(server_id.encode()) % count}"


def rack_of(pool: str) -> str:
    """Return the name of the rack that a pool is, or was split from."""
    rack, _, number = pool.rpartition(SEPARATOR)
    return rack if rack and number.isdecimal() else pool


def is_current(pool: str, splits: Splits) -> bool:
    """Return whether servers can belong to a pool of this name."""
    if splits.get(pool, 1) > 1:
        return False  # the name of a split rack
    rack = rack_of(pool)
    if rack == pool or SEPARATOR in rack:
        return True
    return int(pool.rpartition(SEPARATOR)[2]) < splits.get(rack, 1) > 1
