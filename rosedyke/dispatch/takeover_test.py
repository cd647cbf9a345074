"""Slots stay within every server's limit while owners and holders come, go and stall."""

import random
import unittest

import attrs

from rosedyke.dispatch import messages
from rosedyke.job import answer, code
from rosedyke.membership import member, rendezvous
from rosedyke.standins import fleet

POOL = "scale/0"


def owner_name(world):
    node = next(iter(world.nodes.values()))
    return node.dispatcher.shards.owner(POOL, node.membership).name


def busy_world(
    instances=("a", "b", "c"), seed=0, shuffle=False, run_time_s=None, gap_s=0.1, count=60
):
    """Return a world in which every instance holds slots and more jobs keep coming."""
    world = fleet.Fleet(
        fleet.make_service({"s1": 2, "s2": 3}),
        {name: "dc1" for name in instances},
        run_time_s or (lambda server, call: 0.05 + 0.5 * random.Random(f"{call}").random()),
        seed=seed,
        shuffle=shuffle,
    )
    world.gateway.connect_s = 0.08
    jobs = []
    source = random.Random(seed)

    def arrive():
        for number in range(count):
            name = source.choice([one for one in instances if not world.nodes[one].peers.is_down])
            request = fleet.make_request(f"j{number}-{name}", source.randint(1, 4))
            jobs.append(world.submit(name, request))
            world.runtime.sleep(gap_s)

    world.runtime.spawn(arrive)
    world.runtime.run(1.0)
    return world, jobs


def kill(world, name):
    """Kill an instance; the others see it half a second later."""
    world.kill(name, seen=False)
    world.runtime.run(world.runtime.now() + 0.5)
    world.show()


def slots_held(world, name):
    links = world.nodes[name].dispatcher.holder.links
    return sum(len(one.held) for one in links.values())


def of_others(jobs, dead):
    return [one for one in jobs if not one.request.job_id.endswith(f"-{dead}")]


class Rules(unittest.TestCase):
    def check(self, world, jobs=()):
        self.assertEqual(world.gateway.excess, 0)
        self.assertLessEqual(set(world.gateway.starts.values()), {1})
        for running in jobs:
            self.assertEqual(running.answer.code, code.Code.COMPLETE)
        if jobs:
            self.check_idle(world)

    def check_idle(self, world):
        """After the last job no slot may stay taken."""
        for node in world.nodes.values():
            if node.peers.is_down:
                continue
            for owned in node.dispatcher.owner.owned.values():
                self.assertEqual(owned.pool.leases, {})
                self.assertEqual(sum(one.orphans for one in owned.pool.servers.values()), 0)


class OwnerDies(Rules):
    def test_jobs_of_the_others_end_whole_and_no_slot_is_used_twice(self):
        # The owner is killed while its own tasks and those of others run.  Nobody knows any more
        # what it had running.  The new owner asks the others and then the servers; callers of
        # the others see only a short wait.
        for seed in range(6):
            world, jobs = busy_world(seed=seed)
            dead = owner_name(world)
            self.assertGreater(sum(slots_held(world, name) for name in world.nodes), 3)
            kill(world, dead)
            world.runtime.run(29)
            self.check(world, of_others(jobs, dead))

    def test_slots_of_the_dead_are_used_again_as_soon_as_their_tasks_end(self):
        world, jobs = busy_world(run_time_s=lambda server, call: 1.0)
        dead = owner_name(world)
        kill(world, dead)
        world.runtime.run(3.5)
        # 5 slots and 1 s a task: within 3.5 s every slot must have begun three times.
        self.assertGreaterEqual(len(world.gateway.started), 15)
        self.check(world)


class HolderDies(Rules):
    def test_its_slots_are_not_reused_before_its_tasks_end(self):
        # A holder dies; its tasks go on at the servers.  The owner must not take its slots for
        # free, or the servers would get one task too many.
        found = 0
        for seed in range(6):
            world, jobs = busy_world(
                seed=seed,
                run_time_s=lambda server, call: 2.0 * random.Random(f"{call}").random(),
                count=20,
            )
            others = [name for name in world.nodes if name != owner_name(world)]
            dead = max(others, key=lambda name: slots_held(world, name))
            found += slots_held(world, dead)
            kill(world, dead)
            world.runtime.run(29)
            self.check(world, of_others(jobs, dead))
        self.assertGreater(found, 6)


