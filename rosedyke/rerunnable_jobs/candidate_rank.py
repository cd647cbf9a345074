"""Caches this instance's rank among the candidates for each pool.

Every instance checks every pool many times a second.  Without the cache the cost of an idle
instance would grow with the product of instances and pools.
"""

import bisect

import attrs

from rosedyke.rerunnable_jobs import election, fleet_view, messages, ports

# Ranks are counted up to this number, which exceeds the number of instances that renew with an
# owner or wait for their turn to replace it.
MAX_RANK = 12


@attrs.define
class CandidateList:
    """The known instances, alive or not, in the order in which they may take a pool.

    Attributes
    ----------
    local, remote : list of (tuple, str)
        Sort key and name of the instances in the pool's data centre and in all others.
    """

    local: list[tuple[tuple[float, str], str]] = attrs.Factory(list)
    remote: list[tuple[tuple[float, str], str]] = attrs.Factory(list)


class RankCache:
    """Ranks this instance among the alive instances; updated when the fleet changes.

    Parameters
    ----------
    view : FleetView
        The known instances.

    Attributes
    ----------
    candidates : dict of str to CandidateList
        By pool.
    ranks : dict of (str, str) to int
        By pool and the name of the excluded instance.
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
        self._refresh()
        key = (pool, excluded)
        rank = self.ranks.get(key)
        if rank is None:
            rank = self.ranks[key] = self._compute(pool, excluded)
        return rank

    def _refresh(self):
        instances, alive = self.fleet.instances(), self.fleet.alive()
        if instances is not self.instances:
            self._update_candidates(instances)
            self.ranks.clear()
        if alive is not self.alive:
            self.alive = alive
            self.ranks.clear()

    def _update_candidates(self, instances):
        """Apply the difference only: hashing all instances for all pools takes long."""
        previous, self.instances = self.instances, instances
        removed = {name for name, instance in previous.items() if instances.get(name) != instance}
        added = [instance for name, instance in instances.items() if previous.get(name) != instance]
        for pool, candidates in self.candidates.items():
            if removed:
                candidates.local = [item for item in candidates.local if item[1] not in removed]
                candidates.remote = [item for item in candidates.remote if item[1] not in removed]
            for instance in added:
                self._insert(pool, candidates, instance)

    @staticmethod
    def _insert(pool, candidates, instance):
        is_local = instance.data_centre == ports.data_centre_of(pool)
        group = candidates.local if is_local else candidates.remote
        bisect.insort(group, (election.sort_key(pool, instance), instance.name))

    def _compute(self, pool, excluded):
        candidates = self.candidates.get(pool)
        if candidates is None:
            candidates = self.candidates[pool] = CandidateList()
            for instance in (*self.instances.values(), self.fleet.this_instance):
                self._insert(pool, candidates, instance)
        this_instance = self.fleet.this_instance
        is_local = this_instance.data_centre == ports.data_centre_of(pool)
        rank = 0
        for _, name in candidates.local if is_local else candidates.remote:
            if name == this_instance.name or rank == MAX_RANK:
                break
            rank += name in self.alive and name != excluded
        return rank
