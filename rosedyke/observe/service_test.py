import itertools
import unittest

from rosedyke.observe import metric, metrics, service
from rosedyke.standins import virtual


class Service(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.runtime.restarts_services = True
        self.started_at = []

    def failures(self):
        return metric.counts[metrics.SERVICE_FAILURES.name]

    def fail(self):
        self.started_at.append(self.runtime.now())
        raise ZeroDivisionError("unexpected")

    def fail_late(self):
        self.started_at.append(self.runtime.now())
        self.runtime.sleep(service.STEADY_S + 1.0)
        raise ZeroDivisionError("unexpected")

    def test_it_is_started_again_and_each_failure_is_counted(self):
        # Guards against a process that goes on half dead after an unexpected error.
        before = self.failures()
        with self.assertLogs("rosedyke", "ERROR") as logs:
            self.runtime.spawn_service(self.fail)
            self.runtime.run(60.0)
        self.assertEqual(self.failures() - before, len(self.started_at))
        self.assertIn("service_failed", logs.output[0])
        self.assertIn("ZeroDivisionError", logs.output[0])

    def test_restarts_back_off(self):
        with self.assertLogs("rosedyke", "ERROR"):
            self.runtime.spawn_service(self.fail)
            self.runtime.run(60.0)
        self.assertLess(self.started_at[1], 2 * service.INITIAL_BACKOFF_S)
        gaps = [later - earlier for earlier, later in itertools.pairwise(self.started_at)]
        self.assertLessEqual(max(gaps), 1.5 * service.MAX_BACKOFF_S)
        self.assertLess(len(self.started_at), 30)

    def test_backoff_starts_anew_after_a_steady_run(self):
        with self.assertLogs("rosedyke", "ERROR"):
            self.runtime.spawn_service(self.fail_late)
            self.runtime.run(400.0)
        self.assertGreaterEqual(len(self.started_at), 400 // (service.STEADY_S + 2))

    def test_it_ends_when_the_function_returns(self):
        task = self.runtime.spawn_service(self.started_at.append, 1)
        self.runtime.run(10.0)
        self.assertTrue(task.wait(0.0))
        self.assertEqual(self.started_at, [1])


if __name__ == "__main__":
    unittest.main()
