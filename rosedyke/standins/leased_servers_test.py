import unittest

from rosedyke.rerunnable_jobs import job, ports
from rosedyke.standins import leased_servers, virtual

TIMEOUT_S = 0.1
DURATION_S = 0.4


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.backend = leased_servers.SimulatedBackend(self.runtime)
        self.entry = ports.Server("s", "10.9.0.1:80", "x", "a", "r1", job.Demand(4000), born_ms=1)
        self.server = self.backend.add(self.entry)
        self.backend.durations["j"] = DURATION_S
        self.gateway = leased_servers.SimulatedGateway(self.backend, "a-1")

    def lease_end_ms(self, seconds):
        return self.server.clock_ms() + int(seconds * 1000)

    def start(self, lease_end_ms, run=1):
        command = ports.StartCommand("j.0.0.0", run, "{}", lease_end_ms, 1)
        self.runtime.call(self.gateway.start, self.entry, command, TIMEOUT_S)

    def stop(self):
        self.runtime.call(self.gateway.stop, self.entry, "j.0.0.0", 1, 1, TIMEOUT_S)

    def renew(self, lease_end_ms=None):
        return self.runtime.call(
            self.gateway.renew_lease, self.entry, 1, 0, lease_end_ms, 0.0, TIMEOUT_S
        )

    def sleep(self, seconds):
        self.runtime.run(self.runtime.now() + seconds)


class Leases(ServerTest):
    def test_start_after_its_deadline_is_late_without_a_lease(self):
        with self.assertRaises(ports.CommandRefused) as refused:
            self.start(self.lease_end_ms(-0.1))
        self.assertEqual(refused.exception.reason, ports.RefusalReason.LATE)

    def test_start_after_its_deadline_runs_under_a_lease_that_another_command_has_renewed(self):
        self.renew(self.lease_end_ms(0.9))
        self.start(self.lease_end_ms(-0.1))
        self.sleep(DURATION_S + 0.1)
        self.assertEqual(self.renew().ended[0].result, ports.RunResult.DONE)

    def test_refused_start_renews_the_lease(self):
        self.stop()
        with self.assertRaises(ports.CommandRefused) as refused:
            self.start(self.lease_end_ms(0.9))
        self.assertEqual(refused.exception.reason, ports.RefusalReason.OLD_RUN)
        self.start(self.lease_end_ms(-0.1), run=2)
        self.assertEqual(len(self.renew().running), 1)

    def test_restarted_server_has_neither_the_lease_nor_the_clock_of_before(self):
        self.sleep(1.0)
        self.renew(self.lease_end_ms(0.9))
        self.server.crash()
        self.server.restart()
        self.assertLess(self.renew().clock_ms, 100)
        with self.assertRaises(ports.CommandRefused):
            self.start(self.lease_end_ms(0.0))


class Stops(ServerTest):
    def test_stop_is_answered_before_the_run_has_ended(self):
        self.start(self.lease_end_ms(0.9))
        self.stop()
        self.assertEqual(len(self.renew().running), 1)
        self.sleep(leased_servers.STOP_DELAY_S)
        self.assertEqual(self.renew().ended[0].result, ports.RunResult.STOPPED)


class Partitions(ServerTest):
    def partition(self):
        self.backend.partitioned = {("a-1", "s")}

    def test_command_on_an_idle_connection_arrives_after_the_partition(self):
        self.renew(self.lease_end_ms(0.9))
        self.partition()
        with self.assertRaises(ports.NoReply):
            self.start(self.lease_end_ms(0.9))
        self.sleep(0.3)
        self.assertEqual(self.backend.starts, [])
        self.backend.partitioned = set()
        self.sleep(0.3)
        self.assertEqual(len(self.backend.starts), 1)

    def test_command_is_not_sent_without_an_idle_connection(self):
        self.partition()
        with self.assertRaises(ports.ConnectionFailed):
            self.start(self.lease_end_ms(0.9))
        self.backend.partitioned = set()
        self.sleep(4.0)
        self.assertEqual(self.backend.starts, [])

    def test_command_on_a_connection_to_an_earlier_incarnation_is_lost(self):
        self.renew(self.lease_end_ms(0.9))
        self.server.crash()
        with self.assertRaises(ports.NoReply):
            self.start(self.lease_end_ms(0.9))
        self.server.restart()
        self.sleep(4.0)
        self.assertEqual(self.backend.starts, [])
