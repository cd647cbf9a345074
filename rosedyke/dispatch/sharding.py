"""Assigns backend servers to pools (shards) and pools to owners.

A pool spans the region's data centres, so that its owner can place each task on the server that
would finish it first.  The owner is the serving instance that ranks first by rendezvous hashing.
In a network partition each side has its own owner for the servers that it can reach.

Servers are assigned to shards by a hash of their names, so that changing one server moves no other
as long as the number of shards stays the same.
"""

import attrs
import xxhash

from rosedyke.configuration import intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.membership import member, rendezvous
from rosedyke.membership import ports as membership_ports


@attrs.frozen
class Shard:
    """The servers of one pool of a service.

    Attributes
    ----------
    key : str
        Pool name, ``service/number``; determines the owner.
    service : str
        The service's name.
    servers : tuple of BackendServer
        Sorted by name.
    """

    key: str
    service: str
    servers: tuple[intent.BackendServer, ...]

    @property
    def slots(self) -> int:
        """Total slots of all servers."""
        return sum(server.slots for server in self.servers)

    def reachable_servers(self, data_centres: frozenset[str]) -> tuple[intent.BackendServer, ...]:
        """Return the servers in the given data centres."""
        return tuple(server for server in self.servers if server.data_centre in data_centres)


def reachable_data_centres(membership: membership_ports.Membership) -> frozenset[str]:
    """Return the data centres that have instances and are reachable from this one."""
    return frozenset(membership.view.data_centres()) - membership.unreachable_data_centres()


def shards_of(service: intent.Service, shard_servers: int) -> tuple[Shard, ...]:
    """Return a service's shards, ordered by number."""
    count = max(1, -(-len(service.servers) // shard_servers))
    servers_by_number: dict[int, list[intent.BackendServer]] = {}
    for server in sorted(service.servers, key=lambda server: server.name):
        servers_by_number.setdefault(
            xxhash.xxh3_64_intdigest(server.name.encode()) % count, []
        ).append(server)
    return tuple(
        Shard(f"{service.name}/{number}", service.name, tuple(assigned))
        for number, assigned in sorted(servers_by_number.items())
    )


def share_of(shard: Shard, total: int, shards: tuple[Shard, ...]) -> int:
    """Return a shard's integer share of a limit; the shares of all shards add up to it."""
    slots = sum(other.slots for other in shards)
    shares = {other.key: total * other.slots // slots for other in shards}
    unassigned = total - sum(shares.values())
    by_remainder = sorted(shards, key=lambda other: (-(total * other.slots % slots), other.key))
    for other in by_remainder[:unassigned]:
        shares[other.key] += 1
    return shares[shard.key]


class ShardMap:
    """The shards of the current configuration and their owners, with caching.

    Parameters
    ----------
    current : ConfigurationSource
        The current configuration.
    shard_servers : int
        Target number of servers in a shard.
    """

    def __init__(self, current: configuration_ports.ConfigurationSource, shard_servers: int):
        self.current = current
        self.shard_servers = shard_servers
        self.generation = 0
        self.by_service: dict[str, tuple[Shard, ...]] = {}
        self.view: member.View | None = None
        self.unreachable: frozenset[str] = frozenset()
        self.owners: dict[str, member.Member | None] = {}

    def of(self, service: intent.Service) -> tuple[Shard, ...]:
        """Return a service's shards."""
        generation = self.current.configuration.generation
        if generation != self.generation:
            self.generation = generation
            self.by_service = {}
        shards = self.by_service.get(service.name)
        if shards is None:
            shards = self.by_service[service.name] = shards_of(service, self.shard_servers)
        return shards

    def owner(self, key: str, membership: membership_ports.Membership) -> member.Member | None:
        """Return the reachable serving instance that owns a pool, None if there is none.

        Cached until the view or the reachable data centres change.
        """
        unreachable = membership.unreachable_data_centres()
        if membership.view is not self.view or unreachable != self.unreachable:
            self.view = membership.view
            self.unreachable = unreachable
            self.owners = {}
        if key not in self.owners:
            serving = {
                candidate.name: candidate
                for candidate in membership.view.members
                if candidate.state in member.SERVING_STATES
                and candidate.data_centre not in unreachable
            }
            ranked = rendezvous.rank(key, serving)
            self.owners[key] = serving[ranked[0]] if ranked else None
        return self.owners[key]

    def concurrency_limit(self, shard: Shard, reachable_slots: int) -> int | None:
        """Return the maximum number of concurrent tasks of a pool, None if only slots limit it.

        A limit over several pools is split in proportion to their slots, and a pool's share
        likewise between the sides of a partition.  So it is enforced without coordination, but
        capacity that one pool leaves unused is not available to another.

        Parameters
        ----------
        shard : Shard
            The pool.
        reachable_slots : int
            Slots of the pool's reachable servers.
        """
        configuration = self.current.configuration
        service = configuration.service(shard.service)
        team = configuration.team(service.team)
        limits = []
        if service.limits.concurrency:
            limits.append(share_of(shard, service.limits.concurrency, self.of(service)))
        if team is not None and team.quota:
            shards = tuple(
                team_shard for sibling in team.services for team_shard in self.of(sibling)
            )
            limits.append(share_of(shard, team.quota, shards))
        return min(limits) * reachable_slots // shard.slots if limits else None

    def find(self, key: str) -> Shard | None:
        """Return the shard with a key, None if it is not in the configuration."""
        configuration = self.current.configuration
        service = configuration and configuration.service(key.split("/", 1)[0])
        if service is None:
            return None
        return next((shard for shard in self.of(service) if shard.key == key), None)
