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

    def in_reach(self, reach: frozenset[str]) -> tuple[intent.BackendServer, ...]:
        """Return the servers whose data centre is in reach."""
        return tuple(server for server in self.servers if server.data_centre in reach)


def reach_of(membership: membership_ports.Membership) -> frozenset[str]:
    """Return the data centres that have an instance and are not cut off from this one."""
    return frozenset(membership.view.data_centres()) - membership.unreachable_data_centres()


def shards_of(service: intent.Service, shard_servers: int) -> tuple[Shard, ...]:
    """Return a service's pools, in order of their keys."""
    count = max(1, -(-len(service.servers) // shard_servers))
    split: dict[int, list[intent.BackendServer]] = {}
    for server in sorted(service.servers, key=lambda server: server.name):
        split.setdefault(xxhash.xxh3_64_intdigest(server.name.encode()) % count, []).append(server)
    return tuple(
        Shard(f"{service.name}/{number}", service.name, tuple(part))
        for number, part in sorted(split.items())
    )


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
    current : ConfigurationSource
        The configuration.
    shard_servers : int
        The most servers of one pool.
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
        """Return a service's pools."""
        generation = self.current.configuration.generation
        if generation != self.generation:
            self.generation = generation
            self.by_service = {}
        found = self.by_service.get(service.name)
        if found is None:
            found = self.by_service[service.name] = shards_of(service, self.shard_servers)
        return found

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
                one.name: one
                for one in membership.view.members
                if one.state in member.SERVING_STATES and one.data_centre not in unreachable
            }
            ranked = rendezvous.rank(key, serving)
            self.owners[key] = serving[ranked[0]] if ranked else None
        return self.owners[key]

    def limit(self, target: Shard, reached_slots: int) -> int | None:
        """Return how many tasks a pool may run at one time, None for as many as its slots.

        A limit over several pools is split by their slots, and so is a pool's part between the
        sides of a cut.  So it is held exactly without any message; what one pool leaves unused,
        another can't use.

        Parameters
        ----------
        target : Shard
            The pool.
        reached_slots : int
            Slots of its servers that this side reaches.
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
        return min(limits) * reached_slots // target.slots if limits else None

    def find(self, key: str) -> Shard | None:
        """Return the pool of that key."""
        configuration = self.current.configuration
        service = configuration and configuration.service(key.split("/", 1)[0])
        if service is None:
            return None
        return next((one for one in self.of(service) if one.key == key), None)
