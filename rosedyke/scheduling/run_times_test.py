import unittest

from rosedyke.scheduling import run_times


class Ratio(unittest.TestCase):
    def test_is_unknown_below_twenty_runs(self):
        # Guards against refusals because of a few slow runs after a start.
        learned = run_times.RunTimes()
        for _ in range(19):
            learned.record("q", 0.1, 0.7)
        self.assertEqual((learned.ratio("q", 0.5), learned.ratio("other", 0.5)), (1.0, 1.0))
        learned.record("q", 0.1, 0.7)
        self.assertAlmostEqual(learned.ratio("q", 0.5), 7.0)

    def test_few_long_runs_do_not_change_the_median(self):
        # Guards against a mean, which 3% of runs that take seven times as long would raise.
        learned = run_times.RunTimes()
        for number in range(200):
            learned.record("q", 0.1, 0.7 if number % 33 == 0 else 0.127)
        self.assertAlmostEqual(learned.ratio("q", 0.5), 1.27)
        self.assertAlmostEqual(learned.ratio("q", 0.9), 1.27)
        self.assertAlmostEqual(learned.ratio("q", 0.99), 7.0)

    def test_old_runs_and_runs_without_an_estimate_do_not_count(self):
        learned = run_times.RunTimes()
        for measured_s in [0.5] * 200 + [0.2] * 200:
            learned.record("q", 0.1, measured_s)
            learned.record("q", 0.0, measured_s)
        self.assertAlmostEqual(learned.ratio("q", 0.9), 2.0)
