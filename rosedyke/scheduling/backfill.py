"""Keeps servers for urgent tasks that fit on none of them now.

Load: urgent tasks that need more than half of a server arrive at a full pool.  Each run that ends
frees a piece of a server.  Without this, smaller and less urgent tasks take every piece
(backfilling), and the large task waits until two runs on one server happen to end together.
"""

from collections.abc import Iterable, Sequence

import attrs

# Largest share of a pool's servers that is kept, so that other priorities always make progress.
MAX_KEPT_SHARE = 0.5


@attrs.frozen
class ServerCapacity:
    """The free capacity of a server and the runs that will free more.

    Attributes
    ----------
    server_id : str
        Its id.
    free_millicores : int
        Capacity that is free now.
    runs : tuple of (float, int)
        Expected end, in seconds, and millicores of each run.
    """

    server_id: str
    free_millicores: int
    runs: tuple[tuple[float, int], ...]

    def available_at(self, millicores: int) -> float:
        """Return when a task of a size is expected to fit, infinity if never."""
        free = self.free_millicores
        end_at = 0.0
        for end_at, freed in sorted(self.runs):
            free += freed
            if free >= millicores:
                return end_at
        return float("inf")


def servers_to_keep(
    servers: Iterable[ServerCapacity], blocked: Sequence[int], kept: frozenset[str], pool_size: int
) -> frozenset[str]:
    """Return the servers whose capacity less urgent tasks must not use.

    Each task gets the server on which it is expected to fit first.

    Parameters
    ----------
    blocked : sequence of int
        Millicores of each urgent task that fits on no server now, most urgent first.
    kept : frozenset of str
        Servers that are kept for more urgent tasks.
    pool_size : int
        Number of servers of the pool.
    """
    candidates = [server for server in servers if server.server_id not in kept]
    limit = int(MAX_KEPT_SHARE * pool_size)
    result = set(kept)
    for millicores in blocked:
        if len(result) >= limit or not candidates:
            break
        best = min(candidates, key=lambda server: server.available_at(millicores))
        if best.available_at(millicores) == float("inf"):
            continue
        candidates.remove(best)
        result.add(best.server_id)
    return frozenset(result)
