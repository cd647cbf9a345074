import unittest

import attrs

from rosedyke.rerunnable_jobs import job
from rosedyke.standins import rerun_region

SMALL_CORES = 0.12
SERVERS = 32
SPLITS = {"a/r1": 4}
SUCCEEDED = job.Outcome(job.EndState.SUCCEEDED)
STORE_DELAY_S = 0.05
STARTUP_S = 4.0


class FakeRecord:
    """The record in the platform's store, which instances create and watch as the adapter does."""

    def __init__(self, region):
        self.region = region
        self.content = None
        self.is_reachable = True
        self.attempts = self.created = 0

    def serve(self, member):
        """Let an instance read the record and create it."""
        self.region.runtime.spawn(self._serve, member)

    def _serve(self, member):
        while member.listed.known_splits is None:
            self.region.runtime.sleep(0.2)
            if not self.is_reachable:
                continue
            if self.content is not None:
                member.listed.set_splits(self.content)
                return
            proposal = member.node.rack_splitting.proposal()
            if proposal is not None:
                self.attempts += 1
                self.region.runtime.sleep(STORE_DELAY_S)
                if self.content is None:
                    self.created += 1
                    self.content = proposal


class Fleet(unittest.TestCase):
    def start(self, instances=6, cores=SMALL_CORES, last_cores=SMALL_CORES, is_reachable=True):
        """Start instances in one data centre with one rack."""
        self.region = rerun_region.Region({"a": 0}, servers=SERVERS)
        self.record = FakeRecord(self.region)
        self.record.is_reachable = is_reachable
        for number in range(1, instances + 1):
            self.add(number, last_cores if number == instances else cores)

    def add(self, number, cores=SMALL_CORES):
        self.region.timing = attrs.evolve(self.region.timing, balances_pools=cores < 0.25)
        name, address = f"a-{number}", f"10.0.0.{number}:7000"
        self.record.serve(self.region.add(name, "a", address, cores=cores, splits=None))

    def owners(self):
        """Return the owner of each pool; fails if two instances own one."""
        claims = [
            (pool, name)
            for name, member in self.region.members.items()
            for pool in member.node.owned_pools
        ]
        self.assertEqual(len(claims), len(dict(claims)))
        return dict(claims)

    def submit_to_all(self, prefix, duration_s=0.4, count=8):
        return [
            self.region.submit(name, f"{prefix}-{name}", count, duration_s, timeout_s=9.0)
            for name in self.region.members
        ]

    def check(self, submissions):
        self.assertEqual({submission.outcome for submission in submissions}, {SUCCEEDED})
        self.assertEqual(self.region.backend.violations, [])


class Start(Fleet):
    """A fleet of small instances starts with one rack of 32 servers."""

    def test_pools_of_a_large_rack_are_on_several_instances(self):
        # Guards against one owner that sends all start commands while the others are idle.
        self.start()
        self.region.run(STARTUP_S)
        self.assertEqual(self.record.content, SPLITS)
        self.region.run(8.0)
        owners = self.owners()
        self.assertEqual(set(owners), {f"a/r1#{number}" for number in range(4)})
        self.assertEqual(len(set(owners.values())), 4)
        submissions = self.submit_to_all("j", count=16)
        self.region.run(2.0)
        self.check(submissions)

    def test_one_of_two_readers_creates_the_record(self):
        self.start()
        self.region.run(STARTUP_S)
        self.assertEqual((self.record.attempts, self.record.created), (2, 1))

    def test_loss_of_an_owner_is_taken_over(self):
        self.start()
        self.region.run(10.0)
        pool, lost = min(self.owners().items())
        submissions = [
            self.region.submit(name, f"j-{name}", 16, 1.5, timeout_s=9.0)
            for name in self.region.members
            if name != lost
        ]
        self.region.run(0.3)
        self.region.kill(lost)
        self.region.run(5.0)
        self.assertIn(pool, self.owners())
        self.check(submissions)

    def test_pools_are_racks_if_one_instance_is_large(self):
        # Guards against new names in a fleet that needs none, and against its waiting for them.
        self.start(last_cores=1.0)
        self.region.run(1.0)
        self.assertEqual(self.owners(), {"a/r1": "a-6"})
        self.region.run(6.0)
        self.assertEqual((set(self.owners()), self.record.attempts), ({"a/r1"}, 0))

    def test_large_instances_do_not_wait(self):
        self.start(cores=1.0, last_cores=1.0)
        self.region.run(1.0)
        self.assertEqual((set(self.owners()), self.record.attempts), ({"a/r1"}, 0))

    def test_instance_that_joins_a_running_fleet_creates_no_record(self):
        self.start(is_reachable=False)
        self.region.run(6.0)
        self.record.is_reachable = True
        self.add(7)
        self.region.run(6.0)
        self.assertEqual((set(self.owners()), self.record.attempts), ({"a/r1"}, 0))


