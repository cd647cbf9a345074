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
    def test_duplicate_grant_is_used_once_and_not_released(self):
        # A grant repeated after a lost reply must not release the slot of its running task.
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
        cluster.gateway.servers["s1"].running = 2  # so that the owner grants nothing
        dispatcher.owner.owned[POOL].pool.servers["s1"].add_orphans(2, 1e9)
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


class ConfigurationChanges(unittest.TestCase):
    def test_grant_of_a_server_missing_from_the_configuration(self):
        # The owner may have a newer configuration.  The slot must be released and the task requeued
        # without being marked as sent.
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

    def test_removed_service_fails_waiting_jobs_and_stops_flushing(self):
        # A removed pool has no owner, so its updates would be retried forever.
        cluster, dispatcher = one_instance_cluster()
        active_job = cluster.submit("a", fleet.make_request("j", 9))
        cluster.runtime.run(0.15)
        cluster.current.configuration = intent.Configuration(2, ())
        for callback in cluster.current.callbacks:
            callback(cluster.current.configuration)
        cluster.runtime.run(2.0)
        self.assertEqual(active_job.answer.code, code.Code.NO_SERVER)
        self.assertFalse(dispatcher.holder.sessions[POOL].is_flushing)


class LeavingServers(unittest.TestCase):
    def test_leaving_server_gets_no_tasks_until_it_returns(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1"})
        cluster.submit("a", fleet.make_request("j", 30))
        cluster.runtime.run(0.25)
        cluster.gateway.servers["s1"].is_leaving = True
        cluster.runtime.run(1.0)
        starts_while_leaving = [
            start_s
            for start_s, name, _, _ in cluster.gateway.started
            if name == "s1" and start_s > 0.25
        ]
        self.assertEqual(starts_while_leaving, [])
        self.assertLessEqual(cluster.gateway.refused, 2)  # before the first result reported it
        cluster.gateway.servers["s1"].is_leaving = False
        cluster.runtime.run(6.0)
        cluster.submit("a", fleet.make_request("k", 8))
        cluster.runtime.run(8.0)
        self.assertIn(
            "s1", {name for start_s, name, _, _ in cluster.gateway.started if start_s > 6.0}
        )


class Owner(unittest.TestCase):
    def test_request_of_a_dead_member_is_refused(self):
        # A message can arrive after its sender was declared dead; a grant would block the slot.
        cluster = fleet.Fleet(fleet.make_service({"s1": 2}), {"a": "dc1", "b": "dc1"})
        cluster.runtime.run(0.1)
        owner_name = next(
            name for name in cluster.nodes if cluster.nodes[name].dispatcher.owner.owned
        )
        dead_name = "a" if owner_name == "b" else "b"
        cluster.kill(dead_name)
        exchange = messages.Exchange(POOL, None, (messages.SlotRequest(1, (), 9.0),))
        reply = cluster.nodes[owner_name].dispatcher.owner.handle_exchange(
            cluster.nodes[dead_name].peers.own, exchange
        )
        self.assertIsNone(reply.ballot)
