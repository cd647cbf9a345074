import collections
import unittest

import attrs
import msgspec

from rosedyke.rerunnable_jobs import job, messages, ports, predecessors
from rosedyke.standins import explore_holders, rerun_region

RACKS = 6
SUCCEEDED = job.Outcome(job.EndState.SUCCEEDED)


def start_region(instances, balances_pools=True):
    """Return a region whose data centre has several racks and so several pools."""
    region = rerun_region.Region({})
    region.timing = attrs.evolve(region.timing, balances_pools=balances_pools)
    for number in range(2 * RACKS):
        region.backend.add(
            ports.Server(
                f"s-{number}",
                f"10.9.0.{number}:80",
                rerun_region.SERVICE,
                "a",
                f"r{number % RACKS}",
                job.Demand(4000, 4096),
                born_ms=1,
            )
        )
    for number in range(1, instances + 1):
        region.add(f"a-{number}", "a", f"10.0.0.{number}:7000")
    return region


def owners(region):
    """Return the owner of each pool, by the highest token."""
    claims = [
        (owned.token, pool, name)
        for name, member in region.members.items()
        for pool, owned in member.node.owned_pools.items()
    ]
    return {pool: name for _, pool, name in sorted(claims)}


def most_pools(region):
    """Return the highest number of pools of an instance."""
    return max(collections.Counter(owners(region).values()).values())


def handle(region, kind, action):
    """Call ``action(target)`` for each message of a type; its result replaces the delay."""
    usual_delay = region.network.delay_s
    region.network.delay_s = lambda source, target, message: (
        action(target) if isinstance(message, kind) else usual_delay(source, target, message)
    )


def cut_off(region, name, seconds):
    """Cut an instance off from all others; messages arrive once the partition has ended."""
    healed_at = region.runtime.now() + seconds
    usual_delay = region.network.delay_s
    listed = region.members[name].listed

    def delay(source, target, message):
        if name in (source.name, target.name):
            return max(0.0005, healed_at - region.runtime.now())
        return usual_delay(source, target, message)

    def heal():
        region.runtime.sleep(seconds)
        region.backend.partitioned, listed.reachable = set(), True

    region.network.delay_s = delay
    region.backend.partitioned = {(name, server) for server in region.backend.servers}
    listed.reachable = False
    region.runtime.spawn(heal)


