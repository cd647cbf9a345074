import unittest

from rosedyke.observe import metric
from rosedyke.overload import link, metrics, own_delay
from rosedyke.standins import virtual


class Backlog(unittest.TestCase):
    def test_backlog_drains_at_the_rate_of_the_link(self):
        # Guards against an account that ignores the packet headers, or that saves up idle time.
        usage = link.LinkUsage(10_000.0)
        usage.record(940, 5.0)
        usage.record(1940, 5.0)
        self.assertAlmostEqual(usage.backlog_s(5.0), 0.3)
        self.assertAlmostEqual(usage.backlog_s(5.25), 0.05)
        self.assertEqual(usage.backlog_s(9.0), 0.0)
        usage.record(940, 9.0)
        self.assertAlmostEqual(usage.backlog_s(9.0), 0.1)

    def test_unlimited_link_has_no_backlog(self):
        usage = link.LinkUsage()
        usage.record(10**9, 1.0)
        self.assertEqual((usage.backlog_s(1.0), usage.transmission_s(10**9)), (0.0, 0.0))


class Delay(unittest.TestCase):
    def test_directions_have_accounts_of_their_own(self):
        # Guards against responses from servers that hold back start commands.
        runtime = virtual.VirtualRuntime()
        delay = own_delay.OwnDelay(runtime, 10_000.0)
        delay.record_received(1940)
        delay.record_sent(440)
        self.assertAlmostEqual(delay.outgoing.backlog_s(runtime.now()), 0.05)
        self.assertAlmostEqual(delay.delay_s(runtime.now()), 0.2)


class LinkLimit(unittest.TestCase):
    def test_each_change_is_logged_at_most_once_a_second(self):
        # Guards against a log that is filled by a link at the edge of its capacity.
        runtime = virtual.VirtualRuntime()
        delay = own_delay.OwnDelay(runtime, 10_000.0)
        runtime.spawn(delay.run)

        def hold_every(seconds, count):
            for _ in range(count):
                delay.record_hold(runtime.now())
                runtime.run(runtime.now() + seconds)

        with self.assertLogs("rosedyke", "INFO") as logs:
            delay.record_sent(5000)
            hold_every(0.01, 300)
            self.assertEqual(metric.gauges[metrics.LINK_BACKLOG.name], 0)
            runtime.run(runtime.now() + 2.1)
            hold_every(0.01, 5)
        logged = [record.event_name for record in logs.records]
        self.assertEqual(logged, ["link_is_limit", "link_limit_ended", "link_is_limit"])
