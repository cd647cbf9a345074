import unittest

from rosedyke.scheduling import queue_order


def queued(key, arrived_at, estimate_s, objective_s, priority=0, fastest=1.0, **fields):
    latest_start = arrived_at + objective_s - estimate_s / fastest
    return queue_order.QueuedJob(key, "q", priority, latest_start, False, **fields)


def ordered(jobs, now, is_under_pressure=False):
    return [job.key for job in queue_order.order_jobs(jobs, now, is_under_pressure)]


class QueueOrder(unittest.TestCase):
    def test_short_jobs_start_before_long_ones_with_slack(self):
        jobs = [queued("long", 0.0, 0.9, 1.5), queued("short", 0.1, 0.06, 0.16)]
        self.assertEqual(ordered(jobs, 0.1), ["short", "long"])

    def test_late_jobs_start_after_those_that_can_meet_their_objective(self):
        jobs = [queued("late", 0.0, 0.06, 0.16), queued("fresh", 0.9, 0.2, 0.4)]
        self.assertEqual(ordered(jobs, 1.0), ["fresh", "late"])

    def test_late_jobs_are_ordered_by_priority(self):
        jobs = [queued("first", 0.0, 0.06, 0.16, 2), queued("second", 0.1, 0.06, 0.16, 0)]
        self.assertEqual(ordered(jobs, 5.0), ["second", "first"])

    def test_job_that_the_fastest_server_can_finish_in_time_is_not_late(self):
        # Guards against deferring a job that would be in time on a server twice as fast.
        for fastest, expected in ((2.0, ["tight", "fresh"]), (1.0, ["fresh", "tight"])):
            jobs = [
                queued("fresh", 0.2, 0.2, 0.5, fastest=fastest),
                queued("tight", 0.0, 0.3, 0.4, fastest=fastest),
            ]
            self.assertEqual(ordered(jobs, 0.2), expected)


class OrderUnderPressure(unittest.TestCase):
    def test_priority_0_comes_first_only_under_pressure_and_only_if_in_time(self):
        # Guards against urgent jobs behind long ones that have waited until their latest start.
        jobs = [queued("long", 0.0, 0.9, 1.0, 2), queued("urgent", 0.0, 0.06, 0.2)]
        self.assertEqual(ordered(jobs, 0.05), ["long", "urgent"])
        self.assertEqual(ordered(jobs, 0.05, True), ["urgent", "long"])
        late = queued("late", -1.0, 0.06, 0.2)
        self.assertEqual(ordered([late, *jobs], 0.05, True), ["urgent", "long", "late"])

    def test_started_jobs_come_first_within_their_group(self):
        # Guards against many jobs that are all begun and none complete.
        jobs = [
            queue_order.QueuedJob("new", "q", 1, 1.0, False),
            queue_order.QueuedJob("started", "q", 2, 2.0, True),
            queue_order.QueuedJob("urgent", "q", 0, 3.0, False),
        ]
        self.assertEqual(ordered(jobs, 0.0, True), ["urgent", "started", "new"])


class OrderWhileTheLinkIsTheLimit(unittest.TestCase):
    def test_started_jobs_come_first_although_they_are_late(self):
        # Guards against jobs that become late between two of their start commands and never end,
        # because each new job that is in time is started before the rest of them.
        jobs = [
            queue_order.QueuedJob("late", "q", 0, -1.0, False),
            queue_order.QueuedJob("new", "q", 0, 1.0, False),
            queue_order.QueuedJob("begun", "q", 2, -0.5, True),
        ]
        for is_link_limit, expected in ((True, "begun new late"), (False, "new late begun")):
            result = queue_order.order_jobs(jobs, 0.0, is_link_limit=is_link_limit)
            self.assertEqual([each.key for each in result], expected.split())


class FairShares(unittest.TestCase):
    def order(self, used, jobs):
        return [job.key for job in queue_order.order_jobs(jobs, 0.0, True, used)]

    def test_queues_of_one_priority_take_turns_by_their_usage(self):
        # Guards against a queue that floods the pool and leaves nothing to another one.
        flood = [queue_order.QueuedJob(f"f{n}", "flood", 1, 1 + n, False, 10) for n in range(4)]
        other = [queue_order.QueuedJob(f"o{n}", "other", 1, 9 + n, False, 10) for n in range(2)]
        jobs = flood + other
        self.assertEqual(self.order({"flood": 15}, jobs), ["o0", "o1", "f0", "f1", "f2", "f3"])
        self.assertEqual(self.order({"other": 15}, jobs)[:4], ["f0", "f1", "o0", "f2"])

    def test_shares_change_nothing_between_priorities_and_groups(self):
        jobs = [
            queue_order.QueuedJob("late", "a", 1, -1.0, False, 10),
            queue_order.QueuedJob("urgent", "b", 0, 5.0, False, 10),
            queue_order.QueuedJob("long", "c", 2, 1.0, False, 10),
            queue_order.QueuedJob("started", "d", 1, 2.0, True, 10),
            queue_order.QueuedJob("new", "e", 1, 0.5, False, 10),
        ]
        expected = ["urgent", "started", "new", "long", "late"]
        self.assertEqual(self.order({"b": 99, "d": 99, "e": 99}, jobs), expected)
