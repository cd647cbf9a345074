import unittest

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import messages
from rosedyke.job import answer, code
from rosedyke.standins import fleet

POOL = "scale/0"


def one_instance_cluster():
    cluster = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1"})
    cluster.runtime.run(0.1)
    return cluster, cluster.nodes["a"].dispatcher


class Grants(unittest.TestCase):
    def test_grant_told_twice_is_used_once_and_not_given_back(self):
        # The answer with a grant was lost and told again while its task already runs.  Giving
        # the slot back as unused would put one task too many on the server.
        cluster, dispatcher = one_instance_cluster()
        cluster.submit("a", fleet.make_request("j", 1))
        cluster.runtime.run(0.15)
        session = dispatcher.holder.sessions[POOL]
        grant = next(iter(session.held.values())).grant
        ballot = dispatcher.owner.owned[POOL].ballot
        dispatcher.holder.handle_grants(
            session.owner, messages.Grants(POOL, ballot, (grant,), sent_at=0.15)
        )
        cluster.runtime.run(0.16)
        self.assertEqual(len(dispatcher.owner.owned[POOL].pool.leases), 1)
        self.assertEqual(len(cluster.gateway.starts), 1)

    def test_grant_of_an_earlier_ballot_is_ignored(self):
        cluster, dispatcher = one_instance_cluster()
        cluster.gateway.servers["s1"].running = 2  # so that nothing is granted by itself
        dispatcher.owner.owned[POOL].pool.servers["s1"].orphan(2, 1e9)
        active_job = cluster.submit("a", fleet.make_request("j", 1))
        cluster.runtime.run(0.2)
        session = dispatcher.holder.sessions[POOL]
        number = next(iter(session.requests))
        older_ballot = attrs.evolve(session.ballot, term=session.ballot.term - 1)
        grant = messages.Grant(number, 0, "s1")
        dispatcher.holder.handle_grants(
            session.owner, messages.Grants(POOL, older_ballot, (grant,), sent_at=0.2)
        )
        self.assertEqual(session.held, {})
        self.assertFalse(active_job.is_closed)


class Configurations(unittest.TestCase):
    def test_grant_of_a_server_that_this_instance_does_not_know_yet(self):
        # The owner has a newer configuration.  The task must neither be marked as sent nor the
        # slot stay taken; it runs on another slot.
        cluster, dispatcher = one_instance_cluster()
        active_job = cluster.submit("a", fleet.make_request("j", 1))
        find_server, dispatcher.holder.sender._find_server = (
            dispatcher.holder.sender._find_server,
            lambda session, name: None,
        )
        cluster.runtime.run(0.2)
        self.assertEqual(active_job.ran(), answer.Ran.NO)
        dispatcher.holder.sender._find_server = find_server
        cluster.runtime.run(1.0)
        self.assertTrue(active_job.answer.is_complete)
        self.assertEqual(dispatcher.owner.owned[POOL].pool.leases, {})

    def test_removed_service_ends_what_waits_and_leaves_no_task_behind(self):
        # No owner answers for a pool that is no longer declared.
        cluster, dispatcher = one_instance_cluster()
        active_job = cluster.submit("a", fleet.make_request("j", 9))
        cluster.runtime.run(0.15)
        cluster.current.configuration = intent.Configuration(2, ())
        for callback in cluster.current.callbacks:
            callback(cluster.current.configuration)
        cluster.runtime.run(2.0)
        self.assertEqual(active_job.answer.code, code.Code.NO_SERVER)
        self.assertFalse(dispatcher.holder.sessions[POOL].is_flushing)


class Leaving(unittest.TestCase):
    def test_server_gets_nothing_after_its_word_and_is_used_when_it_is_back(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1"})
        cluster.submit("a", fleet.make_request("j", 30))
        cluster.runtime.run(0.25)
        cluster.gateway.servers["s1"].is_leaving = True
        cluster.runtime.run(1.0)
        late = [at for at, name, _, _ in cluster.gateway.started if name == "s1" and at > 0.25]
        self.assertEqual(late, [])
        self.assertLessEqual(cluster.gateway.refused, 2)  # its results said it, but for two
        cluster.gateway.servers["s1"].is_leaving = False
        cluster.runtime.run(6.0)
        cluster.submit("a", fleet.make_request("k", 8))
        cluster.runtime.run(8.0)
        self.assertIn("s1", {name for at, name, _, _ in cluster.gateway.started if at > 6.0})


class Owner(unittest.TestCase):
    def test_request_of_a_dead_member_is_not_taken_in(self):
        # Its message is read after its death was seen.  A grant for it would reach nobody.
        cluster = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1", "b": "dc1"})
        cluster.runtime.run(0.1)
        owner = next(n for n in cluster.nodes if cluster.nodes[n].dispatcher.owner.owned)
        dead = "a" if owner == "b" else "b"
        cluster.kill(dead)
        exchange = messages.Exchange(POOL, None, (messages.SlotRequest(1, (), 9.0),))
        reply = cluster.nodes[owner].dispatcher.owner.handle_exchange(
            cluster.nodes[dead].peers.own, exchange
        )
        self.assertIsNone(reply.ballot)
