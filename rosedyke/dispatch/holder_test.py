import unittest

import attrs

from rosedyke.dispatch import message
from rosedyke.standins import fleet

POOL = "scale/dc1/0"


def lone_world():
    world = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1"})
    world.runtime.run(0.1)
    return world, world.nodes["a"].dispatcher


class Grants(unittest.TestCase):
    def test_grant_told_twice_is_used_once_and_not_given_back(self):
        # The answer with a grant was lost and told again while its task already runs.  Giving
        # the slot back as unused would put one task too many on the server.
        world, part = lone_world()
        world.submit("a", fleet.make_request("j", 1))
        world.runtime.run(0.15)
        to = part.holder.links[POOL]
        grant = next(iter(to.held.values())).grant
        ballot = part.owner.owned[POOL].ballot
        part.holder.on_grants(to.owner, message.Grants(POOL, ballot, (grant,), sent_at=0.15))
        world.runtime.run(0.16)
        self.assertEqual(len(part.owner.owned[POOL].pool.leases), 1)
        self.assertEqual(len(world.gateway.starts), 1)

    def test_grant_of_an_earlier_ballot_is_ignored(self):
        world, part = lone_world()
        world.gateway.servers["s1"].running = 2  # so that nothing is granted by itself
        part.owner.owned[POOL].pool.servers["s1"].orphan(2, 1e9)
        running = world.submit("a", fleet.make_request("j", 1))
        world.runtime.run(0.2)
        to = part.holder.links[POOL]
        number = next(iter(to.requests))
        older = attrs.evolve(to.ballot, term=to.ballot.term - 1)
        grant = message.Grant(number, 0, "s1")
        part.holder.on_grants(to.owner, message.Grants(POOL, older, (grant,), sent_at=0.2))
        self.assertEqual(to.held, {})
        self.assertFalse(running.is_closed)


class Owner(unittest.TestCase):
    def test_request_of_a_dead_member_is_not_taken_in(self):
        # Its message is read after its death was seen.  A grant for it would reach nobody.
        world = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1", "b": "dc1"})
        world.runtime.run(0.1)
        owner = next(n for n in world.nodes if world.nodes[n].dispatcher.owner.owned)
        dead = "a" if owner == "b" else "b"
        world.kill(dead)
        told = message.Exchange(POOL, (message.SlotRequest(1, (), 9.0),))
        reply = world.nodes[owner].dispatcher.owner.on_exchange(world.nodes[dead].peers.own, told)
        self.assertIsNone(reply.ballot)
