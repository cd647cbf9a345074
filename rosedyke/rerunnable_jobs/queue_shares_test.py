import collections
import unittest

from rosedyke.observe import metric
from rosedyke.rerunnable_jobs import job, metrics, queue_shares, settings
from rosedyke.scheduling import shares
from rosedyke.standins import rerun_region

STARTUP_S = 2.5
CORES = 12
DONE = job.EndState.SUCCEEDED


def new_region(queues, sizes=None, **switches):
    switches = {"schedules_by_kind": True, **switches}
    timing = settings.RerunSettings(queue_shares=queues, **switches)
    region = rerun_region.Region(sizes or {"a": 1}, timing=timing)
    region.run(STARTUP_S)
    return region


class Load(unittest.TestCase):
    """Plays load of several queues."""

    def setUp(self):
        self.addCleanup(metric.labelled_gauges.clear)
        self.numbers = collections.Counter()
        self.submissions = collections.defaultdict(list)

    def play(self, region, seconds, rates, duration_s=0.2, count=1, name="a-1", **fields):
        """Submit jobs of each queue at a rate a second, and return the starts by queue."""
        before = len(region.backend.starts)
        due = collections.Counter()
        for _ in range(round(seconds / 0.02)):
            for queue, rate in rates.items():
                due[queue] += rate * 0.02
                while due[queue] >= 1:
                    due[queue] -= 1
                    self.submit(region, queue, duration_s, count, name, **fields)
            region.run(0.02)
        return collections.Counter(
            task.split("-")[0] for _, task, _ in region.backend.starts[before:]
        )

    def submit(self, region, queue, duration_s=0.2, count=1, name="a-1", **fields):
        number = self.numbers[queue] = self.numbers[queue] + 1
        fields = {"timeout_s": 30.0, "objective_s": 25.0, **fields}
        submission = region.submit(
            name, f"{queue}-{number}", count, duration_s, queue=queue, **fields
        )
        self.submissions[queue].append(submission)
        return submission

    def running(self, region, queue):
        owner = region.members["a-1"].node.owned_pools["a/r1"]
        return sum(
            run.owned.work.queue == queue
            for state in owner.server_states.values()
            for run in state.runs.values()
        )


