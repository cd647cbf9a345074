"""Which pools a service has, who owns each, and which of its servers can be reached.

A pool spans the region's data centres, so that its owner can put each task on the server that would
finish it first wherever that stands.  Its owner is the first serving instance of the view in
rendezvous order.  When data centres are cut off from each other, each side has an owner of its own
for the servers of the data centres in its reach.

Servers are split by a hash of their names, so that a change of one server moves no other between
shards as long as the number of shards stays the same.
"""

import attrs
import xxhash

from rosedyke.configuration import intent
from rosedyke.configuration import ports as configuration_ports
from rosedyke.membership import member, rendezvous
from rosedyke.membership import ports as membership_ports


@attrs.frozen
class Shard:
    """One pool of a service.

    Attributes
    ----------
    key : str
        ``service/number``; decides the owner.
    service : str
        The service's name.
    servers : tuple of BackendServer
        In name order.
    """

    key: str
    service: str
    servers: tuple[intent.BackendServer, ...]

    @property
    def slots(self) -> int:
        """Slots of all its servers."""
        return sum(server.slots for server in self.servers)

    def reachable_servers(self, data_centres: frozenset[str]) -> tuple[intent.BackendServer, ...]:
        """Return the servers whose data centre is in reach."""
        return tuple(server for server in self.servers if server.data_centre in data_centres)


def reachable_data_centres(membership: membership_ports.Membership) -> frozenset[str]:
    """Return the data centres that have an instance and are not cut off from this one."""
    return frozenset(membership.view.data_centres()) - membership.unreachable_data_centres()


def shards_of(service: intent.Service, shard_servers: int) -> tuple[Shard, ...]:
    """Return a service's pools, in order of their keys."""
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
    """Return a pool's whole share of a limit; the shares of all pools add up to it."""
    slots = sum(other.slots for other in shards)
    shares = {other.key: total * other.slots // slots for other in shards}
    unassigned = total - sum(shares.values())
    by_remainder = sorted(shards, key=lambda other: (-(total * other.slots % slots), other.key))
    for other in by_remainder[:unassigned]:
        shares[other.key] += 1
    return shares[shard.key]


class ShardMap:
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
        self.view: member.View | None = None
        self.unreachable: frozenset[str] = frozenset()
        self.owners: dict[str, member.Member | None] = {}

    def of(self, service: intent.Service) -> tuple[Shard, ...]:
        """Return a service's pools."""
        generation = self.current.configuration.generation
        if generation != self.generation:
            self.generation = generation
            self.by_service = {}
        shards = self.by_service.get(service.name)
        if shards is None:
            shards = self.by_service[service.name] = shards_of(service, self.shard_servers)
        return shards

    def owner(self, key: str, membership: membership_ports.Membership) -> member.Member | None:
        """Return the serving instance in reach that owns a pool.

        Worked out once for each view and reach.
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
        """Return how many tasks a pool may run at one time, None for as many as its slots.

        A limit over several pools is split by their slots, and so is a pool's part between the
        sides of a cut.  So it is held exactly without any message; what one pool leaves unused,
        another can't use.

        Parameters
        ----------
        shard : Shard
            The pool.
        reachable_slots : int
            Slots of its servers that this side reaches.
        """
        configuration = self.current.configuration
        service = configuration.service(shard.service)
        team = configuration.team(service.team)
        limits = []
        if service.limits.concurrency:
            limits.append(share_of(shard, service.limits.concurrency, self.of(service)))
        if team is not None and team.quota:
            shards = tuple(
                shard_of_team for sibling in team.services for shard_of_team in self.of(sibling)
            )
            limits.append(share_of(shard, team.quota, shards))
        return min(limits) * reachable_slots // shard.slots if limits else None

    def find(self, key: str) -> Shard | None:
        """Return the pool of that key."""
        configuration = self.current.configuration
        service = configuration and configuration.service(key.split("/", 1)[0])
        if service is None:
            return None
        return next((shard for shard in self.of(service) if shard.key == key), None)
