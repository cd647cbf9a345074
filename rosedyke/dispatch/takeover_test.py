"""Slots stay within every server's limit while owners and holders come, go and stall."""

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
    instances=("a", "b", "c"), seed=0, shuffle=False, run_time_s=None, gap_s=0.1, count=60
):
    """Return a world in which every instance holds slots and more jobs keep coming."""
    cluster = fleet.Fleet(
        fleet.make_service({"s1": 2, "s2": 3}),
        {name: "dc1" for name in instances},
        run_time_s or (lambda server, call: 0.05 + 0.5 * random.Random(f"{call}").random()),
        seed=seed,
        shuffle=shuffle,
    )
    cluster.gateway.connect_s = 0.08
    jobs = []
    source = random.Random(seed)

    def submit_jobs():
        for number in range(count):
            name = source.choice(
                [each for each in instances if not cluster.nodes[each].peers.is_down]
            )
            request = fleet.make_request(f"j{number}-{name}", source.randint(1, 4))
            jobs.append(cluster.submit(name, request))
            cluster.runtime.sleep(gap_s)

    cluster.runtime.spawn(submit_jobs)
    cluster.runtime.run(1.0)
    return cluster, jobs


def kill(cluster, name):
    """Kill an instance; the others see it half a second later."""
    cluster.kill(name, seen=False)
    cluster.runtime.run(cluster.runtime.now() + 0.5)
    cluster.show()


def slots_held(cluster, name):
    links = cluster.nodes[name].dispatcher.holder.sessions
    return sum(len(each.held) for each in links.values())


def jobs_of_others(jobs, killed):
    return [each for each in jobs if not each.request.job_id.endswith(f"-{killed}")]


class Rules(unittest.TestCase):
    def check(self, cluster, jobs=()):
        self.assertEqual(cluster.gateway.excess, 0)
        self.assertLessEqual(set(cluster.gateway.starts.values()), {1})
        for active_job in jobs:
            self.assertEqual(active_job.answer.code, code.Code.COMPLETE)
        if jobs:
            self.check_idle(cluster)

    def check_idle(self, cluster):
        """After the last job no slot may stay taken."""
        for node in cluster.nodes.values():
            if node.peers.is_down:
                continue
            for owned in node.dispatcher.owner.owned.values():
                self.assertEqual(owned.pool.leases, {})
                self.assertEqual(sum(each.orphans for each in owned.pool.servers.values()), 0)


class OwnerDies(Rules):
    def test_jobs_of_the_others_end_whole_and_no_slot_is_used_twice(self):
        # The owner is killed while its own tasks and those of others run.  Nobody knows any more
        # what it had running.  The new owner asks the others and then the servers; callers of
        # the others see only a short wait.
        for seed in range(6):
            cluster, jobs = busy_cluster(seed=seed)
            killed = owner_name(cluster)
            self.assertGreater(sum(slots_held(cluster, name) for name in cluster.nodes), 3)
            kill(cluster, killed)
            cluster.runtime.run(29)
            self.check(cluster, jobs_of_others(jobs, killed))

    def test_slots_of_the_dead_are_used_again_as_soon_as_their_tasks_end(self):
        cluster, jobs = busy_cluster(run_time_s=lambda server, call: 1.0)
        killed = owner_name(cluster)
        kill(cluster, killed)
        cluster.runtime.run(3.5)
        # 5 slots and 1 s a task: within 3.5 s every slot must have begun three times.
        self.assertGreaterEqual(len(cluster.gateway.started), 15)
        self.check(cluster)


class HolderDies(Rules):
    def test_its_slots_are_not_reused_before_its_tasks_end(self):
        # A holder dies; its tasks go on at the servers.  The owner must not take its slots for
        # free, or the servers would get one task too many.
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


class OwnerChangesByJoin(Rules):
    def test_joining_instance_takes_the_pool_over_from_a_living_owner(self):
        # The newcomer ranks first.  The old owner's grants may still be on their way when the
        # holders already obey the new one.
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

    def test_views_that_differ_for_a_while(self):
        # One instance hears of the newcomer 300 ms after the others and goes on asking the old
        # owner, which has given the pool up.
        for seed in range(4):
            cluster, jobs = busy_cluster(("a", "b", "c"), seed=seed, shuffle=True)
            stale_instance = next(name for name in cluster.nodes if name != owner_name(cluster))
            stale_view = cluster.nodes[stale_instance].membership.view
            joiner = next(f"n{n}" for n in range(100) if ranks_first(f"n{n}", cluster))
            cluster.add(joiner, "dc1")
            cluster.nodes[stale_instance].membership.change(stale_view)
            cluster.runtime.run(0.8)
            cluster.show()
            cluster.runtime.run(20)
            self.check(cluster, jobs)


