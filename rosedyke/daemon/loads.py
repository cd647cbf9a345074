"""What this instance knows about the use of backend servers: those of the pools that it owns."""

from rosedyke.dispatch import dispatcher


class OwnerLoads:
    """Implements ``operator.ServerLoads``.

    Parameters
    ----------
    fleet : FleetDispatcher
        Owns some of the region's pools.
    """

    def __init__(self, fleet: dispatcher.FleetDispatcher):
        self.fleet = fleet

    def in_use(self, server_name: str) -> int | None:
        """Return the granted slots of a server, None if another instance grants them."""
        server = self._find(server_name)
        return None if server is None else len(server.leases) + server.orphans

    def state(self, server_name: str) -> str:
        """Return ``ok``, ``leaving``, ``ejected`` or ``unknown``."""
        server = self._find(server_name)
        if server is None:
            return "unknown"
        if server.is_leaving:
            return "leaving"
        return "ejected" if server.health.is_suspended(self.fleet.runtime.now()) else "ok"

    def _find(self, server_name):
        # A pool that has gone to another owner is kept here for a while.
        owner = self.fleet.owner
        for owned in owner.owned.values():
            server = owned.pool.servers.get(server_name)
            if server is not None:
                return server if owner.is_owner(owned.shard) else None
        return None
