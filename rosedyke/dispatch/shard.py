"""Which pools a service has, and who owns each.

Servers are split by a hash of their names, so that a change of one server moves no other between
shards as long as the number of shards stays the same.
"""

import attrs
import xxhash

from rosedyke.configuration import intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.membership import member


@attrs.frozen
class Shard:
    """One pool's part of a service.

    Attributes
    ----------
    key : str
        ``service/data centre/number``; decides the owner.
    service : str
        The service's name.
    data_centre : str
        Where its servers and its owner are.
    servers : tuple of BackendServer
        In name order.
    """

    key: str
    service: str
    data_centre: str
    servers: tuple[intent.BackendServer, ...]

    @property
    def slots(self) -> int:
        """Slots of all its servers."""
        return sum(server.slots for server in self.servers)


def shards_of(service: intent.Service, shard_servers: int) -> tuple[Shard, ...]:
    """Return a service's pools over all data centres, in order of their keys."""
    by_data_centre: dict[str, list[intent.BackendServer]] = {}
    for server in service.servers:
        by_data_centre.setdefault(server.data_centre, []).append(server)
    shards = []
    for data_centre, servers in sorted(by_data_centre.items()):
        count = -(-len(servers) // shard_servers)
        split: dict[int, list[intent.BackendServer]] = {}
        for server in sorted(servers, key=lambda server: server.name):
            split.setdefault(xxhash.xxh3_64_intdigest(server.name.encode()) % count, []).append(
                server
            )
        for number, part in sorted(split.items()):
            key = f"{service.name}/{data_centre}/{number}"
            shards.append(Shard(key, service.name, data_centre, tuple(part)))
    return tuple(shards)


def share_of(target: Shard, total: int, pools: tuple[Shard, ...]) -> int:
    """Return a pool's whole share of a limit; the shares of all pools add up to it."""
    slots = sum(one.slots for one in pools)
    shares = {one.key: total * one.slots // slots for one in pools}
    left = total - sum(shares.values())
    by_remainder = sorted(pools, key=lambda one: (-(total * one.slots % slots), one.key))
    for one in by_remainder[:left]:
        shares[one.key] += 1
    return shares[target.key]


class Catalogue:
    """The pools of the configuration in force, worked out once for each generation.

    Parameters
    ----------
    current : Current
        The configuration.
    shard_servers : int
        The most servers of one pool.
    """

    def __init__(self, current: configuration_ports.Current, shard_servers: int):
        self.current = current
        self.shard_servers = shard_servers
        self.generation = 0
        self.by_service: dict[str, tuple[Shard, ...]] = {}

    def of(self, service: intent.Service) -> tuple[Shard, ...]:
        """Return a service's pools."""
        generation = self.current.configuration.generation
        if generation != self.generation:
            self.generation = generation
            self.by_service = {}
        found = self.by_service.get(service.name)
        if found is None:
            found = self.by_service[service.name] = shards_of(service, self.shard_servers)
        return found

    def limit(self, target: Shard) -> int | None:
        """Return how many tasks a pool may run at one time, None for as many as its slots.

        A limit over several pools is split by their slots once for each generation.  So it is
        held exactly without any message; what one pool leaves unused, another can't use.
        """
        configuration = self.current.configuration
        service = configuration.service(target.service)
        team = configuration.team(service.team)
        limits = []
        if service.limits.concurrency:
            limits.append(share_of(target, service.limits.concurrency, self.of(service)))
        if team is not None and team.quota:
            pools = tuple(one for every in team.services for one in self.of(every))
            limits.append(share_of(target, team.quota, pools))
        return min(limits) if limits else None

    def find(self, key: str) -> Shard | None:
        """Return the pool of that key."""
        configuration = self.current.configuration
        service = configuration and configuration.service(key.split("/", 1)[0])
        if service is None:
            return None
        return next((one for one in self.of(service) if one.key == key), None)


def owner_of(key: str, data_centre: str, view: member.View) -> member.Member | None:
    """Return the serving instance that owns a pool."""
    ranked = view.ranked(key, data_centre)
    return ranked[0] if ranked else None