def ranks_first(name, cluster):
    return rendezvous.rank(POOL, [*cluster.nodes, name])[0] == name


class Pause(Rules):
    def check_pause(self, choose_paused):
        """Stall an instance for two seconds; the others take it for dead, then it returns."""
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
                            attrs.evolve(each, state=states.get(each.name, each.state))
                            for each in node.membership.view.members
                        )
                    )
                )
            cluster.runtime.run(3.0)
            cluster.network.heal()
            cluster.nodes[paused].runtime.resume()
            cluster.nodes[paused].renew()
            cluster.show()
            self.assertEqual(owner_name(cluster), owner)
            cluster.runtime.run(38)
            self.check(cluster, jobs)

    def test_owner_that_was_taken_for_dead_comes_back_and_owns_the_pool_again(self):
        # Another takes over and grants its slots.  When the first is back in a new incarnation it
        # ranks first again and must forget what it knew.
        self.check_pause(lambda cluster, owner: owner)

    def test_holder_that_was_taken_for_dead_asks_anew_for_what_waits(self):
        # The owner has forgotten the requests of the dead incarnation.  Its callers would wait
        # until their deadlines.
        self.check_pause(lambda cluster, owner: next(n for n in cluster.nodes if n != owner))


class DataCentreCutOff(Rules):
    def test_each_side_serves_alone_and_both_share_again_after_it(self):
        # A data centre is cut off for seven seconds, though its servers can still be reached from
        # everywhere.  Each side goes on with its own servers; callers on both sides get whole
        # answers.  While only one side has noticed, both could grant the same slots.
        for seed in range(6):
            source = random.Random(seed)
            service = fleet.make_service({"s1": 3, "s2": 3})
            far = attrs.evolve(service.servers[1], data_centre="dc2")
            service = attrs.evolve(service, servers=(service.servers[0], far))
            cluster = fleet.Fleet(
                service,
                {"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2"},
                lambda server, call: 0.05 + 0.6 * random.Random(f"{call}").random(),
                seed=seed,
                shuffle=True,
            )
            cluster.gateway.connect_s = 0.05
            jobs = []

            def submit_jobs(cluster=cluster, jobs=jobs, source=source):
                for number in range(130):
                    request = fleet.make_request(f"j{number}", source.randint(1, 3))
                    jobs.append(cluster.submit(source.choice("abcd"), request))
                    cluster.runtime.sleep(0.12)

            cluster.runtime.spawn(submit_jobs)
            cluster.runtime.run(2.0)
            # The sides notice the cut and its end at different moments, in either order.
            first_side, second_side = ("dc1", "dc2") if seed % 2 else ("dc2", "dc1")
            cluster.cut("dc2")
            cluster.runtime.run(2.1)
            cluster.notice(first_side, {second_side})
            cluster.runtime.run(6.0)
            cluster.notice(second_side, {first_side})
            cluster.runtime.run(9.0)
            used_during_cut = {name for at, name, _, _ in cluster.gateway.started if at > 8.0}
            self.assertEqual(used_during_cut, {"s1", "s2"})
            cluster.heal()
            cluster.notice(first_side, ())
            cluster.runtime.run(10.0)
            cluster.notice(second_side, ())
            cluster.runtime.run(45)
            self.check(cluster, jobs)
            after_heal = {name for at, name, _, _ in cluster.gateway.started if at > 12.0}
            self.assertEqual(after_heal, {"s1", "s2"})


class TwoOwners(Rules):
    def test_two_that_both_believe_to_be_the_owner(self):
        # Views disagree for two seconds: half the instances take "a" for the owner, half "b".
        # Both ask everyone for the slots in use.  Ballots let only one of them grant at a time.
        for seed in range(6):
            cluster, jobs = busy_cluster(
                ("a", "b", "c", "d"), seed=seed, shuffle=True, gap_s=0.17, count=35
            )
            for names, without in ((("a", "c"), "b"), (("b", "d"), "a")):
                for name in names:
                    node = cluster.nodes[name]
                    node.membership.change(
                        member.View(
                            tuple(
                                (
                                    attrs.evolve(each, state=member.State.LEAVING)
                                    if each.name in (without, "c", "d")
                                    else each
                                )
                                for each in node.membership.view.members
                            )
                        )
                    )
            cluster.runtime.run(2.5)
            cluster.show()
            cluster.runtime.run(25)
            self.check(cluster, jobs)


