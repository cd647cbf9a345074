import unittest

import attrs

from rosedyke.rerunnable_jobs import settings

DEFAULT = settings.RerunSettings()


class Leases(unittest.TestCase):
    """A caller resubmits its job ``resubmit_s`` after the failure of the holder."""

    def check_fails(self, message, **changes):
        with self.assertRaisesRegex(settings.InvalidTimings, message):
            settings.check(attrs.evolve(DEFAULT, **changes))

    def test_default_times_hold(self):
        settings.check(DEFAULT)

    def test_lease_on_a_run_ends_before_the_resubmission_on_a_slow_server(self):
        # Guards against a bound that leaves no time for the drift of the server's clock.
        longest_s = DEFAULT.holder_lease_s + 2 * settings.CLOCK_DRIFT * DEFAULT.lease_s
        self.assertLess(longest_s, DEFAULT.resubmit_s)

    def test_lease_longer_than_a_holder_renews_it_for_is_rejected(self):
        # Guards against tasks that wait, and leases that are cut short, although renewals come on
        # time.
        self.check_fails("a whole lease", lease_s=1.1)
        self.check_fails("a whole lease", renew_s=0.35)
        self.check_fails("a whole lease", resubmit_s=1.05)

    def test_holder_that_is_lost_too_late_is_rejected(self):
        # Guards against the loss of all runs on the servers of one lost holder.
        self.check_fails("before the server's lease ends", holder_lost_s=1.05)
        self.check_fails("before the server's lease ends", order_s=0.45)
        self.check_fails("before the server's lease ends", stop_retry_s=0.45)
