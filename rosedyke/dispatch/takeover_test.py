"""Tests that no server exceeds its slots when owners and holders join, crash or are paused."""

import random
import unittest

import attrs

from rosedyke.dispatch import messages
from rosedyke.job import answer, code
from rosedyke.membership import member, rendezvous
from rosedyke.standins import fleet

POOL = "scale/0"


def owner_name(cluster):
    node = next(iter(cluster.nodes.values()))
    return node.dispatcher.shard_map.owner(POOL, node.membership).name


def busy_cluster(
    instances=("a", "b", "c"), seed=0, shuffle=False, run_time_s=None, interval_s=0.1, count=60
):
    """Return a cluster in which every instance holds slots and jobs keep arriving."""
    cluster = fleet.Fleet(
        fleet.make_service({"s1": 2, "s2": 3}),
        {name: "dc1" for name in instances},
        run_time_s or (lambda server, call: 0.05 + 0.5 * random.Random(f"{call}").random()),
        seed=seed,
        shuffle=shuffle,
    )
    cluster.gateway.connect_s = 0.08
    jobs = []
    random_source = random.Random(seed)

    def submit_jobs():
        for number in range(count):
            name = random_source.choice(
                [candidate for candidate in instances if not cluster.nodes[candidate].peers.is_down]
            )
            request = fleet.make_request(f"j{number}-{name}", random_source.randint(1, 4))
            jobs.append(cluster.submit(name, request))
            cluster.runtime.sleep(interval_s)

    cluster.runtime.spawn(submit_jobs)
    cluster.runtime.run(1.0)
    return cluster, jobs


def kill(cluster, name):
    """Kill an instance; the others detect it after half a second."""
    cluster.kill(name, detected=False)
    cluster.runtime.run(cluster.runtime.now() + 0.5)
    cluster.publish_view()


def slots_held(cluster, name):
    pool_sessions = cluster.nodes[name].dispatcher.holder.sessions
    return sum(len(session.held) for session in pool_sessions.values())


def jobs_of_others(jobs, killed):
    return [submitted for submitted in jobs if not submitted.request.job_id.endswith(f"-{killed}")]


class SlotInvariantTest(unittest.TestCase):
    def check(self, cluster, jobs=()):
        self.assertEqual(cluster.gateway.excess, 0)
        self.assertLessEqual(set(cluster.gateway.starts.values()), {1})
        for active_job in jobs:
            self.assertEqual(active_job.answer.code, code.Code.COMPLETE)
        if jobs:
            self.check_idle(cluster)

    def check_idle(self, cluster):
        """Check that no slot is in use after the last job."""
        for node in cluster.nodes.values():
            if node.peers.is_down:
                continue
            for owned in node.dispatcher.owner.owned.values():
                self.assertEqual(owned.pool.leases, {})
                self.assertEqual(sum(server.orphans for server in owned.pool.servers.values()), 0)


class OwnerCrash(SlotInvariantTest):
    def test_jobs_of_other_holders_complete_and_no_slot_is_used_twice(self):
        # The tasks that the killed owner was running are known only to the servers.  The new owner
        # must learn them from there; jobs of other holders are only briefly delayed.
        for seed in range(6):
            cluster, jobs = busy_cluster(seed=seed)
            killed = owner_name(cluster)
            self.assertGreater(sum(slots_held(cluster, name) for name in cluster.nodes), 3)
            kill(cluster, killed)
            cluster.runtime.run(29)
            self.check(cluster, jobs_of_others(jobs, killed))

    def test_slots_of_a_dead_owner_are_reused_when_their_tasks_end(self):
        cluster, jobs = busy_cluster(run_time_s=lambda server, call: 1.0)
        killed = owner_name(cluster)
        kill(cluster, killed)
        cluster.runtime.run(3.5)
        # 5 slots and 1 s per task: within 3.5 s each slot must have started three tasks.
        self.assertGreaterEqual(len(cluster.gateway.started), 15)
        self.check(cluster)


