"""Caches this instance's rank among the candidates for each pool.

Every instance checks every pool many times a second.  Without the cache the cost of an idle
instance would grow with the product of instances and pools.
"""

import array
import bisect

import attrs

from rosedyke.rerunnable_jobs import election, fleet_view, messages, ports

# Ranks are counted up to this number, which exceeds the number of instances that renew with an
# owner or wait for their turn to replace it.
MAX_RANK = 12


@attrs.define
class CandidateList:
    """The known instances, alive or not, in the order in which they may take a pool.

    Two flat lists, because a large fleet has a hundred thousand pairs of an instance and a pool.

    Attributes
    ----------
    scores : array of float
        Lowest first; equal scores are as unlikely as equal hashes.
    names : list of str
        Names of the instances with these scores.
    """

    scores: array.array = attrs.Factory(lambda: array.array("d"))
    names: list[str] = attrs.Factory(list)

    def insert(self, score: float, name: str) -> None:
        """Insert an instance."""
        index = bisect.bisect(self.scores, score)
        self.scores.insert(index, score)
        self.names.insert(index, name)

    def remove(self, name: str) -> None:
        """Remove an instance if it is contained."""
        if name in self.names:
            index = self.names.index(name)
            del self.scores[index], self.names[index]


class RankCache:
    """Ranks this instance among the alive instances; updated when the fleet changes.

    Parameters
    ----------
    view : FleetView
        The known instances.

    Attributes
    ----------
    candidates : dict of str to CandidateList
        By pool: the instances that this one is ranked among.
    ranks : dict of (str, str) to int
        By pool and the name of the excluded instance.  A new object after each change of the fleet.
    """

    def __init__(self, view: fleet_view.FleetView):
        self.fleet = view
        self.instances: dict[str, messages.Instance] = {}
        self.alive: frozenset[str] = frozenset()
        self.candidates: dict[str, CandidateList] = {}
        self.ranks: dict[tuple[str, str], int] = {}

    def rank_for(self, pool: str, excluded: str = "") -> int:
        """Return the number of alive candidates before this instance, at most ``MAX_RANK``.

        Counts the instances of the pool's data centre if this instance is in it, otherwise the
        instances of all other data centres.

        Parameters
        ----------
        excluded : str
            Name of an instance to leave out even if it is alive.
        """
        ranks = self.current_ranks()
        key = (pool, excluded)
        rank = ranks.get(key)
        if rank is None:
            rank = ranks[key] = self._compute(pool, excluded)
        return rank

    def current_ranks(self) -> dict[tuple[str, str], int]:
        """Return the cached ranks, the same object until the fleet changes."""
        instances, alive = self.fleet.instances(), self.fleet.alive()
        if instances is not self.instances:
            self._update_candidates(instances)
            self.ranks = {}
        if alive is not self.alive:
            self.alive = alive
            self.ranks = {}
        return self.ranks

    def _update_candidates(self, instances):
        """Apply the difference only: hashing all instances for all pools takes long."""
        previous, self.instances = self.instances, instances
        removed = [name for name, instance in previous.items() if instances.get(name) != instance]
        added = [instance for name, instance in instances.items() if previous.get(name) != instance]
        for pool, candidates in self.candidates.items():
            for name in removed:
                candidates.remove(name)
            self._insert(pool, candidates, added)

    def _insert(self, pool, candidates, instances):
        """Insert those instances that this one is ranked among."""
        data_centre = ports.data_centre_of(pool)
        is_local = self.fleet.this_instance.data_centre == data_centre
        for instance in instances:
            if (instance.data_centre == data_centre) == is_local:
                candidates.insert(election.score(pool, instance), instance.name)

    def _compute(self, pool, excluded):
        candidates = self.candidates.get(pool)
        if candidates is None:
            candidates = self.candidates[pool] = CandidateList()
            self._insert(pool, candidates, (*self.instances.values(), self.fleet.this_instance))
        rank = 0
        for name in candidates.names:
            if name == self.fleet.this_instance.name or rank == MAX_RANK:
                break
            rank += name in self.alive and name != excluded
        return rank
