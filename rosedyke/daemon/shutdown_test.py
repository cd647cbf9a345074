import unittest

from rosedyke.daemon import readiness, shutdown
from rosedyke.membership import member
from rosedyke.standins import daemon_fake, virtual
from rosedyke.wire import peer

LOCAL_MEMBER = member.Member(peer.Peer("north-1", 1, "north", "127.0.0.1:1"), member.State.LIVE)


class FakeServer:
    def __init__(self, log):
        self.log = log
        self.connections = []

    def drain(self):
        self.log.append("server drains")

    def stop(self, timeout_s):
        self.log.append("server stops")
        return True


class HangingServer:
    """A server with a request that never arrives as a whole."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.connections = []

    def drain(self):
        pass

    def stop(self, timeout_s):
        self.runtime.sleep(timeout_s)
        return False


class FakeJobs:
    """Job manager whose jobs end after ``duration_s`` unless they are stopped before."""

    def __init__(self, runtime, log, duration_s, handover_succeeds=True):
        self.runtime = runtime
        self.log = log
        self.duration_s = duration_s
        self.handover_succeeds = handover_succeeds
        self.stopped_jobs = 0

    def drain(self, timeout_s):
        self.log.append("jobs drain")
        self.runtime.sleep(self.duration_s)
        self.log.append("jobs drained")
        return self.handover_succeeds

    def stop(self):
        self.log.append("jobs stop")
        self.stopped_jobs += 1
        self.stopped_at = self.runtime.now()


class Shutdown(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.log = []
        self.readiness = readiness.ReadinessCheck(
            daemon_fake.FakeCurrent(), daemon_fake.FakeMembership(LOCAL_MEMBER)
        )

    def build(self, jobs, timeout_s=60.0, servers=None):
        return shutdown.Shutdown(
            1.0,
            timeout_s,
            self.runtime,
            self.readiness,
            servers or (FakeServer(self.log),),
            jobs,
            lambda: jobs.stopped_jobs,
        )

    def test_order_of_shutdown_steps(self):
        """The instance is not ready before it refuses jobs, and closes connections last."""
        jobs = FakeJobs(self.runtime, self.log, 5.0)
        graceful_shutdown = self.build(jobs)
        graceful_shutdown.request()
        observations = []

        def observe():
            self.runtime.sleep(0.5)
            observations.append((self.readiness.is_draining, list(self.log)))

        self.runtime.spawn(observe)
        self.assertTrue(self.runtime.call(graceful_shutdown.run))
        self.assertEqual(observations, [(True, ["server drains"])])
        self.assertEqual(self.log, ["server drains", "jobs drain", "jobs drained", "server stops"])

    def test_second_request_forces_shutdown(self):
        jobs = FakeJobs(self.runtime, self.log, 50.0)
        graceful_shutdown = self.build(jobs)
        graceful_shutdown.request()

        def request_again():
            self.runtime.sleep(3.0)
            graceful_shutdown.request()

        self.runtime.spawn(request_again)
        with self.assertLogs("rosedyke", "WARNING"):
            self.assertFalse(self.runtime.call(graceful_shutdown.run))
        self.assertEqual(self.log[-2:], ["jobs stop", "server stops"])
        self.assertLess(self.runtime.now(), 4.0)

    def test_begin_never_forces_a_shutdown(self):
        """A SIGHUP, also a second one, must not fail jobs in progress."""
        jobs = FakeJobs(self.runtime, self.log, 5.0)
        graceful_shutdown = self.build(jobs)
        graceful_shutdown.request()
        graceful_shutdown.begin()
        graceful_shutdown.begin()
        self.assertTrue(self.runtime.call(graceful_shutdown.run))
        self.assertNotIn("jobs stop", self.log)

    def test_hanging_drain_is_ended_by_the_timeout(self):
        jobs = FakeJobs(self.runtime, self.log, 1000.0)
        graceful_shutdown = self.build(jobs, timeout_s=10.0)
        graceful_shutdown.request()
        with self.assertLogs("rosedyke", "WARNING"):
            self.assertFalse(self.runtime.call(graceful_shutdown.run))
        self.assertLessEqual(self.runtime.now(), 1.0 + 10.0)

    def test_requests_that_never_end_do_not_delay_the_exit(self):
        """The servers wait at the same time, until the timeout at the latest."""
        for duration_s, exit_s in ((0.0, 1.0 + 5.0), (8.5, 1.0 + 10.0), (1000.0, 1.0 + 10.0)):
            with self.subTest(duration_s):
                self.setUp()
                jobs = FakeJobs(self.runtime, self.log, duration_s)
                servers = (HangingServer(self.runtime), HangingServer(self.runtime))
                graceful_shutdown = self.build(jobs, 10.0, servers)
                graceful_shutdown.request()
                with self.assertLogs("rosedyke", "WARNING"):
                    self.assertFalse(self.runtime.call(graceful_shutdown.run))
                self.assertLessEqual(self.runtime.now(), exit_s)

    def test_jobs_are_ended_before_connections_are_closed(self):
        """A request that is read after the drain gets an answer, however long its job takes."""
        jobs = FakeJobs(self.runtime, self.log, 1.0)
        graceful_shutdown = self.build(jobs, 10.0, (HangingServer(self.runtime),))
        graceful_shutdown.request()
        with self.assertLogs("rosedyke", "WARNING"):
            self.runtime.call(graceful_shutdown.run)
        self.assertEqual(self.log, ["jobs drain", "jobs drained", "jobs stop"])
        self.assertLessEqual(jobs.stopped_at, self.runtime.now() - 0.5)

    def test_incomplete_handover_does_not_make_shutdown_forced(self):
        jobs = FakeJobs(self.runtime, self.log, 0.0, handover_succeeds=False)
        graceful_shutdown = self.build(jobs)
        graceful_shutdown.request()
        with self.assertLogs("rosedyke", "WARNING") as logged:
            self.assertTrue(self.runtime.call(graceful_shutdown.run))
        self.assertIn("handover_incomplete", logged.output[0])


if __name__ == "__main__":
    unittest.main()
