"""Rendezvous (highest random weight) hashing: who is responsible for a key.

Every instance computes the same order from the same names; when a member goes, only its own
keys move.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` ordered by their weight for ``key``, the responsible one first."""
    return sorted(names, key=lambda name: (_weight(name, key), name))


def _weight(name, key):
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())
