import unittest

from rosedyke.observe import burn_rate


class SlidingWindowCounterTest(unittest.TestCase):
    def test_counts_expire_with_the_window(self):
        counter = burn_rate.SlidingWindowCounter(5, 60)
        counter.add(1000.0, burn_rate.Outcome.GOOD)
        counter.add(1200.0, burn_rate.Outcome.LATE)
        self.assertEqual(counter.window_totals(1200.0, 300), [1, 1, 0, 0, 0])
        self.assertEqual(counter.window_totals(1301.0, 300), [0, 1, 0, 0, 0])
        self.assertEqual(counter.window_totals(9000.0, 300), [0, 0, 0, 0, 0])

    def test_overwritten_bucket_is_not_counted_again(self):
        counter = burn_rate.SlidingWindowCounter(5, 60)
        counter.add(0.0, burn_rate.Outcome.FAILED)
        counter.add(300.0, burn_rate.Outcome.GOOD)
        self.assertEqual(counter.window_totals(300.0, 300), [1, 0, 0, 0, 0])


class WindowCountersTest(unittest.TestCase):
    def test_every_window_is_covered_and_memory_is_bounded(self):
        counters = burn_rate.WindowCounters()
        for name, seconds in burn_rate.WINDOWS_S.items():
            counter = counters.by_window[name]
            self.assertGreaterEqual(len(counter.buckets) * counter.bucket_s, seconds)
            self.assertLessEqual(len(counter.buckets), 80)

    def test_short_window_expires_before_the_long_one(self):
        counters = burn_rate.WindowCounters()
        counters.add(0.0, burn_rate.Outcome.FAILED)
        totals = counters.totals(4000.0)
        self.assertEqual(sum(totals["5m"]), 0)
        self.assertEqual(sum(totals["1h"]), 0)
        self.assertEqual(sum(totals["6h"]), 1)
        self.assertEqual(sum(totals["3d"]), 1)


def instance_counts(name, data_centre, row, share=0.99, generation=1):
    windows = {window: row for window in burn_rate.WINDOWS_S}
    counts = burn_rate.ServiceCounts("weighing", share, 1.0, windows)
    return burn_rate.InstanceCounts(name, data_centre, generation, 60.0, (counts,))


class Merge(unittest.TestCase):
    def test_rate_is_over_all_instances(self):
        merged = burn_rate.merge(
            [
                instance_counts("a", "north", [98, 1, 1, 0, 0]),
                instance_counts("b", "south", [100, 0, 0, 0, 0]),
            ]
        )
        self.assertEqual(len(merged), 1)
        window = merged[0].windows[0]
        self.assertEqual(window.jobs, 200)
        self.assertAlmostEqual(window.rate, 1.0)
        self.assertAlmostEqual(merged[0].budget_left, 0.0)
        self.assertEqual(
            merged[0].spent_by["north"], {"late": 1, "failed": 1, "refused": 0, "unknown": 0}
        )

    def test_newest_objective_applies(self):
        merged = burn_rate.merge(
            [
                instance_counts("a", "north", [9, 1, 0, 0, 0], share=0.5, generation=2),
                instance_counts("b", "north", [10, 0, 0, 0, 0], share=0.9, generation=1),
            ]
        )
        self.assertEqual(merged[0].share, 0.5)
        self.assertAlmostEqual(merged[0].windows[0].rate, 0.1)

    def test_no_jobs_give_no_rate(self):
        merged = burn_rate.merge([instance_counts("a", "north", [0, 0, 0, 0, 0])])
        self.assertIsNone(merged[0].windows[0].rate)
        self.assertIsNone(merged[0].budget_left)

    def test_objective_without_an_error_budget(self):
        merged = burn_rate.merge([instance_counts("a", "north", [9, 1, 0, 0, 0], share=1.0)])
        self.assertEqual(merged[0].windows[0].rate, float("inf"))


if __name__ == "__main__":
    unittest.main()
