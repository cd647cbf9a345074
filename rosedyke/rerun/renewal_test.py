import collections
import unittest

from rosedyke.rerun import job, messages
from rosedyke.standins import rerun_region

DONE = job.Outcome(job.End.SUCCEEDED)


def renewals_per_s(region, seconds):
    """Return how many renewals each instance is sent a second."""
    sent = collections.Counter()
    delay = region.network.delay_s

    def count(source, target, message):
        if isinstance(message, messages.Renew):
            sent[target.name] += 1
        return delay(source, target, message)

    region.network.delay_s = count
    region.run(seconds)
    region.network.delay_s = delay
    return {name: number / seconds for name, number in sent.items()}


class LargeFleet(unittest.TestCase):
    def test_owner_without_jobs_is_not_asked_more_by_a_larger_fleet(self):
        # Every instance spends a tenth of its processor on renewals while nothing runs.  All
        # 45 renewed with each owner near them every 0.1 s and with all others every 0.3 s.
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        sent = renewals_per_s(region, 3.0)
        self.assertLess(max(sent.values()), 100)
        self.assertLess(sum(sent.values()), 45 * 50)

    def test_watchers_notice_a_lost_owner_within_a_second(self):
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        region.kill(region.owner("a"))
        killed_at = region.runtime.now()
        held = region.submit("a-7", "j1", duration_s=0.1)
        region.run(2.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))
        self.assertLess(held.ended_at - killed_at, 1.0)

    def test_pool_is_taken_though_its_owner_and_all_watchers_are_lost(self):
        # The pool stands still for ever if only the watchers may take it.
        region = rerun_region.Region({"a": 15, "b": 3})
        region.run(3.0)
        owner = region.owner("a")
        watchers = [
            name
            for name, one in region.members.items()
            if name != owner
            and one.node.takeovers.is_watcher("a/r1", one.node.fleet.claim_of("a/r1"))
        ]
        self.assertEqual(len(watchers), 4)
        for name in (owner, *watchers):
            region.kill(name)
        region.run(3.0)
        self.assertTrue(region.owner("a").startswith("a-"))
        held = region.submit(region.other("a"), "j1", duration_s=0.1)
        region.run(1.0)
        self.assertEqual((held.outcome, region.world.violations), (DONE, []))

    def test_living_owner_is_not_suspected(self):
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        asked = []
        region.network.delay_s = lambda source, target, message, usual=region.network.delay_s: (
            asked.append(message) or usual(source, target, message)
            if isinstance(message, messages.ContactAgeQuery)
            else usual(source, target, message)
        )
        region.run(5.0)
        self.assertEqual(asked, [])

    def test_few_instances_of_other_data_centres_listen_to_an_owner(self):
        # Every instance asked every owner for its report three times a second, though hardly any
        # would take the pool or hand it a job: most of what an idle instance cost.
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15})
        region.run(3.0)
        far = [
            name
            for name, one in region.members.items()
            if one.own.data_centre != "a" and one.node.takeovers.is_candidate("a/r1")
        ]
        self.assertGreaterEqual(len(far), 2)
        self.assertLessEqual(len(far), 6)
        sent = renewals_per_s(region, 3.0)
        self.assertLess(sum(sent.values()), 45 * 10)

    def test_every_instance_serves_a_service_that_only_another_data_centre_runs(self):
        # Callers are refused by instances that follow no pool of the service.
        region = rerun_region.Region({"a": 15, "b": 15})
        for number in range(3):
            del region.world.servers[f"s-a-{number}"]
        region.run(3.0)
        names = [name for name in region.members if name.startswith("a")]
        held = [region.submit(name, f"j-{name}", duration_s=0.05) for name in names]
        region.run(2.0)
        self.assertEqual({one.outcome for one in held}, {DONE})

    def test_pool_of_a_lost_data_centre_is_taken_by_another_one(self):
        # The servers of a data centre stand still for ever if all its instances are lost and
        # those that listen to them elsewhere are not the ones that may take the pool.
        region = rerun_region.Region({"a": 3, "b": 15, "c": 15})
        region.run(3.0)
        for name in [name for name in region.members if name.startswith("a")]:
            region.kill(name)
        region.run(6.0)
        self.assertNotEqual(region.owner("a"), "")


class Holders(unittest.TestCase):
    def test_owner_is_renewed_four_times_a_second_by_each_holder_of_a_large_fleet(self):
        # Guards against an owner that spends its processor on renewals: with 45 holders of jobs
        # there are 44 for each time that a holder renews.
        region = rerun_region.Region({"a": 15, "b": 15, "c": 15}, servers=6)
        region.run(3.0)
        runs = [
            region.submit(name, f"job-{number}", duration_s=4.0, timeout_s=9)
            for number, name in enumerate(region.members)
        ]
        region.run(0.5)
        owners = {region.owner(data_centre) for data_centre in "abc"}
        holders = [len(each.node.holder.owners() - {name}) for name, each in region.members.items()]
        sent = renewals_per_s(region, 2.0)
        watchers = 4 * len(owners)
        self.assertLess(sum(sent[owner] for owner in owners), 4 * (sum(holders) + watchers))
        region.run(3.0)
        self.assertEqual({run.outcome for run in runs}, {DONE})

    def test_end_of_a_job_tells_its_holder_of_the_room_in_the_pool(self):
        # Guards against jobs that are sent to a full pool: the holder's last report is from before
        # the pool was filled.
        region = rerun_region.Region({"a": 2})
        region.run(1.5)
        holder = region.members[region.other("a")].node
        holder.renewal.renew = lambda instance: None
        region.submit(holder.own.name, "long", 6, 0.4)
        region.submit(holder.own.name, "short", 3, 0.05)
        region.run(0.1)
        report = holder.fleet.owners["a/r1"].report
        self.assertEqual(sum(free for free, _ in report.rooms), 6000)
