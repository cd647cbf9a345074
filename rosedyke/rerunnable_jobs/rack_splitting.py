"""Proposes the numbers of pools of the racks when a fleet of small instances starts."""

import collections

from rosedyke.rerunnable_jobs import ports
from rosedyke.scheduling import pool_split


class RackSplitting:
    """Observes the lists of servers and instances of one node.

    Parameters
    ----------
    node : Node
        Whose lists they are.

    Attributes
    ----------
    lists : tuple or None
        The last observed servers by rack and instances.
    known_since : float or None
        Since when both lists are known, None while one is not.
    changed_at : float
        When the last ones were first observed.
    """

    def __init__(self, node):
        self.node = node
        self.lists: tuple | None = None
        self.known_since: float | None = None
        self.changed_at = node.runtime.now()

    def proposal(self) -> pool_split.Splits | None:
        """Return the record that this instance is to create now, None if it is not to.

        To be called several times a second while the record is known to be absent, because each
        call observes the lists.
        """
        now = self.node.runtime.now()
        racks = frozenset(
            (ports.rack_of(server), server.id) for server in self.node.registry.servers()
        )
        others = self.node.fleet.instances()
        instances = frozenset((self.node.this_instance, *others.values()))
        if self.lists != (racks, instances):
            self.lists, self.changed_at = (racks, instances), now
        if self.known_since is None and racks and self.node.fleet.directory.instances():
            self.known_since = now
        listed_s = self.node.takeovers.listed_s()
        if listed_s is None or self.known_since is None or not self.node.timing.balances_pools:
            return None
        if self.node.takeovers.is_suspended or not self.node.is_store_reader():
            return None
        return pool_split.choose_splits(
            pool_split.StartingFleet(
                collections.Counter(rack for rack, _ in racks),
                tuple(instance.cores for instance in instances),
                1 + sum(self.node.fleet.is_alive(name) for name in others),
                len(self.node.fleet.owners),
                listed_s,
                now - self.known_since,
                now - self.changed_at,
            )
        )
