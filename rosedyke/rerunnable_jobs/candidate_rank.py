"""Caches this instance's rank among the candidates for each pool.

Every instance checks every pool many times a second.  Without the cache the cost of an idle
instance would grow with the product of instances and pools.
"""

import attrs

from rosedyke.rerunnable_jobs import election, fleet_view, messages, ports


@attrs.frozen
class CandidateRank:
    """Position of this instance among the candidates for a pool.

    Attributes
    ----------
    rank : int
        Number of alive candidates before this instance.
    local_count : int
        Number of alive candidates in the pool's data centre, possibly including this instance.
    """

    rank: int
    local_count: int


class RankCache:
    """Ranks this instance among the alive instances; recomputed when the fleet changes.

    Parameters
    ----------
    view : FleetView
        The known instances.

    Attributes
    ----------
    candidates : dict of str to list of Instance
        All known instances for each pool, alive or not, best candidate first.
    ranks : dict of (str, str) to CandidateRank
        By pool and the name of the excluded instance.
    """

    def __init__(self, view: fleet_view.FleetView):
        self.fleet = view
        self.instances: dict[str, messages.Instance] = {}
        self.alive: frozenset[str] = frozenset()
        self.candidates: dict[str, list[messages.Instance]] = {}
        self.ranks: dict[tuple[str, str], CandidateRank] = {}

    def rank_for(self, pool: str, excluded: str = "") -> CandidateRank:
        """Return this instance's rank for a pool.

        Parameters
        ----------
        excluded : str
            Name of an instance to leave out even if it is alive.
        """
        self._refresh()
        key = (pool, excluded)
        rank = self.ranks.get(key)
        if rank is None:
            rank = self.ranks[key] = self._compute(pool, excluded)
        return rank

    def _refresh(self):
        instances, alive = self.fleet.instances(), self.fleet.alive()
        if instances is not self.instances:
            self.instances = instances
            self.candidates.clear()
            self.ranks.clear()
        if alive is not self.alive:
            self.alive = alive
            self.ranks.clear()

    def _compute(self, pool, excluded):
        this_instance, data_centre = self.fleet.this_instance, ports.data_centre_of(pool)
        if pool not in self.candidates:
            all_instances = [*self.instances.values(), this_instance]
            self.candidates[pool] = election.rank_candidates(pool, data_centre, all_instances)
        alive_candidates = [
            instance
            for instance in self.candidates[pool]
            if instance is this_instance
            or (instance.name in self.alive and instance.name != excluded)
        ]
        local_count = sum(instance.data_centre == data_centre for instance in alive_candidates)
        return CandidateRank(alive_candidates.index(this_instance), local_count)
