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


class Received(unittest.TestCase):
    """Quantiles from an earlier owner."""

    def test_are_used_until_there_are_twenty_own_runs(self):
        # Guards against a successor that starts with estimates known to be wrong.
        learned = run_times.RunTimes()
        values = {"q": run_times.RatioQuantiles(130, 180, 200)}
        self.assertEqual(learned.import_quantiles(values), ["q"])
        for _ in range(19):
            learned.record("q", 0.1, 0.7)
        self.assertEqual([learned.ratio("q", 0.5), learned.ratio("q", 0.9)], [1.3, 1.8])
        self.assertEqual(learned.export(), values)
        learned.record("q", 0.1, 0.7)
        self.assertAlmostEqual(learned.ratio("q", 0.5), 7.0)
        self.assertEqual(learned.export(), {"q": run_times.RatioQuantiles(700, 700, 20)})
        self.assertEqual(learned.import_quantiles(values), [])
        self.assertAlmostEqual(learned.ratio("q", 0.5), 7.0)

    def test_quantiles_of_few_runs_and_too_many_queues_are_ignored(self):
        # Guards against a faulty peer that uses up the memory.
        learned = run_times.RunTimes()
        learned.import_quantiles({"q": run_times.RatioQuantiles(130, 180, 19)})
        self.assertEqual(learned.ratio("q", 0.5), 1.0)
        quantiles = run_times.RatioQuantiles(130, 180, 20)
        learned.import_quantiles({f"q{number}": quantiles for number in range(5_000)})
        self.assertEqual(len(learned.received), run_times.MAX_RECEIVED_QUEUES)
