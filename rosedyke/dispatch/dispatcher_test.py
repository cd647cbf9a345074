import unittest

from rosedyke.dispatch import ports
from rosedyke.job import answer, code
from rosedyke.standins import fleet


class OneJob(unittest.TestCase):
    def test_all_tasks_run_once_and_the_answer_is_complete(self):
        world = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1", "b": "dc1"})
        running = world.submit("a", fleet.make_request("j", 20))
        world.runtime.run(5)
        self.assertEqual(running.answer.code, code.Code.COMPLETE)
        self.assertEqual(set(world.gateway.starts.values()), {1})
        self.assertEqual(len(world.gateway.starts), 20)
        self.assertEqual(world.gateway.excess, 0)
        # 20 tasks of 0.1 s on 4 slots take 0.5 s; grants may add little to that.
        self.assertLess(world.gateway.started[-1][0], 0.45)

    def test_refused_task_runs_elsewhere(self):
        world = fleet.Fleet(fleet.make_service({"s1": 2, "s2": 2}), {"a": "dc1"})
        world.gateway.servers["s1"].fault = ports.NotStarted("busy", is_reached=True)
        running = world.submit("a", fleet.make_request("j", 4))
        world.runtime.run(5)
        self.assertEqual(running.answer.code, code.Code.COMPLETE)
        self.assertEqual({name for _, name, _, _ in world.gateway.started}, {"s2"})

    def test_task_that_may_have_run_is_never_sent_again(self):
        world = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1"})
        world.gateway.servers["s1"].fault = ports.MayHaveRun("cut off")
        running = world.submit("a", fleet.make_request("j", 1))
        world.runtime.run(5)
        self.assertEqual(running.answer.code, code.Code.SERVER_LOST)
        self.assertEqual(running.answer.ran, answer.Ran.UNKNOWN)
        self.assertEqual(world.gateway.refused, 1)

    def test_deadline_ends_the_job_and_nothing_starts_after_it(self):
        world = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1"})
        running = world.submit("a", fleet.make_request("j", 50, timeout_s=1.0))
        world.runtime.run(1.001)
        self.assertEqual(running.answer.code, code.Code.DEADLINE)
        started = len(world.gateway.started)
        world.runtime.run(5)
        self.assertEqual(len(world.gateway.started), started)


class Cancellation(unittest.TestCase):
    def test_waiting_task_of_a_cancelled_job_never_starts(self):
        world = fleet.Fleet(fleet.make_service({"s1": 1}), {"a": "dc1", "b": "dc1"})
        running = world.submit("a", fleet.make_request("j", 10))
        world.runtime.run(0.25)
        running.fail(code.Code.CANCELLED)
        started = len(world.gateway.started)
        world.runtime.run(5)
        self.assertEqual(len(world.gateway.started), started)
        after = world.submit("b", fleet.make_request("k", 10))
        world.runtime.run(10)
        self.assertTrue(after.answer.is_complete)