class HolderCrash(SlotInvariantTest):
    def test_slots_of_a_dead_holder_are_not_reused_before_its_tasks_end(self):
        # Tasks of a dead holder continue on the servers, which would be overloaded if the owner
        # granted their slots at once.
        held_count = 0
        for seed in range(6):
            cluster, jobs = busy_cluster(
                seed=seed,
                run_time_s=lambda server, call: 2.0 * random.Random(f"{call}").random(),
                count=20,
            )
            others = [name for name in cluster.nodes if name != owner_name(cluster)]
            killed = max(others, key=lambda name: slots_held(cluster, name))
            held_count += slots_held(cluster, killed)
            kill(cluster, killed)
            cluster.runtime.run(29)
            self.check(cluster, jobs_of_others(jobs, killed))
        self.assertGreater(held_count, 6)


class OwnerChangeOnJoin(SlotInvariantTest):
    def test_joining_instance_takes_over_the_pool_from_a_live_owner(self):
        # Grants of the old owner may be in transit when the holders accept the new one.
        for seed in range(8):
            cluster, jobs = busy_cluster(("a", "b"), seed=seed, shuffle=True)
            before = owner_name(cluster)
            joiner = next(
                name
                for name in (f"n{number}" for number in range(100))
                if ranks_first(name, cluster)
            )
            cluster.add(joiner, "dc1")
            self.assertNotEqual(owner_name(cluster), before)
            cluster.runtime.run(20)
            self.check(cluster, jobs)

    def test_temporarily_different_views_of_the_owner(self):
        # One instance sees the join later and continues to send requests to the old owner.
        for seed in range(4):
            cluster, jobs = busy_cluster(("a", "b", "c"), seed=seed, shuffle=True)
            stale_instance = next(name for name in cluster.nodes if name != owner_name(cluster))
            stale_view = cluster.nodes[stale_instance].membership.view
            joiner = next(f"n{n}" for n in range(100) if ranks_first(f"n{n}", cluster))
            cluster.add(joiner, "dc1")
            cluster.nodes[stale_instance].membership.change(stale_view)
            cluster.runtime.run(0.8)
            cluster.publish_view()
            cluster.runtime.run(20)
            self.check(cluster, jobs)


def ranks_first(name, cluster):
    return rendezvous.rank(POOL, [*cluster.nodes, name])[0] == name


class ProcessPause(SlotInvariantTest):
    def check_pause(self, choose_paused):
        """Pause an instance for two seconds; the others declare it dead, then it returns."""
        for seed in range(4):
            cluster, jobs = busy_cluster(seed=seed, shuffle=True)
            owner = owner_name(cluster)
            paused = choose_paused(cluster, owner)
            others = [name for name in cluster.nodes if name != paused]
            cluster.nodes[paused].runtime.pause()
            cluster.network.partition([paused], others)
            for name in others:
                node = cluster.nodes[name]
                states = {paused: member.State.DEAD}
                node.membership.change(
                    member.View(
                        tuple(
                            attrs.evolve(entry, state=states.get(entry.name, entry.state))
                            for entry in node.membership.view.members
                        )
                    )
                )
            cluster.runtime.run(3.0)
            cluster.network.heal()
            cluster.nodes[paused].runtime.resume()
            cluster.nodes[paused].renew()
            cluster.publish_view()
            self.assertEqual(owner_name(cluster), owner)
            cluster.runtime.run(38)
            self.check(cluster, jobs)

    def test_owner_declared_dead_owns_the_pool_again_after_its_return(self):
        # Another instance took over and granted its slots, so it must discard its old leases.
        self.check_pause(lambda cluster, owner: owner)

    def test_holder_declared_dead_requests_slots_again_after_its_return(self):
        # The owner discarded the requests of the dead incarnation, so without new requests the
        # callers would wait until their deadlines.
        self.check_pause(lambda cluster, owner: next(n for n in cluster.nodes if n != owner))


