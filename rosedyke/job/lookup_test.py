import unittest

from rosedyke.job import answer, code, status
from rosedyke.standins import explore_region as region

NO, UNKNOWN = answer.Ran.NO, answer.Ran.UNKNOWN


def settled_cluster():
    cluster = region.Region({"dc1": 2, "dc2": 2, "dc3": 2})
    cluster.settle()
    return cluster


def cancel(cluster, name, job_id="job-1"):
    return cluster.clock.call(cluster.nodes[name].jobs.cancel, job_id)


class Cancel(unittest.TestCase):
    def test_waiting_tasks_never_start_whichever_instance_is_asked(self):
        for name in ("dc1a", "dc1b", "dc2b", "dc3a"):
            cluster = settled_cluster()
            call = cluster.submit("dc1a", region.request_of(tasks=5))
            cluster.settle(0.06)
            result = cancel(cluster, name)
            cluster.settle(2)
            self.assertEqual(cluster.starts.count_started_tasks("job-1"), 2, name)
            self.assertEqual((call.answer.code, result.answer), (code.Code.CANCELLED, call.answer))
            self.assertIs(call.answer.ran, answer.Ran.YES)
            self.assertEqual(cluster.violations(), [])

    def test_resubmission_after_a_cancellation_runs_nothing(self):
        cluster = settled_cluster()
        cluster.submit("dc1a", region.request_of(tasks=5))
        cluster.settle(0.02)
        cancel(cluster, "dc2a")
        resubmitted = cluster.answer("dc3a", region.request_of(attempt=2, age_s=0.1, tasks=5))
        self.assertIs(resubmitted.code, code.Code.CANCELLED)
        self.assertEqual(cluster.starts.max_starts_per_task(), 1)

    def test_job_cancelled_while_claiming_starts_no_task(self):
        cluster = settled_cluster()
        call = cluster.submit("dc1a", region.request_of())
        cluster.nodes["dc1a"].dispatcher.task_s = 0
        cluster.clock.step()
        while not cluster.nodes["dc1a"].jobs.node.tracked_jobs:
            cluster.clock.step()
        cluster.nodes["dc1a"].jobs.node.tracked_jobs["job-1"].has_claim = True
        cluster.clock.spawn(cluster.nodes["dc1a"].jobs.cancel, "job-1")
        cluster.settle(2)
        self.assertEqual(cluster.violations(), [])
        self.assertIsNotNone(call.answer)

    def test_ended_job_keeps_its_answer(self):
        cluster = settled_cluster()
        final = cluster.answer("dc1a", region.request_of())
        for name in cluster.nodes:
            self.assertEqual(cancel(cluster, name).answer, final)

    def test_unknown_job(self):
        cluster = settled_cluster()
        self.assertIs(cancel(cluster, "dc2a").state, status.State.NOT_FOUND)

    def test_job_that_may_be_behind_a_partition_is_reported_unreachable(self):
        cluster = settled_cluster()
        cluster.submit("dc1a", region.request_of())
        names = list(cluster.nodes)
        cluster.network.partition(names[:2], names[2:])
        self.assertIs(cancel(cluster, "dc2a").state, status.State.UNREACHABLE)

    def test_ten_thousand_concurrent_cancellations(self):
        # Ten thousand jobs of one instance are cancelled through another. No waiting task starts,
        # and every caller gets the right answer.
        cluster = region.Region({"dc1": 2, "dc2": 1}, delay_s=0.0001)
        cluster.settle()
        calls = [
            cluster.submit("dc1a", region.request_of(f"job-{n}", tasks=2, timeout_s=60))
            for n in range(10_000)
        ]
        cluster.nodes["dc1a"].dispatcher.task_s = 30.0
        cluster.settle(1)
        node = cluster.nodes["dc1b"].jobs
        for n in range(10_000):
            cluster.clock.spawn(node.cancel, f"job-{n}")
        cluster.settle(40)
        self.assertEqual({call.answer.code for call in calls}, {code.Code.CANCELLED})
        self.assertEqual(len(cluster.starts.by_task), 10_000)
        self.assertEqual(cluster.violations(), [])


class Find(unittest.TestCase):
    def test_state_and_cached_answer_from_any_instance(self):
        cluster = settled_cluster()
        call = cluster.submit("dc2a", region.request_of(tasks=4))
        cluster.settle(0.02)
        for name in cluster.nodes:
            result = cluster.clock.call(cluster.nodes[name].jobs.find, "job-1")
            self.assertEqual((result.state, result.holder), (status.State.RUNNING, "dc2a"))
        cluster.settle(2)
        for name in cluster.nodes:
            result = cluster.clock.call(cluster.nodes[name].jobs.find, "job-1")
            self.assertEqual((result.state, result.answer), (status.State.ENDED, call.answer))