class Balance(unittest.TestCase):
    """Some instances own several of six pools when the fleet starts."""

    def check_jobs(self, region, submissions):
        self.assertEqual({submission.outcome for submission in submissions}, {SUCCEEDED})
        self.assertEqual(region.backend.violations, [])

    def submit_to_all(self, region, duration_s=1.0, prefix="j"):
        return [
            region.submit(name, f"{prefix}-{name}", 5, duration_s, timeout_s=9.0)
            for name in region.members
        ]

    def test_pools_spread_and_then_stay(self):
        # Guards against links of a few owners that carry all commands, and against pools that
        # return to their first owners because of their rank.
        region = start_region(6, balances_pools=False)
        region.run(1.0)
        unbalanced = owners(region)
        self.assertGreater(most_pools(region), 1)
        region.run(5.0)
        self.assertEqual(owners(region), unbalanced)
        region = start_region(6)
        region.run(8.0)
        balanced = owners(region)
        self.assertEqual((len(balanced), most_pools(region)), (RACKS, 1))
        region.run(10.0)
        self.assertEqual(owners(region), balanced)

    def test_jobs_continue_while_pools_move(self):
        # Guards against tasks that run twice or are lost when their pool moves.
        region = start_region(6, balances_pools=False)
        region.run(5.0)
        submissions = []
        for member in region.members.values():
            member.node.timing = attrs.evolve(region.timing, balances_pools=True)
        for number in range(20):
            submissions += self.submit_to_all(region, 0.4, f"j{number}")
            region.run(0.25)
        region.run(6.0)
        self.assertEqual(most_pools(region), 1)
        self.check_jobs(region, submissions)
        self.assertEqual(len(region.backend.starts), 5 * len(submissions))

    def test_new_instance_gets_a_pool_only_after_it_has_been_alive_for_long(self):
        # Guards against pools that are lost again because a restarting instance fails again.
        region = start_region(3)
        region.run(10.0)
        self.submit_to_all(region, 20.0)
        region.add("a-4", "a", "10.0.0.4:7000")
        region.run(region.timing.return_s - 0.2)
        self.assertNotIn("a-4", owners(region).values())
        region.run(2.0)
        self.assertIn("a-4", owners(region).values())

    def test_owner_keeps_its_pool_if_the_message_is_lost_or_late(self):
        # Guards against a receiver that takes servers for complete to which its predecessor, which
        # went on without a reply, has since added others.
        for delay_s in (None, 0.3):
            region = start_region(6)
            handle(region, messages.Resign, lambda target, delay_s=delay_s: delay_s)
            region.run(1.0)
            before = owners(region)
            submissions = self.submit_to_all(region)
            region.run(6.0)
            self.assertEqual(owners(region), before)
            self.check_jobs(region, submissions)

    def test_pool_whose_earlier_servers_are_unknown_stays(self):
        # Guards against a receiver that takes this owner's servers for all that may have runs.
        region = start_region(1, balances_pools=False)
        region.run(2.0)
        node = region.members["a-1"].node
        pool = node.owned_pools["a/r1"]
        self.assertEqual(len(node.handover._movable_pools()), RACKS)
        pool.has_predecessor = True
        self.assertEqual(len(node.handover._movable_pools()), RACKS - 1)
        known = messages.KnownOwner(pool.token - 1, 1, ("s-1", "s-7"))
        pool.predecessors = predecessors.Predecessors([known])
        self.assertEqual(len(node.handover._movable_pools()), RACKS - 1)
        region.run(0.5)
        self.assertEqual(len(node.handover._movable_pools()), RACKS)
        known = attrs.evolve(known, unfenced=("s-unlisted",))
        pool.predecessors = predecessors.Predecessors([known])
        region.run(0.5)
        self.assertEqual(len(node.handover._movable_pools()), RACKS - 1)

    def test_higher_token_wins_if_the_reply_is_lost(self):
        region = start_region(6)
        handle(region, messages.ResignAnswer, lambda target: None)
        submissions = self.submit_to_all(region, 3.0)
        region.run(12.0)
        owned = [len(member.node.owned_pools) for member in region.members.values()]
        self.assertEqual((sum(owned), max(owned)), (RACKS, 1))
        self.check_jobs(region, submissions)

    def test_pool_is_taken_over_if_the_receiver_fails_right_after_the_move(self):
        # Guards against a pool without an owner because its earlier owner rests after the move.
        region = start_region(2)
        region.run(0.5)
        self.assertGreater(most_pools(region), RACKS // 2)
        before = owners(region)
        while owners(region) == before:
            region.run(0.001)
            self.assertLess(region.runtime.now(), 8.0)
        after = owners(region)
        (pool,) = [pool for pool in after if after[pool] != before[pool]]
        region.kill(after[pool])
        region.run(1.0)
        self.assertEqual(owners(region)[pool], before[pool])

    def test_instance_that_shuts_down_gets_no_pool_and_another_one_does(self):
        region = start_region(8)
        stopping = []

        def suspend_first(target):
            if not stopping:
                stopping.append(target.name)
                region.members[target.name].node.takeovers.is_suspended = True
            return 0.0005

        handle(region, messages.Resign, suspend_first)
        region.run(12.0)
        self.assertNotIn(stopping[0], owners(region).values())
        self.assertEqual(most_pools(region), 1)

    def test_owner_that_may_be_isolated_hands_nothing_over(self):
        # Guards against a move to an instance that is on the same side of a partition.
        region = start_region(6)
        region.run(0.3)
        owner = collections.Counter(owners(region).values()).most_common(1)[0][0]
        node = region.members[owner].node
        unused = next(name for name in region.members if name not in owners(region).values())
        region.partition_instances(
            [owner, unused], [name for name in region.members if name not in (owner, unused)]
        )
        region.run(1.0)
        self.assertFalse(node.handover._takes_part(region.runtime.now()))
        self.assertGreater(len(node.owned_pools), 1)


class LateOffers(unittest.TestCase):
    """An owner that shuts down offers its pool to a candidate that gets the message much later."""

    def hand_over(self, region, hold_back):
        """Hand the pool of a region over while its first candidate gets nothing."""
        region.run(3.0)
        owner = region.owner("a")
        node = region.members[owner].node
        first = node.handover.successors("a/r1", True)[0].name
        hold_back(first)
        region.run(0.1)
        region.runtime.call(node.handover.hand_pools_over, True)
        region.kill(owner)
        region.run(0.1)
        self.assertNotIn(region.owner("a"), ("", first))
        return first

    def check_owner_stays(self, region, first):
        """Check that the candidate takes no pool when it gets the messages of the last seconds."""
        owner = region.owner("a")
        token = region.members[owner].node.owned_pools["a/r1"].token
        submission = region.submit(owner, "j1", 4, 3.0, timeout_s=9.0)
        region.run(5.0)
        self.assertEqual(region.owner("a"), owner)
        self.assertEqual(region.members[owner].node.owned_pools["a/r1"].token, token)
        self.assertEqual(submission.outcome, SUCCEEDED)
        self.assertEqual(len(region.backend.starts), 4)
        self.assertNotIn("a/r1", region.members[first].node.owned_pools)

    def test_paused_candidate_does_not_take_the_pool_when_it_continues(self):
        # Guards against an owner that loses its pool because another instance, which stood still,
        # acts on an offer that was meant for it seconds ago.
        for pause_s in (0.3, 0.8, 2.3, 3.0):
            with self.subTest(pause_s=pause_s):
                region = explore_holders.PausableRegion({"a": 3})
                first = self.hand_over(
                    region,
                    lambda name, region=region, pause_s=pause_s: region.pause(name, pause_s),
                )
                self.check_owner_stays(region, first)

    def test_candidate_does_not_take_the_pool_when_a_link_delivers_the_offer_late(self):
        # Guards against the same loss after a partition: TCP delivers what was sent during it.
        for late_s in (0.2, 0.4, 2.0):
            with self.subTest(late_s=late_s):
                region = rerun_region.Region({"a": 3})
                first = self.hand_over(
                    region,
                    lambda name, region=region, late_s=late_s: cut_off(region, name, late_s),
                )
                self.check_owner_stays(region, first)

    def test_offer_is_accepted_only_for_a_short_time(self):
        # Guards against an offer whose age is unknown, because the sender knows no clock of the
        # receiver or another one had its name before.
        region = rerun_region.Region({"a": 2})
        region.run(3.0)
        owner = region.members[region.owner("a")].node
        other = region.members[region.non_owner("a")].node
        offer = owner.owned_pools["a/r1"].reports.resignation(region.runtime.now())
        for age_s in (0.11, 5.0, -0.11, -5.0, float("nan")):
            late = attrs.evolve(offer, sent_s=offer.sent_s - age_s)
            answer = region.runtime.call(other.handover.on_resign, None, late)
            self.assertEqual((answer.is_taken, dict(other.owned_pools)), (False, {}), age_s)
        recent = attrs.evolve(offer, sent_s=offer.sent_s - 0.05)
        self.assertTrue(region.runtime.call(other.handover.on_resign, None, recent).is_taken)


class LateConfirmations(unittest.TestCase):
    def test_paused_candidate_does_not_act_on_what_others_said_before(self):
        # Guards against an owner that loses its pool because another instance stood still after it
        # had asked others, and takes their answers for present ones.
        for pause_s in (0.6, 1.0, 2.0):
            with self.subTest(pause_s=pause_s):
                region = explore_holders.PausableRegion({"a": 3})
                region.run(3.0)
                owner = region.owner("a")
                others = [name for name in region.members if name != owner]
                takeovers = {name: region.members[name].node.takeovers for name in others}
                region.partition_instances([owner], others)
                while not any(each.in_progress for each in takeovers.values()):
                    region.run(0.0002)
                (candidate,) = [name for name in others if takeovers[name].in_progress]
                region.pause(candidate, pause_s)
                region.network.heal()
                region.run(pause_s - 0.01)
                owner = region.owner("a")
                self.assertNotEqual(owner, candidate)
                region.run(5.0)
                self.assertEqual(region.owner("a"), owner)


class EarlierServers(unittest.TestCase):
    """A fresh owner hands its pool over while runs of earlier owners may be left."""

    def test_resignation_right_after_a_takeover(self):
        # Guards against a second run of a task whose first one is on a server that only the owner
        # before the resigning one has reached.
        region = rerun_region.Region({"a": 5})
        region.run(3.0)
        owner = region.owner("a")
        region.submit(region.non_owner("a"), "j1", 1, 5.0, timeout_s=20)
        region.run(0.3)
        server = region.backend.starts[0][2]
        for member in region.members.values():
            member.listed.hidden = {server}
            member.listed.changed()
        region.run(0.05)
        for name in region.members:
            if name != owner:
                region.backend.partitioned.add((name, server))
        region.kill(owner)
        while not region.owner("a"):
            region.run(0.005)
        successor = region.members[region.owner("a")].node
        region.run(0.005)
        region.runtime.spawn(successor.handover.hand_pools_over, True)
        region.run(2.1)
        self.assertEqual(region.backend.violations, [])

    def start_with_unknown_predecessor(self):
        region = rerun_region.Region({"a": 3})
        region.run(3.0)
        node = region.members[region.owner("a")].node
        pool = node.owned_pools["a/r1"]
        pool.owned_since, pool.predecessors = region.runtime.now(), predecessors.Predecessors()
        return region, node, pool

    def submit_with_former_owners(self, region, pool, former_owners):
        """Return whether a job with earlier owners starts at once at the owner of a pool."""
        job_id = f"j{len(pool.jobs)}"
        step = job.Step(1, job.Demand(1000, 64), 5.0)
        work = job.Job(job_id, "tags", rerun_region.SERVICE, "{}", (step,), 0, 3, 9.0, 9.0)
        now, holder = region.runtime.now(), region.members["a-1"].own
        message = messages.Submit(
            "a/r1", 1, now, work, holder, 0.0, (f"{job_id}.0.0.0",), True, True, 0, former_owners
        )
        region.runtime.call(pool.requests.submit, message)
        return pool.may_place(pool.jobs[job_id, 1], now)

    def test_servers_of_an_unknown_owner_stay_unknown_to_the_receiver(self):
        # Guards against a receiver that takes the servers of the last owner, or of those in whose
        # reports it believes, for those of an owner before them.
        region, node, pool = self.start_with_unknown_predecessor()
        region.runtime.call(node.handover.hand_pools_over, True)
        successor = region.members[region.owner("a")].node.owned_pools["a/r1"]
        self.assertIsNot(successor, pool)
        region.run(0.3)
        version = pool.reports.servers_version
        last = messages.FormerOwner(pool.token, version)
        unknown = messages.FormerOwner(pool.token - 1, 1, 0.2)
        for former_owners, starts in (
            (msgspec.UNSET, False),
            ((unknown,), False),
            ((last, unknown), False),
            ((attrs.evolve(last, servers_version=version + 1),), False),
            ((last,), True),
            ((last, attrs.evolve(unknown, age_s=region.timing.holder_lease_end_s + 0.1)), True),
        ):
            with self.subTest(former_owners=former_owners):
                starts_at_once = self.submit_with_former_owners(region, successor, former_owners)
                self.assertEqual(starts_at_once, starts)
        self.assertEqual(
            {owner.token for owner in successor.reports.report().earlier_owners}, {pool.token}
        )

    def test_candidate_that_shuts_down_still_knows_the_owner(self):
        # Guards against an owner that is removed from the view of a candidate that declines.
        region, node, pool = self.start_with_unknown_predecessor()
        candidate = region.members[region.non_owner("a")].node
        candidate.takeovers.is_suspended = True
        answer = candidate.handover.on_resign(None, pool.reports.resignation(region.runtime.now()))
        self.assertFalse(answer.is_taken)
        self.assertEqual(candidate.fleet.claim_of("a/r1").owner.name, node.this_instance.name)

    def test_servers_that_are_gone_delay_no_later_takeover(self):
        # Guards against a pool whose every later takeover delays its tasks, because one predecessor
        # was unknown or used a server that is gone.
        region, node, pool = self.start_with_unknown_predecessor()
        gone = messages.KnownOwner(pool.token - 1, 1, ("s-gone",))
        pool.predecessors = predecessors.Predecessors([gone])
        self.assertEqual(pool.reports.resignation(region.runtime.now()).earlier_owners, (gone,))
        region.run(region.timing.holder_lease_end_s + 0.01)
        resignation = pool.reports.resignation(region.runtime.now())
        self.assertEqual((resignation.earlier_owners, len(resignation.servers)), ((), 3))
        region.runtime.call(node.handover.hand_pools_over, True)
        successor = region.members[region.owner("a")].node.owned_pools["a/r1"]
        region.run(0.3)
        last = messages.FormerOwner(pool.token, pool.reports.servers_version)
        self.assertTrue(self.submit_with_former_owners(region, successor, (last,)))
