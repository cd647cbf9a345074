import unittest

from rosedyke.observe import burn


class Ring(unittest.TestCase):
    def test_counts_leave_the_window(self):
        ring = burn.Ring(5, 60)
        ring.add(1000.0, burn.Outcome.GOOD)
        ring.add(1200.0, burn.Outcome.LATE)
        self.assertEqual(ring.total(1200.0, 300), [1, 1, 0, 0, 0])
        self.assertEqual(ring.total(1301.0, 300), [0, 1, 0, 0, 0])
        self.assertEqual(ring.total(9000.0, 300), [0, 0, 0, 0, 0])

    def test_cell_of_an_earlier_round_is_not_counted_again(self):
        ring = burn.Ring(5, 60)
        ring.add(0.0, burn.Outcome.FAILED)
        ring.add(300.0, burn.Outcome.GOOD)
        self.assertEqual(ring.total(300.0, 300), [1, 0, 0, 0, 0])


class Ledger(unittest.TestCase):
    def test_every_window_is_covered_and_memory_is_bounded(self):
        ledger = burn.Ledger()
        for name, seconds in burn.WINDOWS_S.items():
            ring = ledger.rings[name]
            self.assertGreaterEqual(len(ring.rows) * ring.step_s, seconds)
            self.assertLessEqual(len(ring.rows), 80)

    def test_short_window_forgets_what_the_long_one_keeps(self):
        ledger = burn.Ledger()
        ledger.add(0.0, burn.Outcome.FAILED)
        totals = ledger.totals(4000.0)
        self.assertEqual(sum(totals["5m"]), 0)
        self.assertEqual(sum(totals["1h"]), 0)
        self.assertEqual(sum(totals["6h"]), 1)
        self.assertEqual(sum(totals["3d"]), 1)


def instance(name, data_centre, row, share=0.99, generation=1):
    windows = {window: row for window in burn.WINDOWS_S}
    counts = burn.ServiceCounts("weighing", share, 1.0, windows)
    return burn.InstanceCounts(name, data_centre, generation, 60.0, (counts,))


class Merge(unittest.TestCase):
    def test_rate_is_over_all_instances(self):
        merged = burn.merge(
            [instance("a", "north", [98, 1, 1, 0, 0]), instance("b", "south", [100, 0, 0, 0, 0])]
        )
        self.assertEqual(len(merged), 1)
        window = merged[0].windows[0]
        self.assertEqual(window.jobs, 200)
        self.assertAlmostEqual(window.rate, 1.0)
        self.assertAlmostEqual(merged[0].budget_left, 0.0)
        self.assertEqual(
            merged[0].spent_by["north"], {"late": 1, "failed": 1, "refused": 0, "unknown": 0}
        )

    def test_newest_objective_counts(self):
        merged = burn.merge(
            [
                instance("a", "north", [9, 1, 0, 0, 0], share=0.5, generation=2),
                instance("b", "north", [10, 0, 0, 0, 0], share=0.9, generation=1),
            ]
        )
        self.assertEqual(merged[0].share, 0.5)
        self.assertAlmostEqual(merged[0].windows[0].rate, 0.1)

    def test_without_jobs_there_is_no_rate(self):
        merged = burn.merge([instance("a", "north", [0, 0, 0, 0, 0])])
        self.assertIsNone(merged[0].windows[0].rate)
        self.assertIsNone(merged[0].budget_left)

    def test_objective_that_allows_nothing(self):
        merged = burn.merge([instance("a", "north", [9, 1, 0, 0, 0], share=1.0)])
        self.assertEqual(merged[0].windows[0].rate, float("inf"))


if __name__ == "__main__":
    unittest.main()
