import unittest

from rosedyke.rerun import fencing_token, job, messages, ports
from rosedyke.standins import rerun_region

SETTLE_S = 1.5


class Owners(unittest.TestCase):
    def test_each_pool_gets_one_owner_of_its_own_data_centre(self):
        region = rerun_region.Region({"a": 3, "b": 2})
        region.run(SETTLE_S)
        self.assertTrue(region.owner("a").startswith("a-"))
        self.assertTrue(region.owner("b").startswith("b-"))
        owners = sum(len(one.node.owned) for one in region.members.values())
        self.assertEqual((owners, region.world.violations), (2, []))

    def test_job_held_by_the_owner_itself_outlives_the_bound_on_lost_holders(self):
        # The caller gets no answer until its time is over.  Its instance holds the job and owns
        # the pool; nobody renewed the job there, since renewals went to other instances only.
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        job_run = region.submit(region.owner("a"), "j1", count=3, duration_s=1.2)
        region.run(2.0)
        self.assertEqual(job_run.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertEqual(len(region.world.starts), 3)

    def test_wall_clock_behind_does_not_keep_a_successor_out(self):
        # Every order of the new owner is refused.  The dead owner's wall clock was 5 s ahead, so
        # its token was above what the successor makes from its own clock.
        region = rerun_region.Region({"a": 1})
        region.kill("a-1")
        region.add("a-2", "a", "10.0.0.2:7000", clock_s=5.0)
        region.run(SETTLE_S)
        region.add("a-3", "a", "10.0.0.3:7000", clock_s=-2.0)
        region.run(SETTLE_S)
        highest = region.members["a-2"].node.owned["a/r1"].token
        region.kill("a-2")
        region.members["a-3"].node.fleet.highest_tokens.clear()
        region.run(SETTLE_S)
        done = region.submit("a-3", "j1")
        region.run(SETTLE_S)
        self.assertEqual(done.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertGreater(region.members["a-3"].node.owned["a/r1"].token, highest)

    def test_leaving_owner_hands_its_pool_over_without_a_gap(self):
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        old = region.owner("a")
        running = region.submit(region.other("a"), "j1", count=4, duration_s=0.8)
        region.run(0.2)
        began = region.runtime.now()
        region.runtime.call(region.members[old].node.handover.hand_pools_over, False)
        self.assertLess(region.runtime.now() - began, 0.1)
        self.assertNotEqual(region.owner("a"), old)
        region.run(1.0)
        self.assertEqual(running.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertEqual((len(region.world.starts), region.world.violations), (4, []))

    def test_leaving_owner_passes_over_a_candidate_that_leaves_too(self):
        # All work on the pool stops for half a second.  Two instances are stopped together; the
        # owner gave its pool to the other one, which no longer takes any.
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        old = region.owner("a")
        first = region.members[old].node.handover.successors("a/r1", False)[0].name
        region.members[first].node.takeovers.is_suspended = True
        region.runtime.call(region.members[old].node.handover.hand_pools_over, False)
        self.assertNotIn(region.owner("a"), ("", old, first))

    def test_last_owner_of_a_data_centre_keeps_its_pool_until_the_end(self):
        region = rerun_region.Region({"a": 2, "b": 1})
        region.run(SETTLE_S)
        node = region.members["b-1"].node
        region.runtime.call(node.handover.hand_pools_over, False)
        self.assertEqual(region.owner("b"), "b-1")
        region.runtime.call(node.handover.hand_pools_over, True)
        self.assertTrue(region.owner("b").startswith("a-"))

    def test_successor_goes_on_with_the_learned_speeds(self):
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        owner, other = region.owner("a"), region.other("a")
        region.members[owner].node.speeds.by_server["s-a-0"] = 0.6
        region.run(0.3)
        region.kill(owner)
        region.run(1.0)
        self.assertEqual(region.members[other].node.speeds.speed_of("s-a-0"), 0.6)


class LostOwner(unittest.TestCase):
    def test_successor_finds_what_runs_and_the_caller_gets_its_answer(self):
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        old = region.owner("a")
        held = region.submit(region.other("a"), "j1", count=4, duration_s=1.0)
        region.run(0.3)
        region.kill(old)
        region.run(2.5)
        self.assertEqual(held.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertEqual((len(region.world.starts), region.world.violations), (4, []))

    def test_service_is_back_within_a_second(self):
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        region.kill(region.owner("a"))
        region.run(0.05)
        killed_at = region.runtime.now()
        held = region.submit(next(iter(region.members)), "j1", duration_s=0.1)
        region.run(2.0)
        self.assertEqual(held.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertLess(held.ended_at - killed_at, 1.0)

    def test_isolated_instance_leaves_the_pool_to_its_owner(self):
        # All work on the pool stops for a moment, again and again.  One instance is cut off from
        # all others and from the store, but reaches the servers; it must not fence the owner off.
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        owner, alone = region.owner("a"), region.other("a")
        others = [name for name in region.members if name != alone]
        region.cut([alone], others)
        region.members[alone].listed.reachable = False
        region.run(3.0)
        self.assertEqual(region.owner("a"), owner)
        self.assertNotIn("a/r1", region.members[alone].node.owned)

    def test_isolated_instance_leaves_the_pools_of_other_data_centres_alone(self):
        # All work on every pool stops, again and again.  One instance is cut off from all others
        # and from the platform but reaches the servers; every owner looks silent to it.
        region = rerun_region.Region({"a": 2, "b": 2, "c": 2})
        region.run(SETTLE_S)
        alone = region.other("a")
        owners = {name: region.owner(name) for name in "abc"}
        region.cut([alone], [name for name in region.members if name != alone])
        region.members[alone].listed.reachable = False
        region.run(5.0)
        self.assertEqual({name: region.owner(name) for name in "abc"}, owners)
        self.assertEqual(region.members[alone].node.owned, {})

    def test_instance_without_other_data_centres_and_platform_leaves_their_pools_alone(self):
        # The same for two pools: it hears its own data centre, but nobody who could tell whether
        # the other owners live.
        region = rerun_region.Region({"a": 2, "b": 2, "c": 2})
        region.run(SETTLE_S)
        alone = region.other("a")
        owners = {name: region.owner(name) for name in "abc"}
        region.cut([alone], [name for name in region.members if name[0] in "bc"])
        region.members[alone].listed.reachable = False
        region.run(5.0)
        self.assertEqual({name: region.owner(name) for name in "abc"}, owners)

    def test_pool_of_a_lost_data_centre_is_taken_while_the_platform_is_away(self):
        # A third of the servers stand idle: the instances of one data centre are gone, and the
        # platform can't be asked; a third data centre confirms that nobody hears them.
        region = rerun_region.Region({"a": 2, "b": 2, "c": 1})
        region.run(SETTLE_S)
        for member in region.members.values():
            member.listed.reachable = False
        region.kill("c-1")
        region.run(5.0)
        self.assertIn(region.owner("c"), region.members)

    def test_instance_that_has_reached_no_pool_for_long_refuses_at_once(self):
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        alone = region.other("a")
        region.cut([alone], [region.owner("a")])
        region.members[alone].listed.reachable = False
        region.run(4.0)
        began = region.runtime.now()
        held = region.submit(alone, "j1")
        region.run(0.1)
        self.assertEqual(held.outcome.end, job.End.REFUSED)
        self.assertLess(held.ended_at - began, 0.05)

    def test_owner_is_not_replaced_while_others_hear_it(self):
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        owner, alone = region.owner("a"), region.other("a")
        region.cut([alone], [owner])
        region.run(3.0)
        self.assertEqual(region.owner("a"), owner)


class EndOfACut(unittest.TestCase):
    def test_foreign_candidates_stay_away_when_servers_are_in_reach_first(self):
        # Jobs run twice at once right after a cut between data centres.  When it ends, another
        # data centre reaches the servers at once, and their owner only half a second later, since
        # open connections have to be replaced.  It took the pool over in between.
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        owner = region.owner("b")
        near = [name for name in region.members if name.startswith("a")]
        far = [name for name in region.members if name.startswith("b")]
        far_servers = [key for key in region.world.servers if key.startswith("s-b")]
        region.cut(near, far)
        region.world.cut = {(name, key) for name in near for key in far_servers}
        region.run(4.0)
        region.world.cut = set()
        region.run(0.6)
        region.network.heal()
        region.run(2.0)
        self.assertEqual(region.owner("b"), owner)

    def test_pool_whose_instances_are_all_gone_is_taken_and_given_back(self):
        region = rerun_region.Region({"a": 2, "b": 1})
        region.run(SETTLE_S)
        region.kill("b-1")
        region.run(4.0)
        self.assertTrue(region.owner("b").startswith("a-"))
        region.add("b-2", "b", "10.1.0.9:7000")
        region.run(6.0)
        self.assertEqual(region.owner("b"), "b-2")
        self.assertEqual(region.world.violations, [])

    def test_pool_is_not_given_back_to_an_instance_that_has_just_come(self):
        # Owners take turns.  Of two instances of the pool's data centre the steady one is leaving
        # and declines, and the one that came a moment ago got the pool in its place.
        region = rerun_region.Region({"a": 2, "b": 1})
        region.run(SETTLE_S)
        region.kill("b-1")
        region.run(4.0)
        region.add("b-2", "b", "10.1.0.9:7000").node.takeovers.is_suspended = True
        region.run(4.5)
        region.add("b-3", "b", "10.1.0.10:7000")
        region.run(2.0)
        self.assertTrue(region.owner("b").startswith("a-"))
        region.run(4.0)
        self.assertEqual(region.owner("b"), "b-3")

    def test_successor_whose_list_lacks_a_server_starts_nothing_that_may_run_there(self):
        # A task runs twice at once.  The entry of its server has lapsed in the list of the new
        # owner, which therefore does not see the run and starts the task on another server.
        region = rerun_region.Region({"a": 3}, servers=3)
        region.run(SETTLE_S)
        old = region.owner("a")
        held = region.submit(region.other("a"), "j1", count=9, duration_s=1.0)
        region.run(0.1)
        busy = region.world.starts[0][2]
        for name, member in region.members.items():
            if name != old:
                member.listed.hidden.add(busy)
        region.kill(old)
        region.run(4.0)
        self.assertEqual(region.world.violations, [])
        self.assertIsNotNone(held.outcome)


class LostHolder(unittest.TestCase):
    def test_runs_are_over_before_the_caller_may_come_back(self):
        # The caller's connection breaks with its holder, and it sends the job again 1.3 s later.
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        holder = region.other("a")
        region.submit(holder, "j1", count=3, duration_s=3.0)
        region.run(0.2)
        region.kill(holder)
        region.run(region.times.resubmit_s)
        self.assertEqual(sum(len(each.runs) for each in region.world.servers.values()), 0)
        again = region.submit(region.other("a"), "j1", count=3, duration_s=0.2)
        region.run(1.0)
        self.assertEqual(again.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertEqual(region.world.violations, [])

    def test_job_sent_again_while_its_holder_lives_moves_and_goes_on(self):
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        owner = region.owner("a")
        first, second = [name for name in region.members if name != owner]
        before = region.submit(first, "j1", count=2, duration_s=1.0)
        region.run(0.5)
        after = region.submit(second, "j1", count=2, duration_s=1.0)
        region.run(1.0)
        self.assertEqual(before.outcome.end, job.End.LOST)
        self.assertEqual(after.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertEqual((len(region.world.starts), region.world.violations), (2, []))

    def test_caller_that_leaves_ends_its_runs(self):
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        held = region.submit(region.other("a"), "j1", count=2, duration_s=3.0)
        region.run(0.2)
        held.gone.set()
        region.run(0.2)
        self.assertEqual(held.outcome.end, job.End.CANCELLED)
        self.assertEqual(sum(len(each.runs) for each in region.world.servers.values()), 0)


class Pause(unittest.TestCase):
    def test_owner_that_stood_still_sends_nothing_before_it_knows(self):
        # A task starts although its caller has long sent its job elsewhere.  The owner was
        # frozen for seconds; the renewals that still wait in its sockets look fresh.
        region = rerun_region.Region({"a": 1})
        region.run(SETTLE_S)
        pool = region.members["a-1"].node.owned["a/r1"]
        pool.loop_ran_at -= region.times.pause_s + 0.1
        held = region.submit("a-1", "j1")
        region.run(0.01)
        self.assertFalse(pool.is_active)
        self.assertEqual(region.world.starts, [])
        del held

    def test_fenced_owner_stands_down_and_stays_down(self):
        region = rerun_region.Region({"a": 2})
        region.run(SETTLE_S)
        owner = region.owner("a")
        pool = region.members[owner].node.owned["a/r1"]
        server = next(iter(region.world.servers.values()))
        server.highest_token = pool.token + 1
        region.run(0.5)
        self.assertFalse(pool.is_active)
        self.assertNotIn("a/r1", region.members[owner].node.owned)


def hold_up(region, kind, seconds, source_name=""):
    """Let messages of a kind take so long, those of one instance or of all; return them."""
    usual = region.network.delay_s
    held_up = []

    def delay(source, target, message):
        if isinstance(message, kind) and source_name in ("", source.name):
            held_up.append(message)
            return seconds
        return usual(source, target, message)

    region.network.delay_s = delay
    return held_up


class LateMessages(unittest.TestCase):
    def test_released_tasks_are_not_moved_twice(self):
        # A task runs twice at once.  An owner has released it; the report that it doesn't know
        # the job overtakes that message, since it comes on another connection, so the holder
        # hands the job over again, and then moves the task to the other pool as well.
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        held_up = hold_up(region, messages.TasksReleased, 0.4)
        # The owner fills its pool by itself, which the other instance can't know yet.
        blocker = region.submit(region.owner("a"), "k1", count=12, duration_s=0.5)
        held = region.submit(region.other("a"), "j1", count=4, duration_s=0.6)
        region.run(5.0)
        self.assertEqual({message.job_id for message in held_up}, {"j1"})
        self.assertEqual(region.world.violations, [])
        self.assertEqual({one.outcome.end for one in (blocker, held)}, {job.End.SUCCEEDED})

    def test_news_of_an_earlier_submission_is_not_taken_for_that_of_the_next(self):
        # A task runs twice at once.  A cut holds up the message that the job's tasks were
        # released.  The holder gives up, the caller sends the job again to the same instance, and
        # then the message comes: the tasks, which run by now, would be moved to the other pool.
        region = rerun_region.Region({"a": 2, "b": 2})
        region.run(SETTLE_S)
        held_up = hold_up(region, messages.TasksReleased, 2.7)
        holder = region.other("a")
        blocker = region.submit(region.owner("a"), "k1", count=12, duration_s=0.5)
        before = region.submit(holder, "j1", count=4, duration_s=0.6, timeout_s=1.0)
        region.run(1.0 + region.times.resubmit_s)
        after = region.submit(holder, "j1", count=4, duration_s=0.6)
        region.run(3.0)
        self.assertEqual(region.world.violations, [])
        self.assertEqual({message.job_id for message in held_up}, {"j1"})
        self.assertEqual(before.outcome.end, job.End.LOST)
        self.assertEqual({one.outcome.end for one in (blocker, after)}, {job.End.SUCCEEDED})

    def test_job_that_a_cut_held_up_is_not_started(self):
        # The task runs twice at once.  A cut holds up the job on its way to the owner for two
        # seconds; meanwhile the holder has given up and the caller has sent it elsewhere.
        region = rerun_region.Region({"a": 3})
        region.run(SETTLE_S)
        owner = region.owner("a")
        first, second = [name for name in region.members if name != owner]
        hold_up(region, messages.Submit, 2.6, first)
        before = region.submit(first, "j1", duration_s=2.0, timeout_s=1.0)
        region.run(1.0 + region.times.resubmit_s)
        after = region.submit(second, "j1", duration_s=2.0)
        region.run(3.0)
        self.assertEqual(before.outcome.end, job.End.LOST)
        self.assertEqual(after.outcome, job.Outcome(job.End.SUCCEEDED))
        self.assertEqual((len(region.world.starts), region.world.violations), (1, []))


class Tokens(unittest.TestCase):
    def test_two_instances_never_share_a_token(self):
        numbers = [fencing_token.instance_number(f"10.1.0.{host}:7000") for host in (1, 2)]
        tokens = {fencing_token.next_token(number, 1_800_000_000, 0) for number in numbers}
        self.assertEqual(len(tokens), 2)
        self.assertTrue(all(value < 2**53 for value in tokens))

    def test_token_is_above_the_highest_seen_also_with_a_clock_behind(self):
        first = fencing_token.next_token(5, 1_800_000_000, 0)
        self.assertGreater(fencing_token.next_token(4, 1_700_000_000, first), first)


class Pools(unittest.TestCase):
    def test_pool_is_the_rack(self):
        server = ports.Server("s", "10.0.0.1:80", "x", "a", "r7", job.Demand(1))
        self.assertEqual(ports.pool_of(server), "a/r7")
        self.assertEqual(ports.data_centre_of("a/r7"), "a")
