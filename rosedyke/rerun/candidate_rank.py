"""The own place among the candidates for each pool, worked out only when the fleet has changed.

Every instance looks at every pool many times a second.  Ranking all instances each time would make
an idle instance's cost grow with the product of instances and pools.
"""

import attrs

from rosedyke.rerun import election, fleet_view, messages, ports


@attrs.frozen
class Place:
    """Where this instance stands among the candidates for a pool.

    Attributes
    ----------
    rank : int
        How many live candidates come before it.
    near : int
        How many live candidates are in the pool's own data centre, this one included.
    """

    rank: int
    near: int


class Rankings:
    """Ranks this instance among those that are alive.

    Parameters
    ----------
    known : Fleet
        The instances.

    Attributes
    ----------
    orders : dict of str to list of Instance
        All known instances for each pool, alive or not, the first candidate first.
    places : dict of (str, str) to Place
        By pool and the name of the instance that is left out.
    """

    def __init__(self, known: fleet_view.Fleet):
        self.fleet = known
        self.instances: dict[str, messages.Instance] = {}
        self.alive: frozenset[str] = frozenset()
        self.orders: dict[str, list[messages.Instance]] = {}
        self.places: dict[tuple[str, str], Place] = {}

    def place(self, pool: str, silent: str = "") -> Place:
        """Return the own place for a pool.

        Parameters
        ----------
        silent : str
            Name of an instance that doesn't count, though it may have been heard lately.
        """
        self._refresh()
        key = (pool, silent)
        found = self.places.get(key)
        if found is None:
            found = self.places[key] = self._place(pool, silent)
        return found

    def _refresh(self):
        instances, alive = self.fleet.instances(), self.fleet.alive()
        if instances is not self.instances:
            self.instances = instances
            self.orders.clear()
            self.places.clear()
        if alive is not self.alive:
            self.alive = alive
            self.places.clear()

    def _place(self, pool, silent):
        own, data_centre = self.fleet.own, ports.data_centre_of(pool)
        if pool not in self.orders:
            everybody = [*self.instances.values(), own]
            self.orders[pool] = election.order(pool, data_centre, everybody)
        live = [
            each
            for each in self.orders[pool]
            if each is own or (each.name in self.alive and each.name != silent)
        ]
        near = sum(each.data_centre == data_centre for each in live)
        return Place(live.index(own), near)
