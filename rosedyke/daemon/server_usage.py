"""Slot usage and state of backend servers in the pools that this instance owns."""

from rosedyke.dispatch import dispatcher


class OwnedServerUsage:
    """Implements ``operator_api.ServerUsage``.

    Parameters
    ----------
    fleet_dispatcher : FleetDispatcher
        Holds the pools that this instance owns.
    """

    def __init__(self, fleet_dispatcher: dispatcher.FleetDispatcher):
        self.fleet_dispatcher = fleet_dispatcher

    def in_use(self, server_name: str) -> int | None:
        """Return the granted slots of a server, None if another instance grants them."""
        server = self._find_owned_server(server_name)
        return None if server is None else len(server.leases) + server.orphans

    def state(self, server_name: str) -> str:
        """Return ``ok``, ``leaving``, ``ejected`` or ``unknown``."""
        server = self._find_owned_server(server_name)
        if server is None:
            return "unknown"
        if server.is_leaving:
            return "leaving"
        return (
            "ejected" if server.health.is_suspended(self.fleet_dispatcher.runtime.now()) else "ok"
        )

    def _find_owned_server(self, server_name):
        # A pool stays in the table for a while after its ownership has moved.
        owner = self.fleet_dispatcher.owner
        for owned_pool in owner.owned.values():
            server = owned_pool.pool.servers.get(server_name)
            if server is not None:
                return server if owner.is_owner(owned_pool.shard) else None
        return None
