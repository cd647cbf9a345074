"""Index of the backend servers by pool and service.

The list is read many times a second and has thousands of entries but rarely changes, so the index
is rebuilt only after a change.
"""

from rosedyke.rerunnable_jobs import ports
from rosedyke.scheduling import pool_split


class PoolIndex:
    """An index of the listed servers.

    Parameters
    ----------
    registry : ServerRegistry
        Returns the same tuple until the list changes.

    Attributes
    ----------
    splits : Mapping of str to int
        The number of pools of each split rack by which all servers are indexed.
    """

    def __init__(self, registry: ports.ServerRegistry):
        self.registry = registry
        self.indexed_servers: tuple[ports.Server, ...] | None = None
        self.splits = pool_split.NO_SPLITS
        self.by_pool: dict[str, list[ports.Server]] = {}
        self.pool_names: frozenset[str] = frozenset()
        self.by_service: dict[str, frozenset[str]] = {}
        self.evacuated_services: frozenset[str] = frozenset()

    def is_current(self, pool: str) -> bool:
        """Return whether servers can belong to a pool of this name, now that racks are split."""
        self._refresh()
        # The name of a rack may look like a part of another one.
        return pool in self.by_pool or pool_split.is_current(pool, self.splits)

    def may_share_servers(self, pool: str, other: str) -> bool:
        """Return whether an owner of ``other`` may have used servers of a pool.

        It has done so under the same name, or under one from before the rack was split.
        """
        is_same_rack = pool_split.rack_of(pool) == pool_split.rack_of(other)
        return pool == other or (is_same_rack and not self.is_current(other))

    def names(self) -> frozenset[str]:
        """Return all pools that have servers; the same object until the list changes."""
        self._refresh()
        return self.pool_names

    def servers(self, pool: str) -> list[ports.Server]:
        """Return the servers of a pool."""
        self._refresh()
        return self.by_pool.get(pool, [])

    def of_service(self, service: str) -> frozenset[str]:
        """Return the pools that have servers of a service that accept new tasks."""
        self._refresh()
        return self.by_service.get(service, frozenset())

    def is_evacuated(self, service: str) -> bool:
        """Return whether all servers of a service are in data centres that are being evacuated."""
        self._refresh()
        return service in self.evacuated_services and service not in self.by_service

    def _refresh(self):
        servers = self.registry.servers()
        splits = self.registry.pool_splits() or pool_split.NO_SPLITS
        if servers is self.indexed_servers and splits is self.splits:
            return
        self.indexed_servers, self.splits, self.by_pool = servers, splits, {}
        pools_by_service: dict[str, set[str]] = {}
        for server in servers:
            pool = ports.pool_of(server, splits)
            self.by_pool.setdefault(pool, []).append(server)
            if not server.is_draining and not server.is_evacuated:
                pools_by_service.setdefault(server.service, set()).add(pool)
        self.pool_names = frozenset(self.by_pool)
        self.by_service = {name: frozenset(pools) for name, pools in pools_by_service.items()}
        self.evacuated_services = frozenset(
            server.service for server in servers if server.is_evacuated
        )