class LostMessages(Rules):
    def test_grants_that_never_arrive_are_taken_back_and_given_again(self):
        # Every second message of slots vanishes.  The holder would wait and the slot stay taken
        # until the job's deadline; the owner's audit finds both.
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
        self.assertGreater(len(sent), 2)  # so two were lost at least
        self.check(cluster, jobs)

    def test_lost_replies_grant_nothing_twice(self):
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

    def test_grant_that_was_long_on_its_way_is_not_used(self):
        # A grant waits two seconds in a stalled network.  Its slot may be another's by then.
        cluster = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1", "b": "dc1"})
        owner = owner_name(cluster)
        other = "b" if owner == "a" else "a"
        delayed_at = []

        def delay_s(source, target, sent_message):
            if isinstance(sent_message, messages.Grants) and len(delayed_at) == 0:
                delayed_at.append(cluster.runtime.now())
                return 1.9
            return 0.0005

        first_side = cluster.submit(owner, fleet.make_request("first", 1))
        cluster.runtime.run(0.05)
        cluster.network.delay_s = delay_s
        second_side = cluster.submit(other, fleet.make_request("second", 1))
        cluster.runtime.run(10)
        self.assertEqual(len(delayed_at), 1)
        self.check(cluster, [first_side, second_side])
        started = [t for t, _, name, _ in cluster.gateway.started if name == "second"]
        self.assertGreater(started[0], delayed_at[0] + 1.9)


class SilentConnections(Rules):
    def test_slots_of_tasks_that_vanished_are_used_again_and_their_jobs_end(self):
        # Every open connection goes silent at once: what is sent on them starts nowhere and is
        # never answered.  The slots would be stuck until the jobs' deadlines, half a minute
        # later, and the callers would wait as long.
        cluster = fleet.Fleet(fleet.make_service({"s1": 3, "s2": 3}), {"a": "dc1", "b": "dc1"})
        cluster.runtime.run(0.1)
        for server in ("s1", "s2"):
            cluster.gateway.servers[server].is_silent = True
        lost = [cluster.submit(name, fleet.make_request(f"lost-{name}", 3)) for name in "ab"]
        cluster.runtime.run(0.2)
        for server in ("s1", "s2"):
            cluster.gateway.servers[server].is_silent = False
        after_heal = cluster.submit("a", fleet.make_request("after", 6))
        cluster.runtime.run(6.0)
        self.check(cluster)
        self.assertTrue(after_heal.answer.is_complete)
        for active_job in lost:
            self.assertEqual(active_job.answer.code, code.Code.SERVER_LOST)
            self.assertEqual(active_job.answer.ran, answer.Ran.UNKNOWN)

    def test_straggler_that_still_runs_keeps_its_slot(self):
        cluster = fleet.Fleet(
            fleet.make_service({"s1": 2}),
            {"a": "dc1"},
            lambda server, call: 6.0 if call.job_id == "slow" else 0.1,
        )
        slow = cluster.submit("a", fleet.make_request("slow", 1))
        others = [cluster.submit("a", fleet.make_request(f"j{n}", 20)) for n in range(2)]
        cluster.runtime.run(20)
        self.check(cluster, [slow, *others])


class LostTask(Rules):
    def test_slot_of_a_task_without_answer_waits_for_the_server(self):
        # The job's timeout passes while its task runs on.  The slot must stay taken until the
        # server shows that the task ended, and come free soon after.
        cluster = fleet.Fleet(
            fleet.make_service({"s1": 1}),
            {"a": "dc1"},
            lambda server, call: 3.0 if call.job_id == "slow" else 0.1,
        )
        slow = cluster.submit("a", fleet.make_request("slow", 1, timeout_s=1.0))
        cluster.runtime.run(1.1)
        after_heal = cluster.submit("a", fleet.make_request("after", 1))
        cluster.runtime.run(20)
        self.assertEqual(slow.answer.ran, answer.Ran.UNKNOWN)
        self.check(cluster, [after_heal])
        started = [t for t, _, name, _ in cluster.gateway.started if name == "after"]
        self.assertGreater(started[0], 3.0)
        self.assertLess(started[0], 6.0)
