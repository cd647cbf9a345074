import collections
import heapq
import unittest

import hypothesis
from hypothesis import strategies

from rosedyke.scheduling import queue_order, shares


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

    def test_places_follow_the_weights(self):
        jobs = [
            queue_order.QueuedJob((queue, n), queue, 1, 1 + n, False, 10)
            for queue in ("light", "heavy", "other")
            for n in range(100)
        ]
        weights = {"heavy": shares.QueueShare(3.0)}
        result = queue_order.order_jobs(jobs, 0.0, True, {}, False, weights, 1000)
        counts = collections.Counter(queued.queue for queued in result[:100])
        self.assertEqual(counts, {"heavy": 60, "light": 20, "other": 20})

    def test_limits_bound_the_share_of_the_places(self):
        # Guards against a prediction for the other queues that ignores the limit.
        jobs = [
            queue_order.QueuedJob((queue, n), queue, 1, 1 + n, False, 10)
            for queue in ("bounded", "other")
            for n in range(40)
        ]
        limits = {"bounded": shares.QueueShare(1000.0, 0.25)}
        result = queue_order.order_jobs(jobs, 0.0, True, {"bounded": 20}, False, limits, 100)
        self.assertEqual(set(result), set(jobs))
        for places in (8, 18, 48):
            counts = collections.Counter(queued.queue for queued in result[:places])
            # The running 20 count as well.
            share = 0.25 * (20 + 10 * places)
            self.assertAlmostEqual(20 + 10 * counts["bounded"], share, delta=10)
        for queue in ("bounded", "other"):
            own = [queued.key for queued in result if queued.queue == queue]
            self.assertEqual(own, sorted(own))


def order_with_equal_weights(ordered, group, used_by_queue):
    """Return the order of the version before weights existed."""
    queues = {}
    for queued in reversed(ordered):
        by_queue = queues.setdefault((group(queued), queued.priority), {})
        by_queue.setdefault(queued.queue, []).append(queued)
    used, heaps, result = dict(used_by_queue), {}, []
    for place in ordered:
        turn = (group(place), place.priority)
        by_queue = queues[turn]
        if len(by_queue) == 1:
            queued = by_queue[place.queue].pop()
        else:
            if turn not in heaps:
                heaps[turn] = [(used.get(queue, 0), queue) for queue in sorted(by_queue)]
                heapq.heapify(heaps[turn])
            queue = heaps[turn][0][1]
            queued = by_queue[queue].pop()
            if by_queue[queue]:
                usage = heaps[turn][0][0] + queued.millicores
                heapq.heapreplace(heaps[turn], (usage, queue))
            else:
                heapq.heappop(heaps[turn])
        used[queued.queue] = used.get(queued.queue, 0) + queued.millicores
        result.append(queued)
    return result


JOBS = strategies.lists(
    strategies.builds(
        queue_order.QueuedJob,
        strategies.integers(),
        strategies.sampled_from("abcd"),
        strategies.integers(0, 2),
        strategies.floats(-1, 1),
        strategies.booleans(),
        strategies.integers(0, 50_000),
    ),
    max_size=40,
)
USED = strategies.dictionaries(strategies.sampled_from("abcd"), strategies.integers(0, 500_000))
SHARES = strategies.dictionaries(
    strategies.sampled_from("abcd"),
    strategies.builds(
        shares.QueueShare, strategies.floats(0.001, 1000), strategies.floats(0.001, 1)
    ),
)


class Defaults(unittest.TestCase):
    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(JOBS, USED, strategies.booleans(), strategies.booleans())
    def test_order_without_shares_is_that_of_the_version_before(self, jobs, used, urgent, link):
        # Guards against another order in deployments that set no shares.
        def group(queued):
            is_late = queued.latest_start < 0.0
            rank = min(queued.priority, 1) if urgent else 0
            if link and queued.has_started:
                return (False, -1, False)
            return (is_late, queued.priority if is_late else rank, not queued.has_started)

        ordered = sorted(jobs, key=lambda queued: (*group(queued), queued.latest_start))
        expected = order_with_equal_weights(ordered, group, used)
        for queue_shares in (None, {}, {"a": shares.DEFAULT}):
            result = queue_order.order_jobs(jobs, 0.0, urgent, used, link, queue_shares, 9)
            self.assertEqual(list(map(id, result)), list(map(id, expected)))
        self.assertEqual(queue_order.order_jobs(jobs, 0.0, urgent, None, link, {}), ordered)

    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(JOBS, USED, SHARES, strategies.integers(0, 900_000))
    def test_shares_keep_every_job_and_the_order_of_priorities(self, jobs, used, weights, capacity):
        # Guards against jobs that are lost or doubled, and against a weight that beats a priority.
        result = queue_order.order_jobs(jobs, 0.0, True, used, False, weights, capacity)
        self.assertCountEqual(map(id, result), map(id, jobs))
        unlimited = {queue: shares.QueueShare(share.weight) for queue, share in weights.items()}
        result = queue_order.order_jobs(jobs, 0.0, True, used, False, unlimited, capacity)
        expected = queue_order.order_jobs(jobs, 0.0, True)
        self.assertEqual([job.priority for job in result], [job.priority for job in expected])