class OwnerChangesByJoin(Rules):
    def test_joining_instance_takes_the_pool_over_from_a_living_owner(self):
        # The newcomer ranks first.  The old owner's grants may still be on their way when the
        # holders already obey the new one.
        for seed in range(8):
            world, jobs = busy_world(("a", "b"), seed=seed, shuffle=True)
            before = owner_name(world)
            joined = next(
                name
                for name in (f"n{number}" for number in range(100))
                if fleet_rank_first(name, world)
            )
            world.add(joined, "dc1")
            self.assertNotEqual(owner_name(world), before)
            world.runtime.run(20)
            self.check(world, jobs)

    def test_views_that_differ_for_a_while(self):
        # One instance hears of the newcomer 300 ms after the others and goes on asking the old
        # owner, which has given the pool up.
        for seed in range(4):
            world, jobs = busy_world(("a", "b", "c"), seed=seed, shuffle=True)
            lagging = next(name for name in world.nodes if name != owner_name(world))
            stale = world.nodes[lagging].membership.view
            joined = next(f"n{n}" for n in range(100) if fleet_rank_first(f"n{n}", world))
            world.add(joined, "dc1")
            world.nodes[lagging].membership.change(stale)
            world.runtime.run(0.8)
            world.show()
            world.runtime.run(20)
            self.check(world, jobs)


def fleet_rank_first(name, world):
    return rendezvous.rank(POOL, [*world.nodes, name])[0] == name


class Pause(Rules):
    def pause_one(self, pick):
        """Stall an instance for two seconds; the others take it for dead, then it returns."""
        for seed in range(4):
            world, jobs = busy_world(seed=seed, shuffle=True)
            owner = owner_name(world)
            paused = pick(world, owner)
            others = [name for name in world.nodes if name != paused]
            world.nodes[paused].runtime.pause()
            world.network.partition([paused], others)
            for name in others:
                node = world.nodes[name]
                states = {paused: member.State.DEAD}
                node.membership.change(
                    member.View(
                        tuple(
                            attrs.evolve(one, state=states.get(one.name, one.state))
                            for one in node.membership.view.members
                        )
                    )
                )
            world.runtime.run(3.0)
            world.network.heal()
            world.nodes[paused].runtime.resume()
            world.nodes[paused].renew()
            world.show()
            self.assertEqual(owner_name(world), owner)
            world.runtime.run(38)
            self.check(world, jobs)

    def test_owner_that_was_taken_for_dead_comes_back_and_owns_the_pool_again(self):
        # Another takes over and grants its slots.  When the first is back in a new incarnation it
        # ranks first again and must forget what it knew.
        self.pause_one(lambda world, owner: owner)

    def test_holder_that_was_taken_for_dead_asks_anew_for_what_waits(self):
        # The owner has forgotten the requests of the dead incarnation.  Its callers would wait
        # until their deadlines.
        self.pause_one(lambda world, owner: next(n for n in world.nodes if n != owner))


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
            world = fleet.Fleet(
                service,
                {"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2"},
                lambda server, call: 0.05 + 0.6 * random.Random(f"{call}").random(),
                seed=seed,
                shuffle=True,
            )
            world.gateway.connect_s = 0.05
            jobs = []

            def arrive(world=world, jobs=jobs, source=source):
                for number in range(130):
                    request = fleet.make_request(f"j{number}", source.randint(1, 3))
                    jobs.append(world.submit(source.choice("abcd"), request))
                    world.runtime.sleep(0.12)

            world.runtime.spawn(arrive)
            world.runtime.run(2.0)
            # The sides notice the cut and its end at different moments, in either order.
            first, second = ("dc1", "dc2") if seed % 2 else ("dc2", "dc1")
            world.cut("dc2")
            world.runtime.run(2.1)
            world.notice(first, {second})
            world.runtime.run(6.0)
            world.notice(second, {first})
            world.runtime.run(9.0)
            alone = {name for at, name, _, _ in world.gateway.started if at > 8.0}
            self.assertEqual(alone, {"s1", "s2"})
            world.heal()
            world.notice(first, ())
            world.runtime.run(10.0)
            world.notice(second, ())
            world.runtime.run(45)
            self.check(world, jobs)
            after = {name for at, name, _, _ in world.gateway.started if at > 12.0}
            self.assertEqual(after, {"s1", "s2"})


class TwoOwners(Rules):
    def test_two_that_both_believe_to_be_the_owner(self):
        # Views disagree for two seconds: half the instances take "a" for the owner, half "b".
        # Both ask everyone for the slots in use.  Ballots let only one of them grant at a time.
        for seed in range(6):
            world, jobs = busy_world(
                ("a", "b", "c", "d"), seed=seed, shuffle=True, gap_s=0.17, count=35
            )
            for names, without in ((("a", "c"), "b"), (("b", "d"), "a")):
                for name in names:
                    node = world.nodes[name]
                    node.membership.change(
                        member.View(
                            tuple(
                                (
                                    attrs.evolve(one, state=member.State.LEAVING)
                                    if one.name in (without, "c", "d")
                                    else one
                                )
                                for one in node.membership.view.members
                            )
                        )
                    )
            world.runtime.run(2.5)
            world.show()
            world.runtime.run(25)
            self.check(world, jobs)


