"""The own place among the candidates for each pool, worked out only when the fleet has changed.

Every instance looks at every pool many times a second.  Ranking all instances each time would make
an idle instance's cost grow with the product of instances and pools.
"""

import attrs

from rosedyke.rerun import election, fleet_view, messages, ports


@attrs.frozen
class CandidateRank:
    """Where this instance stands among the candidates for a pool.

    Attributes
    ----------
    rank : int
        How many live candidates come before it.
    local_count : int
        How many live candidates are in the pool's own data centre, this one included.
    """

    rank: int
    local_count: int


class RankCache:
    """Ranks this instance among those that are alive.

    Parameters
    ----------
    view : Fleet
        The instances.

    Attributes
    ----------
    candidates : dict of str to list of Instance
        All known instances for each pool, alive or not, the first candidate first.
    ranks : dict of (str, str) to Place
        By pool and the name of the instance that is left out.
    """

    def __init__(self, view: fleet_view.FleetView):
        self.fleet = view
        self.instances: dict[str, messages.Instance] = {}
        self.alive: frozenset[str] = frozenset()
        self.candidates: dict[str, list[messages.Instance]] = {}
        self.ranks: dict[tuple[str, str], CandidateRank] = {}

    def rank_for(self, pool: str, excluded: str = "") -> CandidateRank:
        """Return the own place for a pool.

        Parameters
        ----------
        excluded : str
            Name of an instance that doesn't count, though it may have been heard lately.
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
        own, data_centre = self.fleet.own, ports.data_centre_of(pool)
        if pool not in self.candidates:
            everyone = [*self.instances.values(), own]
            self.candidates[pool] = election.rank_candidates(pool, data_centre, everyone)
        alive_candidates = [
            instance
            for instance in self.candidates[pool]
            if instance is own or (instance.name in self.alive and instance.name != excluded)
        ]
        local_count = sum(instance.data_centre == data_centre for instance in alive_candidates)
        return CandidateRank(alive_candidates.index(own), local_count)
