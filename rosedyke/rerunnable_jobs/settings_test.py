import unittest

import attrs

from rosedyke.overload import own_delay
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


class LimitedLink(unittest.TestCase):
    """Commands of an instance with a limited link may take longer by its own backlog."""

    def test_times_contain_the_added_delay(self):
        # Guards against runs of a lost holder that are stopped after the resubmission, since the
        # stop command had a longer timeout than the check assumed.
        limited = attrs.evolve(DEFAULT, link_bytes_per_s=250_000.0)
        settings.check(limited)
        settings.check(attrs.evolve(DEFAULT, stale_s=0.46))
        with self.assertRaisesRegex(settings.InvalidTimings, "arrives late"):
            settings.check(attrs.evolve(limited, stale_s=0.46))

    def test_takeover_starts_before_the_holders_end_the_jobs(self):
        # Guards against jobs of a lost owner that end although its successor could continue them,
        # because the candidate's own delay extends the owner's timeout up to ``owner_lost_s``.
        limited = attrs.evolve(DEFAULT, link_bytes_per_s=250_000.0)
        self.assertEqual(DEFAULT.owner_allowance_s(0.0), 0.0)
        self.assertEqual(limited.owner_allowance_s(0.0), own_delay.MAX_ALLOWANCE_S)
        added_s = limited.renew_at_most_s - limited.renew_s
        self.assertAlmostEqual(limited.owner_allowance_s(added_s), 0.2)
        shorter = attrs.evolve(limited, owner_lost_s=0.6)
        settings.check(attrs.evolve(shorter, link_bytes_per_s=0.0))
        with self.assertRaisesRegex(settings.InvalidTimings, "a takeover must start"):
            settings.check(shorter)