class LostMessages(Rules):
    def test_grants_that_never_arrive_are_taken_back_and_given_again(self):
        # Every second message of slots vanishes.  The holder would wait and the slot stay taken
        # until the job's deadline; the owner's audit finds both.
        world = fleet.Fleet(fleet.make_service({"s1": 4}), {"a": "dc1", "b": "dc1"})
        sent = []

        def delay_s(source, target, told):
            if isinstance(told, messages.Grants):
                sent.append(told)
                return None if len(sent) % 2 == 1 else 0.0005
            return 0.0005

        world.network.delay_s = delay_s
        jobs = [world.submit(name, fleet.make_request(f"j-{name}", 100)) for name in "ab"]
        world.runtime.run(29)
        self.assertGreater(len(sent), 2)  # so two were lost at least
        self.check(world, jobs)

    def test_lost_replies_grant_nothing_twice(self):
        for seed in range(4):
            world = fleet.Fleet(
                fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1", "b": "dc1"}, seed=seed
            )
            source_of_loss = random.Random(seed)

            def delay_s(source, target, told, source_of_loss=source_of_loss):
                lost = source_of_loss.random() < 0.2
                return None if lost else 0.0005 + 0.01 * source_of_loss.random()

            world.network.delay_s = delay_s
            jobs = [world.submit(name, fleet.make_request(f"j-{name}", 10)) for name in "ab"]
            world.runtime.run(29.9)
            self.check(world, jobs)

    def test_grant_that_was_long_on_its_way_is_not_used(self):
        # A grant waits two seconds in a stalled network.  Its slot may be another's by then.
        world = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1", "b": "dc1"})
        owner = owner_name(world)
        other = "b" if owner == "a" else "a"
        late = []

        def delay_s(source, target, told):
            if isinstance(told, messages.Grants) and len(late) == 0:
                late.append(world.runtime.now())
                return 1.9
            return 0.0005

        first = world.submit(owner, fleet.make_request("first", 1))
        world.runtime.run(0.05)
        world.network.delay_s = delay_s
        second = world.submit(other, fleet.make_request("second", 1))
        world.runtime.run(10)
        self.assertEqual(len(late), 1)
        self.check(world, [first, second])
        started = [t for t, _, name, _ in world.gateway.started if name == "second"]
        self.assertGreater(started[0], late[0] + 1.9)


class SilentConnections(Rules):
    def test_slots_of_tasks_that_vanished_are_used_again_and_their_jobs_end(self):
        # Every open connection goes silent at once: what is sent on them starts nowhere and is
        # never answered.  The slots would be stuck until the jobs' deadlines, half a minute
        # later, and the callers would wait as long.
        world = fleet.Fleet(fleet.make_service({"s1": 3, "s2": 3}), {"a": "dc1", "b": "dc1"})
        world.runtime.run(0.1)
        for server in ("s1", "s2"):
            world.gateway.servers[server].is_silent = True
        lost = [world.submit(name, fleet.make_request(f"lost-{name}", 3)) for name in "ab"]
        world.runtime.run(0.2)
        for server in ("s1", "s2"):
            world.gateway.servers[server].is_silent = False
        after = world.submit("a", fleet.make_request("after", 6))
        world.runtime.run(6.0)
        self.check(world)
        self.assertTrue(after.answer.is_complete)
        for running in lost:
            self.assertEqual(running.answer.code, code.Code.SERVER_LOST)
            self.assertEqual(running.answer.ran, answer.Ran.UNKNOWN)

    def test_straggler_that_still_runs_keeps_its_slot(self):
        world = fleet.Fleet(
            fleet.make_service({"s1": 2}),
            {"a": "dc1"},
            lambda server, call: 6.0 if call.job_id == "slow" else 0.1,
        )
        slow = world.submit("a", fleet.make_request("slow", 1))
        others = [world.submit("a", fleet.make_request(f"j{n}", 20)) for n in range(2)]
        world.runtime.run(20)
        self.check(world, [slow, *others])


class LostTask(Rules):
    def test_slot_of_a_task_without_answer_waits_for_the_server(self):
        # The job's timeout passes while its task runs on.  The slot must stay taken until the
        # server shows that the task ended, and come free soon after.
        world = fleet.Fleet(
            fleet.make_service({"s1": 1}),
            {"a": "dc1"},
            lambda server, call: 3.0 if call.job_id == "slow" else 0.1,
        )
        slow = world.submit("a", fleet.make_request("slow", 1, timeout_s=1.0))
        world.runtime.run(1.1)
        after = world.submit("a", fleet.make_request("after", 1))
        world.runtime.run(20)
        self.assertEqual(slow.answer.ran, answer.Ran.UNKNOWN)
        self.check(world, [after])
        started = [t for t, _, name, _ in world.gateway.started if name == "after"]
        self.assertGreater(started[0], 3.0)
        self.assertLess(started[0], 6.0)
