"""Requests of full pools for the capacity of others, on the virtual clock."""

import unittest

from rosedyke.observe import metric
from rosedyke.rerunnable_jobs import job, messages, metrics, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)
BALANCED = settings.RerunSettings(balances_data_centres=True)


def start_region(data_centres, timing=BALANCED, seed=1, instances=1):
    """Return a region with one pool of twelve cores in each data centre."""
    sizes = dict.fromkeys(data_centres, instances)
    region = rerun_region.Region(sizes, seed=seed, timing=timing)
    region.run(STARTUP_S)
    return region


def fill(region, data_centre, duration_s, count=12):
    """Run tasks of one core in the pool of a data centre."""
    holder = region.members[region.owner(data_centre)].node.holder
    usual_choice = holder.choose_pools
    holder.choose_pools = lambda work, tasks: {f"{data_centre}/r1": tasks}
    submission = region.submit(region.owner(data_centre), f"{data_centre}-full", count, duration_s)
    region.run(0.02)
    holder.choose_pools = usual_choice
    return submission


def starts_in(region, data_centre, since):
    """Return the jobs that started in a data centre."""
    return {
        job.job_id(task)
        for at, task, server_id in region.backend.starts
        if at > since and server_id.startswith(f"s-{data_centre}-")
    }


def owners_asked(region, since):
    """Return when each owner was asked for free capacity."""
    return [
        (at, target)
        for at, _, target, message in region.network.log
        if at >= since and isinstance(message, messages.CapacityRequest)
    ]


class SeveralOwners(unittest.TestCase):
    """Tasks wait in a full pool."""

    def wait_in_full_pool(self, region, count=4):
        """Submit a job to the full pool of data centre ``a``, whose holder knows no other pool."""
        node = region.members["a-1"].node
        node.holder.choose_pools = lambda work, tasks: {"a/r1": tasks}
        return region.submit("a-1", "j1", count, 0.1)

    def test_task_moves_as_soon_as_any_pool_gets_free_capacity(self):
        # Guards against a full pool that asks one of two full pools, and not the one whose runs
        # end first; with one owner asked at a time, 50 of these seeds fail.
        for seed in range(1, 121):
            region = start_region("abc", seed=seed)
            for data_centre, duration_s in (("a", 1.0), ("b", 0.2), ("c", 1.0)):
                fill(region, data_centre, duration_s)
            started_at = region.runtime.now()
            submission = self.wait_in_full_pool(region)
            region.run(0.32)
            self.assertEqual(submission.outcome, DONE, seed)
            self.assertLess(submission.ended_at - started_at, 0.2 + 0.1 + 0.01, seed)
            self.assertEqual(region.backend.violations, [])

    def test_offers_of_two_owners_move_each_task_once(self):
        # Guards against a task that is moved to two pools, and runs twice.
        region = start_region("abc")
        fill(region, "a", 1.0)
        metric.counts.clear()
        since = region.runtime.now()
        submission = self.wait_in_full_pool(region, 16)
        region.run(0.3)
        self.assertEqual(submission.outcome, DONE)
        self.assertEqual({target for _, target in owners_asked(region, since)}, {"b-1", "c-1"})
        self.assertEqual(metric.counts[metrics.TASKS_RELEASED.name], 16)
        tasks = [task for at, task, _ in region.backend.starts if at > since]
        self.assertEqual((len(tasks), len(set(tasks))), (16, 16))
        self.assertEqual(region.backend.violations, [])

    def test_owner_that_does_not_answer_is_not_asked_alone_again(self):
        # Guards against a task that waits for the offer of an owner that has failed since its
        # last report.
        for silent in "bc":
            region = start_region("abc")
            fill(region, "a", 1.0)
            region.kill(f"{silent}-1")
            since = region.runtime.now()
            submission = self.wait_in_full_pool(region, 1)
            region.run(0.25)
            self.assertEqual(submission.outcome, DONE)
            self.assertLess(submission.duration_s, 0.2)
            self.assertLessEqual(len(owners_asked(region, since)), 4)

    def test_one_owner_is_asked_while_it_has_enough(self):
        # Guards against more messages where one owner is enough, and with the switch off.
        for timing in (BALANCED, settings.RerunSettings()):
            region = start_region("abcd", timing)
            fill(region, "a", 1.0)
            since = region.runtime.now()
            self.wait_in_full_pool(region, 12 if timing is BALANCED else 24)
            region.run(0.001)
            self.assertEqual(len(owners_asked(region, since)), 1)

    def test_evacuated_pools_are_not_asked(self):
        # Guards against tasks that are moved to servers that must become empty.
        region = start_region("abc")
        region.evacuate("b")
        fill(region, "a", 1.0)
        since = region.runtime.now()
        submission = self.wait_in_full_pool(region, 16)
        region.run(0.5)
        self.assertEqual(submission.outcome, DONE)
        self.assertEqual({target for _, target in owners_asked(region, since)}, {"c-1"})
        self.assertEqual(starts_in(region, "b", since), set())

    def test_tasks_wait_or_move_locally_while_the_other_data_centre_is_cut_off(self):
        # Guards against an owner that keeps asking owners that it cannot reach.
        region = start_region("abc")
        fill(region, "a", 0.3)
        fill(region, "c", 0.5)
        region.partition_instances(["a-1", "c-1"], ["b-1"])
        region.backend.partitioned = {
            (instance, server.listed.id)
            for instance in region.members
            for server in region.backend.servers.values()
            if (instance == "b-1") != (server.listed.data_centre == "b")
        }
        since = region.runtime.now()
        submission = self.wait_in_full_pool(region)
        region.run(1.0)
        self.assertEqual(submission.outcome, DONE)
        self.assertLess(submission.duration_s, 0.3 + 0.1 + 0.05)
        self.assertEqual(starts_in(region, "b", since), set())
        self.assertEqual(region.backend.violations, [])