class SharesUnderPressure(Load):
    def test_weight_of_three_gets_three_times_the_places(self):
        # Guards against weights that change only the order of jobs and not what is served.
        region = new_region({"heavy": shares.QueueShare(3.0)})
        rates = {"heavy": 90, "light": 90}
        self.play(region, 0.5, rates)
        starts = self.play(region, 3.0, rates)
        self.assertAlmostEqual(starts["heavy"] / starts["light"], 3.0, delta=0.3)
        self.assertEqual(region.backend.violations, [])

    def test_smallest_weight_does_not_starve(self):
        # Guards against a queue that never gets a place beside one that floods the pool.
        region = new_region({"big": shares.QueueShare(1000), "small": shares.QueueShare(0.001)})
        self.play(region, 1.0, {"big": 150})
        small = self.submit(region, "small")
        self.play(region, 2.0, {"big": 150})
        self.assertEqual(small.outcome.end, DONE)

    def test_limit_holds_under_pressure_and_lends_what_nobody_else_wants(self):
        limits = {"bounded": shares.QueueShare(1000.0, 0.25)}
        region = new_region(limits)
        self.play(region, 0.6, {"bounded": 90, "other": 90})
        for _ in range(20):
            self.play(region, 0.06, {"bounded": 90, "other": 90})
            self.assertEqual(self.running(region, "bounded"), 3)
            self.assertEqual(self.running(region, "other"), CORES - 3)
        region.run(0.3)
        gauges = metric.labelled_gauges
        self.assertEqual(gauges[metrics.QUEUE_USED.name], {"bounded": 3000, "other": 9000})
        self.assertGreater(gauges[metrics.QUEUE_AT_LIMIT.name]["bounded"], 50)
        # The other queue's jobs are complete after a while, and no capacity stays idle then.
        while any(each.outcome is None for each in self.submissions["other"]):
            region.run(0.01)
        region.run(0.1)
        self.assertEqual(self.running(region, "bounded"), CORES)
        region.run(0.3)
        self.assertEqual(gauges[metrics.QUEUE_BORROWS.name], {"bounded": 1})
        # The lent capacity returns as its runs end.
        self.play(region, 0.5, {"other": 90})
        self.assertEqual(self.running(region, "bounded"), 3)
        self.assertEqual(region.backend.violations, [])

    def test_limit_holds_for_tasks_that_are_placed_at_the_same_time(self):
        # Guards against a wide job that fills a pool at once because its queue used nothing before.
        region = new_region({"bounded": shares.QueueShare(1000.0, 0.25)})
        owner = region.members["a-1"].node.owned_pools["a/r1"]
        owner.may_place = lambda *arguments: False
        self.submit(region, "bounded", count=12)
        self.submit(region, "other", count=24)
        region.run(0.02)
        del owner.may_place
        region.run(0.1)
        counts = [self.running(region, queue) for queue in ("bounded", "other")]
        self.assertEqual(counts, [3, CORES - 3])

    def test_pieces_that_are_too_small_for_other_queues_are_not_lent(self):
        # Guards against a queue at its limit that takes each core that becomes free, so that a
        # task of four cores never fits.
        region = new_region({"bounded": shares.QueueShare(1000.0, 0.25)})
        self.play(region, 1.0, {"bounded": 90})
        large = job.Step(1, job.Demand(4000, 64), 0.2)
        region.backend.durations["large"] = 0.2
        work = job.Job("large", "other", rerun_region.SERVICE, "", (large,), 0, 3, 20.0, 25.0)
        outcomes = []
        node = region.members["a-1"].node
        region.runtime.spawn(lambda: outcomes.append(node.run(work, region.runtime.signal())))
        self.play(region, 1.0, {"bounded": 90})
        self.assertEqual([outcome.end for outcome in outcomes], [DONE])

    def test_task_that_fits_on_no_server_leaves_no_capacity_idle(self):
        # Guards against a pool that idles until a job that it can never run is refused.
        region = new_region({"bounded": shares.QueueShare(1.0, 0.25)})
        huge = job.Step(1, job.Demand(9000, 64), 0.2)
        work = job.Job("huge", "other", rerun_region.SERVICE, "", (huge,), 0, 3, 20.0, 25.0)
        node = region.members["a-1"].node
        region.runtime.spawn(node.run, work, region.runtime.signal())
        self.play(region, 0.6, {"bounded": 90})
        self.assertEqual(self.running(region, "bounded"), CORES)

    def test_shares_take_effect_with_scheduling_by_kind_only(self):
        # Guards against new behaviour in deployments that did not switch it on.
        starts = []
        for queues in ({}, {"heavy": shares.QueueShare(3.0), "light": shares.QueueShare(1, 0.1)}):
            region = new_region(queues, schedules_by_kind=False)
            self.numbers.clear()
            self.play(region, 1.0, {"heavy": 90, "light": 90})
            starts.append(region.backend.starts)
        self.assertEqual(starts[0], starts[1])

    def test_priority_0_comes_before_any_weight(self):
        # Guards against a weight that lets less urgent work delay priority 0.
        region = new_region({"long": shares.QueueShare(1000.0), "urgent": shares.QueueShare(0.001)})
        self.play(region, 1.0, {"long": 40}, 0.9, priority=2)
        urgent = [self.submit(region, "urgent", 0.05) for _ in range(6)]
        region.run(0.95)
        self.assertEqual([each.outcome and each.outcome.end for each in urgent], [DONE] * 6)


