import unittest

from rosedyke.dispatch import ports
from rosedyke.job import answer, code
from rosedyke.standins import fleet


class JobExecution(unittest.TestCase):
    def test_all_tasks_run_once_and_the_job_completes(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1", "b": "dc1"})
        active_job = cluster.submit("a", fleet.make_request("j", 20))
        cluster.runtime.run(5)
        self.assertEqual(active_job.answer.code, code.Code.COMPLETE)
        self.assertEqual(set(cluster.gateway.starts.values()), {1})
        self.assertEqual(len(cluster.gateway.starts), 20)
        self.assertEqual(cluster.gateway.excess, 0)
        # 20 tasks of 0.1 s take 0.5 s on 4 slots; grants must not delay them.
        self.assertLess(cluster.gateway.started[-1][0], 0.45)

    def test_refused_task_is_retried_on_another_server(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1"})
        cluster.gateway.servers["s1"].fault = ports.NotStarted("busy", is_reached=True)
        active_job = cluster.submit("a", fleet.make_request("j", 4))
        cluster.runtime.run(5)
        self.assertEqual(active_job.answer.code, code.Code.COMPLETE)
        self.assertEqual({name for _, name, _, _ in cluster.gateway.started}, {"s2"})

    def test_task_with_unknown_outcome_is_not_retried(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1"})
        cluster.gateway.servers["s1"].fault = ports.MayHaveRun("cut off")
        active_job = cluster.submit("a", fleet.make_request("j", 1))
        cluster.runtime.run(5)
        self.assertEqual(active_job.answer.code, code.Code.SERVER_LOST)
        self.assertEqual(active_job.answer.ran, answer.Ran.UNKNOWN)
        self.assertEqual(cluster.gateway.refused, 1)

    def test_no_task_starts_after_the_deadline(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1"})
        active_job = cluster.submit("a", fleet.make_request("j", 50, timeout_s=1.0))
        cluster.runtime.run(1.001)
        self.assertEqual(active_job.answer.code, code.Code.DEADLINE)
        started = len(cluster.gateway.started)
        cluster.runtime.run(5)
        self.assertEqual(len(cluster.gateway.started), started)


class Cancellation(unittest.TestCase):
    def test_waiting_tasks_of_a_cancelled_job_do_not_start(self):
        cluster = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1", "b": "dc1"})
        active_job = cluster.submit("a", fleet.make_request("j", 10))
        cluster.runtime.run(0.25)
        active_job.fail(code.Code.CANCELLED)
        started = len(cluster.gateway.started)
        cluster.runtime.run(5)
        self.assertEqual(len(cluster.gateway.started), started)
        next_job = cluster.submit("b", fleet.make_request("k", 10))
        cluster.runtime.run(10)
        self.assertTrue(next_job.answer.is_complete)