class LateRecord(Fleet):
    """The store goes away between the lists and the record, and returns with a record."""

    def setUp(self):
        self.start(is_reachable=False)
        self.region.run(3.9)
        self.assertEqual(self.owners(), {})
        self.region.run(1.0)
        self.assertEqual(set(self.owners()), {"a/r1"})

    def announce(self, interval_s):
        """Let one instance after the other know the record."""
        for member in list(self.region.members.values()):
            member.listed.set_splits(SPLITS)
            self.region.run(interval_s)

    def check_jobs_through_change(self, interval_s):
        """Jobs that are lost are submitted again, each to another instance, as callers do."""
        submissions = self.submit_to_all("j", duration_s=2.5)
        self.region.run(1.2)
        self.announce(interval_s)
        self.region.run(1.0)
        lost = [submission.outcome is not None for submission in submissions]
        self.assertTrue(any(lost))
        ends = {submission.outcome.end for submission in submissions if submission.outcome}
        self.assertLessEqual(ends, {job.EndState.SUCCEEDED, job.EndState.LOST})
        self.region.run(self.region.timing.resubmit_s)
        names = list(self.region.members)
        again = [
            self.region.submit(name, f"j-{names[index - 1]}", 8, 2.5, timeout_s=9.0)
            for index, name in enumerate(names)
            if lost[index - 1]
        ]
        later = self.submit_to_all("k")
        self.region.run(9.0)
        self.check(again + later)
        self.assertEqual(set(self.owners()), {f"a/r1#{number}" for number in range(4)})

    def test_names_change_at_once_everywhere(self):
        self.check_jobs_through_change(0.0)

    def test_names_change_at_one_instance_after_the_other(self):
        # Guards against two owners of a server of which one does not know the record yet.
        self.check_jobs_through_change(0.3)

    def test_owner_learns_of_the_record_last(self):
        owner = self.owners()["a/r1"]
        members = self.region.members
        members[owner] = members.pop(owner)
        self.check_jobs_through_change(0.3)

    def test_owner_learns_of_the_record_first(self):
        owner = self.owners()["a/r1"]
        members = self.region.members
        self.region.members = {owner: members.pop(owner), **members}
        self.check_jobs_through_change(0.3)

    def test_token_of_a_new_name_is_above_the_former_one(self):
        # Guards against a delayed command of the former owner that a server accepts.
        owner = self.owners()["a/r1"]
        node = self.region.members[owner].node
        former = node.owned_pools["a/r1"].token + (5 << 24)
        node.fleet.highest_tokens["a/r1"] = former
        self.region.members[owner].listed.set_splits(SPLITS)
        node.claim_pool("a/r1", "a delayed takeover")
        node.claim_pool("a/r1#0", "it has no owner")
        self.assertEqual(list(node.owned_pools), ["a/r1#0"])
        self.assertGreater(node.owned_pools["a/r1#0"].token, former)
        self.assertTrue(node.owned_pools["a/r1#0"].has_predecessor)

    def test_former_owner_that_is_lost_is_forgotten(self):
        # Guards against renewals forever with an owner of a name that nobody takes over.
        owner = self.owners()["a/r1"]
        self.region.kill(owner)
        self.announce(0.0)
        self.region.run(2.0)
        for member in self.region.members.values():
            member.listed.changed()
            self.assertNotIn("a/r1", member.node.fleet.owners)
