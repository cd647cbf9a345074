import unittest

from rosedyke.overload import link, own_delay
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