class DataCentrePartition(SlotInvariantTest):
    def test_each_side_uses_its_own_servers_until_the_partition_heals(self):
        # Instances of two data centres are partitioned, while all servers remain reachable.  Both
        # sides could grant the same slots as long as only one has detected the partition.
        for seed in range(6):
            random_source = random.Random(seed)
            service = fleet.make_service({"s1": 3, "s2": 3})
            remote_server = attrs.evolve(service.servers[1], data_centre="dc2")
            service = attrs.evolve(service, servers=(service.servers[0], remote_server))
            cluster = fleet.Fleet(
                service,
                {"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2"},
                lambda server, call: 0.05 + 0.6 * random.Random(f"{call}").random(),
                seed=seed,
                shuffle=True,
            )
            cluster.gateway.connect_s = 0.05
            jobs = []

            def submit_jobs(cluster=cluster, jobs=jobs, random_source=random_source):
                for number in range(130):
                    request = fleet.make_request(f"j{number}", random_source.randint(1, 3))
                    jobs.append(cluster.submit(random_source.choice("abcd"), request))
                    cluster.runtime.sleep(0.12)

            cluster.runtime.spawn(submit_jobs)
            cluster.runtime.run(2.0)
            # The sides detect the partition and its end at different times, in either order.
            first_side, second_side = ("dc1", "dc2") if seed % 2 else ("dc2", "dc1")
            cluster.isolate("dc2")
            cluster.runtime.run(2.1)
            cluster.detect_partition(first_side, {second_side})
            cluster.runtime.run(6.0)
            cluster.detect_partition(second_side, {first_side})
            cluster.runtime.run(9.0)
            used_during_partition = {name for at, name, _, _ in cluster.gateway.started if at > 8.0}
            self.assertEqual(used_during_partition, {"s1", "s2"})
            cluster.heal()
            cluster.detect_partition(first_side, ())
            cluster.runtime.run(10.0)
            cluster.detect_partition(second_side, ())
            cluster.runtime.run(45)
            self.check(cluster, jobs)
            after_heal = {name for at, name, _, _ in cluster.gateway.started if at > 12.0}
            self.assertEqual(after_heal, {"s1", "s2"})


class ConcurrentOwners(SlotInvariantTest):
    def test_two_instances_that_consider_themselves_the_owner(self):
        # In half of the views "a" is the owner, in the other half "b", and both ask all members
        # for the slots in use.  Ballots must let only one of them grant at a time.
        for seed in range(6):
            cluster, jobs = busy_cluster(
                ("a", "b", "c", "d"), seed=seed, shuffle=True, interval_s=0.17, count=35
            )
            for names, hidden in ((("a", "c"), "b"), (("b", "d"), "a")):
                for name in names:
                    node = cluster.nodes[name]
                    node.membership.change(
                        member.View(
                            tuple(
                                (
                                    attrs.evolve(entry, state=member.State.LEAVING)
                                    if entry.name in (hidden, "c", "d")
                                    else entry
                                )
                                for entry in node.membership.view.members
                            )
                        )
                    )
            cluster.runtime.run(2.5)
            cluster.publish_view()
            cluster.runtime.run(25)
            self.check(cluster, jobs)


