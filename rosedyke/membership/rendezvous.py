"""Rendezvous (highest random weight) hashing: which member is responsible for a key.

Every instance computes the same order from the same names.  When a member is removed, only its
own keys move.
"""

import math
from collections.abc import Iterable, Mapping

import xxhash

HASH_RANGE = 1 << 64


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` ordered by their weight for ``key``, the responsible name first."""
    return sorted(names, key=lambda name: (_weight(name, key), name))


def rank_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return names ordered for ``key``, each first for a share of keys proportional to its weight.

    Parameters
    ----------
    weights : mapping of str to float
        Positive, by name.
    """
    return sorted(weights, key=lambda name: (weighted_score(key, name, weights[name]), name))


def weighted_score(key: str, name: str, weight: float) -> float:
    """Return the score by which ``rank_weighted`` orders names, the lowest first."""
    return -math.log((_weight(name, key) + 1) / (HASH_RANGE + 1)) / weight


def _weight(name, key):
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
