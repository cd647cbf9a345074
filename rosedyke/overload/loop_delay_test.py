import unittest

from rosedyke.overload import own_delay
from rosedyke.standins import virtual


class SlowRuntime(virtual.VirtualRuntime):
    """Runs each timer late."""

    late_s = 0.0

    def sleep(self, seconds):
        super().sleep(seconds + self.late_s)


class Measurement(unittest.TestCase):
    def setUp(self):
        self.runtime = SlowRuntime()
        self.delay = own_delay.OwnDelay(self.runtime, 10_000.0)
        self.runtime.spawn(self.delay.loop.run)

    def run_for(self, seconds, late_s):
        self.runtime.late_s = late_s
        self.runtime.run(self.runtime.now() + seconds)

    def measured(self):
        now = self.runtime.now()
        return self.delay.loop.delay_s(now), self.delay.loop.maximum_s(now)

    def test_mean_follows_a_change_and_the_maximum_lasts_for_a_second(self):
        # Guards against a limit that reacts to single late timers, or not within a second.
        self.run_for(1.0, 0.0)
        self.assertEqual(self.measured(), (0.0, 0.0))
        self.run_for(0.07, 0.1)
        self.run_for(0.1, 0.0)
        mean_s, maximum_s = self.measured()
        self.assertLess(mean_s, 0.03)
        self.assertAlmostEqual(maximum_s, 0.1)
        self.run_for(1.2, 0.0)
        self.assertLess(max(self.measured()), 0.001)
        self.run_for(2.0, 0.1)
        self.assertAlmostEqual(self.measured()[0], 0.1, delta=0.01)

    def test_one_pause_is_no_overload(self):
        # Guards against an instance that refuses jobs after one pause of its process.
        self.run_for(1.0, 0.0)
        self.run_for(0.1, 0.6)
        self.assertLess(self.delay.loop.mean_s, 0.03)

    def test_timer_that_has_not_fired_yet_counts(self):
        # Guards against decisions right after a pause that are made by the delay before it.
        self.run_for(1.0, 0.0)
        self.runtime.time += 0.4
        self.assertAlmostEqual(self.delay.delay_s(self.runtime.now()), 0.4, delta=0.051)

    def test_idle_instance_wakes_up_less_often_and_still_sees_a_pause(self):
        # Guards against idle instances that use up a share of a small processor, and against peers
        # that are taken for lost after a pause of this process.
        self.run_for(1.0, 0.0)
        self.delay.loop.is_idle = lambda: True
        self.run_for(0.2, 0.0)
        steps = []
        self.delay.loop.record = steps.append
        self.run_for(3.0, 0.0)
        self.assertEqual(len(steps), 20)
        self.runtime.time += 0.3
        self.assertGreater(self.measured()[1], 0.14)