class LostMessages(SlotInvariantTest):
    def test_lost_grants_are_reclaimed_and_granted_again(self):
        # Without the lease audit, a lost grant would block its task and slot until the deadline.
        cluster = fleet.Fleet(fleet.make_service({"s1": 4}), {"a": "dc1", "b": "dc1"})
        sent = []

        def delay_s(source, target, sent_message):
            if isinstance(sent_message, messages.Grants):
                sent.append(sent_message)
                return None if len(sent) % 2 == 1 else 0.0005
            return 0.0005

        cluster.network.delay_s = delay_s
        jobs = [cluster.submit(name, fleet.make_request(f"j-{name}", 100)) for name in "ab"]
        cluster.runtime.run(29)
        self.assertGreater(len(sent), 2)  # at least two were lost
        self.check(cluster, jobs)

    def test_lost_replies_cause_no_duplicate_grants(self):
        for seed in range(4):
            cluster = fleet.Fleet(
                fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1", "b": "dc1"}, seed=seed
            )
            loss_random = random.Random(seed)

            def delay_s(source, target, sent_message, loss_random=loss_random):
                lost = loss_random.random() < 0.2
                return None if lost else 0.0005 + 0.01 * loss_random.random()

            cluster.network.delay_s = delay_s
            jobs = [cluster.submit(name, fleet.make_request(f"j-{name}", 10)) for name in "ab"]
            cluster.runtime.run(29.9)
            self.check(cluster, jobs)

    def test_delayed_grant_is_not_used(self):
        # The slot may have been granted to another holder meanwhile.
        cluster = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1", "b": "dc1"})
        owner = owner_name(cluster)
        other = "b" if owner == "a" else "a"
        delayed_at = []

        def delay_s(source, target, sent_message):
            if isinstance(sent_message, messages.Grants) and len(delayed_at) == 0:
                delayed_at.append(cluster.runtime.now())
                return 1.9
            return 0.0005

        first_job = cluster.submit(owner, fleet.make_request("first", 1))
        cluster.runtime.run(0.05)
        cluster.network.delay_s = delay_s
        second_job = cluster.submit(other, fleet.make_request("second", 1))
        cluster.runtime.run(10)
        self.assertEqual(len(delayed_at), 1)
        self.check(cluster, [first_job, second_job])
        started = [t for t, _, name, _ in cluster.gateway.started if name == "second"]
        self.assertGreater(started[0], delayed_at[0] + 1.9)


class HalfOpenConnections(SlotInvariantTest):
    def test_slots_of_lost_tasks_are_reused_and_their_jobs_fail(self):
        # Tasks sent on half-open connections never start and are never answered.  Their slots and
        # callers must not be blocked until the jobs' deadlines.
        cluster = fleet.Fleet(fleet.make_service({"s1": 3, "s2": 3}), {"a": "dc1", "b": "dc1"})
        cluster.runtime.run(0.1)
        for server in ("s1", "s2"):
            cluster.gateway.servers[server].is_half_open = True
        lost = [cluster.submit(name, fleet.make_request(f"lost-{name}", 3)) for name in "ab"]
        cluster.runtime.run(0.2)
        for server in ("s1", "s2"):
            cluster.gateway.servers[server].is_half_open = False
        next_job = cluster.submit("a", fleet.make_request("after", 6))
        cluster.runtime.run(6.0)
        self.check(cluster)
        self.assertTrue(next_job.answer.is_complete)
        for active_job in lost:
            self.assertEqual(active_job.answer.code, code.Code.SERVER_LOST)
            self.assertEqual(active_job.answer.ran, answer.Ran.UNKNOWN)

    def test_running_straggler_keeps_its_slot(self):
        cluster = fleet.Fleet(
            fleet.make_service({"s1": 2}),
            {"a": "dc1"},
            lambda server, call: 6.0 if call.job_id == "slow" else 0.1,
        )
        slow = cluster.submit("a", fleet.make_request("slow", 1))
        others = [cluster.submit("a", fleet.make_request(f"j{n}", 20)) for n in range(2)]
        cluster.runtime.run(20)
        self.check(cluster, [slow, *others])


class UnansweredTask(SlotInvariantTest):
    def test_slot_of_an_unanswered_task_is_reused_after_the_task_ends(self):
        # The task continues after its job timed out, so its slot must not be reused before then.
        cluster = fleet.Fleet(
            fleet.make_service({"s1": 1}),
            {"a": "dc1"},
            lambda server, call: 3.0 if call.job_id == "slow" else 0.1,
        )
        slow = cluster.submit("a", fleet.make_request("slow", 1, timeout_s=1.0))
        cluster.runtime.run(1.1)
        next_job = cluster.submit("a", fleet.make_request("after", 1))
        cluster.runtime.run(20)
        self.assertEqual(slow.answer.ran, answer.Ran.UNKNOWN)
        self.check(cluster, [next_job])
        started = [t for t, _, name, _ in cluster.gateway.started if name == "after"]
        self.assertGreater(started[0], 3.0)
        self.assertLess(started[0], 6.0)
