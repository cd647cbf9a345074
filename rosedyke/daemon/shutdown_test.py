import unittest

from rosedyke.daemon import gate, shutdown
from rosedyke.membership import member
from rosedyke.standins import daemon_fake, virtual
from rosedyke.wire import peer

OWN = member.Member(peer.Peer("north-1", 1, "north", "127.0.0.1:1"), member.State.LIVE)


class FakeServer:
    def __init__(self, log):
        self.log = log
        self.connections = []

    def drain(self):
        self.log.append("server drains")

    def stop(self, timeout_s):
        self.log.append("server stops")
        return True


class FakeJobs:
    """Jobs that end after a time, or are failed when stopped before."""

    def __init__(self, runtime, log, lasts_s, hands_over=True):
        self.runtime = runtime
        self.log = log
        self.lasts_s = lasts_s
        self.hands_over = hands_over
        self.failed = 0

    def drain(self, timeout_s):
        self.log.append("jobs drain")
        self.runtime.sleep(self.lasts_s)
        self.log.append("jobs drained")
        return self.hands_over

    def stop(self):
        self.log.append("jobs stop")
        self.failed += 1


class Shutdown(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.log = []
        self.gate = gate.Gate(daemon_fake.FakeCurrent(), daemon_fake.FakeMembership(OWN))

    def build(self, jobs, timeout_s=60.0):
        return shutdown.Shutdown(
            1.0,
            timeout_s,
            self.runtime,
            self.gate,
            (FakeServer(self.log),),
            jobs,
            lambda: jobs.failed,
        )

    def test_readiness_goes_before_jobs_are_refused_and_servers_stop_last(self):
        """SIGTERM arrives while a job runs for 5 s more.

        For a second the instance is not ready but still takes what the balancer sends; then it
        takes no more, and it closes its connections only when the job has its answer.
        """
        jobs = FakeJobs(self.runtime, self.log, 5.0)
        ending = self.build(jobs)
        ending.request()
        seen = []

        def look():
            self.runtime.sleep(0.5)
            seen.append((self.gate.is_draining, list(self.log)))

        self.runtime.spawn(look)
        self.assertTrue(self.runtime.call(ending.run))
        self.assertEqual(seen, [(True, ["server drains"])])
        self.assertEqual(self.log, ["server drains", "jobs drain", "jobs drained", "server stops"])

    def test_second_request_ends_it_at_once(self):
        jobs = FakeJobs(self.runtime, self.log, 50.0)
        ending = self.build(jobs)
        ending.request()

        def ask_again():
            self.runtime.sleep(3.0)
            ending.request()

        self.runtime.spawn(ask_again)
        with self.assertLogs("rosedyke", "WARNING"):
            self.assertFalse(self.runtime.call(ending.run))
        self.assertEqual(self.log[-2:], ["jobs stop", "server stops"])
        self.assertLess(self.runtime.now(), 4.0)

    def test_bound_ends_a_drain_that_hangs(self):
        jobs = FakeJobs(self.runtime, self.log, 1000.0)
        ending = self.build(jobs, timeout_s=10.0)
        ending.request()
        with self.assertLogs("rosedyke", "WARNING"):
            self.assertFalse(self.runtime.call(ending.run))
        self.assertLess(self.runtime.now(), 20.0)

    def test_last_instance_ends_well_though_nobody_takes_its_claims(self):
        jobs = FakeJobs(self.runtime, self.log, 0.0, hands_over=False)
        ending = self.build(jobs)
        ending.request()
        with self.assertLogs("rosedyke", "WARNING") as logged:
            self.assertTrue(self.runtime.call(ending.run))
        self.assertIn("handover_incomplete", logged.output[0])


if __name__ == "__main__":
    unittest.main()
