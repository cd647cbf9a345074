import unittest

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages
from rosedyke.job import answer, code
from rosedyke.standins import fleet

POOL = "scale/0"


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
        part.holder.on_grants(to.owner, messages.Grants(POOL, ballot, (grant,), sent_at=0.15))
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
        grant = messages.Grant(number, 0, "s1")
        part.holder.on_grants(to.owner, messages.Grants(POOL, older, (grant,), sent_at=0.2))
        self.assertEqual(to.held, {})
        self.assertFalse(running.is_closed)


class Configurations(unittest.TestCase):
    def test_grant_of_a_server_that_this_instance_does_not_know_yet(self):
        # The owner has a newer configuration.  The task must neither be marked as sent nor the
        # slot stay taken; it runs on another slot.
        world, part = lone_world()
        running = world.submit("a", fleet.make_request("j", 1))
        find, part.holder.sender._find = part.holder.sender._find, lambda to, name: None
        world.runtime.run(0.2)
        self.assertEqual(running.ran(), answer.Ran.NO)
        part.holder.sender._find = find
        world.runtime.run(1.0)
        self.assertTrue(running.answer.is_complete)
        self.assertEqual(part.owner.owned[POOL].pool.leases, {})

    def test_removed_service_ends_what_waits_and_leaves_no_task_behind(self):
        # No owner answers for a pool that is no longer declared.
        world, part = lone_world()
        running = world.submit("a", fleet.make_request("j", 9))
        world.runtime.run(0.15)
        world.current.configuration = intent.Configuration(2, ())
        for callback in world.current.callbacks:
            callback(world.current.configuration)
        world.runtime.run(2.0)
        self.assertEqual(running.answer.code, code.Code.NO_SERVER)
        self.assertFalse(part.holder.links[POOL].is_flushing)


class Leaving(unittest.TestCase):
    def test_server_gets_nothing_after_its_word_and_is_used_when_it_is_back(self):
        world = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1"})
        world.submit("a", fleet.make_request("j", 30))
        world.runtime.run(0.25)
        world.gateway.servers["s1"].is_leaving = True
        world.runtime.run(1.0)
        late = [at for at, name, _, _ in world.gateway.started if name == "s1" and at > 0.25]
        self.assertEqual(late, [])
        self.assertLessEqual(world.gateway.refused, 2)  # its results said it, but for two
        world.gateway.servers["s1"].is_leaving = False
        world.runtime.run(6.0)
        world.submit("a", fleet.make_request("k", 8))
        world.runtime.run(8.0)
        self.assertIn("s1", {name for at, name, _, _ in world.gateway.started if at > 6.0})


class Owner(unittest.TestCase):
    def test_request_of_a_dead_member_is_not_taken_in(self):
        # Its message is read after its death was seen.  A grant for it would reach nobody.
        world = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1", "b": "dc1"})
        world.runtime.run(0.1)
        owner = next(n for n in world.nodes if world.nodes[n].dispatcher.owner.owned)
        dead = "a" if owner == "b" else "b"
        world.kill(dead)
        told = messages.Exchange(POOL, None, (messages.SlotRequest(1, (), 9.0),))
        reply = world.nodes[owner].dispatcher.owner.on_exchange(world.nodes[dead].peers.own, told)
        self.assertIsNone(reply.ballot)