class UrgentTasksBesideLargeOnes(Load):
    """Priority 0 has tasks of three cores, on servers of four."""

    def submit_sized(self, region, queue, priority, cores, count=1, duration_s=0.2):
        number = self.numbers[queue] = self.numbers[queue] + 1
        job_id = f"{queue}-{number}"
        region.backend.durations[job_id] = duration_s
        step = job.Step(count, job.Demand(1000 * cores, 64), duration_s)
        work = job.Job(job_id, queue, rerun_region.SERVICE, "", (step,), priority, 3, 25.0, 28.0)
        region.runtime.spawn(region.members["a-1"].node.run, work, region.runtime.signal())

    def test_servers_are_kept_only_for_tasks_that_the_limit_allows(self):
        # Guards against half of a pool that is kept, and idle, for tasks that must wait anyway.
        for limit, expected in ((1.0, 4), (0.2, 2), (0.1, 1)):
            timing = settings.RerunSettings(
                schedules_by_kind=True, queue_shares={"urgent": shares.QueueShare(limit=limit)}
            )
            region = rerun_region.Region({"a": 1}, 8, timing=timing)
            region.run(STARTUP_S)
            self.submit_sized(region, "small", 1, 1, 40, 0.9)
            region.run(0.02)
            self.submit_sized(region, "urgent", 0, 3, 4)
            region.run(0.02)
            scheduler = region.members["a-1"].node.owned_pools["a/r1"].task_scheduler
            self.assertEqual(scheduler.kept_servers(), expected, limit)

    def submit_blocked(self, region, priority):
        """Fill three of the four cores of each server, and submit a job that fits on none.

        One of its tasks is below the limit of its queue, the other one is above it.
        """
        servers = len(region.backend.servers)
        self.submit_sized(region, "other", 1, 3, servers, 0.9)
        self.submit_sized(region, "bounded", 1, 1, 1, 0.9)
        region.run(0.05)
        steps = tuple(job.Step(1, job.Demand(cores * 1000, 64), 0.2) for cores in (2, 3))
        region.backend.durations["blocked"] = 0.2
        work = job.Job(
            "blocked", "bounded", rerun_region.SERVICE, "", steps, priority, 3, 25.0, 28.0
        )
        region.runtime.spawn(region.members["a-1"].node.run, work, region.runtime.signal())
        region.run(0.05)

    def test_borrowing_job_requests_capacity_once_for_each_task(self):
        # Guards against a task that counts twice because another task of its job borrows.
        region = new_region({"bounded": shares.QueueShare(limit=0.25)})
        requested = []
        region.members["a-1"].node.request_capacity = lambda *request: requested.append(request)
        self.submit_blocked(region, 1)
        self.assertEqual({request[2:] for request in requested}, {(2000, 5000)})

    def test_borrowing_job_keeps_one_server_for_each_task(self):
        # Guards against servers that idle because a task has one kept for it twice.
        timing = settings.RerunSettings(
            schedules_by_kind=True, queue_shares={"bounded": shares.QueueShare(limit=0.1)}
        )
        region = rerun_region.Region({"a": 1}, 8, timing=timing)
        region.run(STARTUP_S)
        self.submit_blocked(region, 0)
        scheduler = region.members["a-1"].node.owned_pools["a/r1"].task_scheduler
        self.assertEqual(scheduler.kept_servers(), 2)

    def test_limit_of_the_urgent_queue_leaves_places_for_large_tasks(self):
        # Guards against a queue whose tasks never get a server: each one that becomes free while
        # priority 0 uses at most half of the pool goes to priority 0.
        region = new_region({"urgent": shares.QueueShare(limit=0.5)})
        for number in range(80):
            self.submit_sized(region, "urgent", 0, 3, 1 + number % 2)
            if number % 4 == 0:
                self.submit_sized(region, "large", 1, 3)
                self.submit_sized(region, "small", 1, 1)
            region.run(0.05)
        starts = collections.Counter(task.split("-")[0] for _, task, _ in region.backend.starts)
        self.assertGreaterEqual(starts["large"], 19)
        self.assertGreaterEqual(starts["urgent"], 35)
        self.assertEqual(region.backend.violations, [])


class Reload(Load):
    """The shares change while jobs run."""

    def test_new_shares_take_effect_at_once(self):
        region = new_region({})
        rates = {"heavy": 90, "light": 90}
        self.play(region, 1.0, rates)
        starts = self.play(region, 2.0, rates)
        self.assertAlmostEqual(starts["heavy"] / starts["light"], 1.0, delta=0.1)
        queue_shares.apply(region.members["a-1"].node, {"heavy": shares.QueueShare(3.0)})
        self.play(region, 0.5, rates)
        starts = self.play(region, 2.0, rates)
        self.assertAlmostEqual(starts["heavy"] / starts["light"], 3.0, delta=0.3)

    def test_successor_uses_the_new_shares(self):
        # Guards against a pool that is taken over under the shares of the start.
        region = new_region({}, {"a": 2})
        for member in region.members.values():
            queue_shares.apply(member.node, {"heavy": shares.QueueShare(3.0)})
        region.kill(region.owner("a"))
        region.run(2.0)
        node = region.members[region.owner("a")].node
        owned_pool = node.owned_pools["a/r1"]
        self.assertEqual(owned_pool.timing.queue_shares, {"heavy": shares.QueueShare(3.0)})

    def test_instances_with_different_shares_serve_all_jobs(self):
        # Guards against jobs that are lost or run twice while new shares are rolled out.
        region = new_region({}, {"a": 1, "b": 1})
        share = {"bounded": shares.QueueShare(0.5, 0.1)}
        queue_shares.apply(region.members["b-1"].node, share)
        for name in ("a-1", "b-1") * 3:
            self.play(region, 0.4, {"bounded": 90, "other": 60}, name=name)
        region.run(8.0)
        ends = {each.outcome.end for queue in self.submissions.values() for each in queue}
        self.assertEqual((ends, region.backend.violations), ({DONE}, []))
        tasks = [task for _, task, _ in region.backend.starts]
        self.assertEqual(len(tasks), len(set(tasks)))
