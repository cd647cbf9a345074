import unittest

from rosedyke.daemon import eventlet_runtime


class Signal(unittest.TestCase):
    def test_wait_ends_when_set_by_another_task(self):
        runtime = eventlet_runtime.GreenRuntime()
        signal = runtime.signal()
        runtime.spawn(signal.set, 7)
        self.assertTrue(signal.wait(60))
        self.assertEqual(signal.value, 7)

    def test_wait_returns_false_after_its_timeout(self):
        self.assertFalse(eventlet_runtime.GreenRuntime().signal().wait(0.01))


class Task(unittest.TestCase):
    def test_cancelled_task_ends(self):
        runtime = eventlet_runtime.GreenRuntime()
        reached = []
        task = runtime.spawn(lambda: (runtime.sleep(60), reached.append(1)))
        runtime.sleep(0)
        task.cancel()
        self.assertTrue(task.wait(60))
        self.assertEqual(reached, [])

    def test_wait_for_a_running_task_ends_with_it(self):
        # Guards against waiters that learn only by their timeout that the task has ended.
        runtime = eventlet_runtime.GreenRuntime()
        task = runtime.spawn(runtime.sleep, 0.01)
        self.assertFalse(task.wait(0))
        self.assertTrue(task.wait(5))

    def test_task_that_is_cancelled_before_it_starts_has_ended(self):
        # Guards against waiters for a function that never runs.
        reached = []
        task = eventlet_runtime.GreenRuntime().spawn(reached.append, 1)
        task.cancel()
        self.assertTrue(task.wait(0.05))
        self.assertEqual(reached, [])
