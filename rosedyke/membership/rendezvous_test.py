import unittest

from rosedyke.membership import rendezvous

NAMES = ("a", "b", "c", "d")
KEYS = tuple(f"job-{number}" for number in range(200))


class Rank(unittest.TestCase):
    def test_order_does_not_depend_on_the_order_of_names(self):
        for key in KEYS:
            self.assertEqual(rendezvous.rank(key, NAMES), rendezvous.rank(key, NAMES[::-1]))

    def test_each_name_is_first_for_some_keys(self):
        self.assertEqual({rendezvous.rank(key, NAMES)[0] for key in KEYS}, set(NAMES))

    def test_removed_name_moves_only_its_own_keys(self):
        for key in KEYS:
            before = rendezvous.rank(key, NAMES)
            after = rendezvous.rank(key, [name for name in NAMES if name != "b"])
            self.assertEqual(after, [name for name in before if name != "b"])


class Weighted(unittest.TestCase):
    def test_each_name_is_first_in_proportion_to_its_weight(self):
        weights = {"small": 1.0, "large": 3.0}
        first = [rendezvous.rank_weighted(f"key-{n}", weights)[0] for n in range(4000)]
        self.assertAlmostEqual(first.count("large") / len(first), 0.75, delta=0.03)

    def test_removed_name_does_not_change_the_order_of_the_others(self):
        weights = {"a": 0.4, "b": 1.0, "c": 2.15, "d": 0.4}
        remaining = {name: weight for name, weight in weights.items() if name != "c"}
        for key in ("x", "y", "z"):
            before = [name for name in rendezvous.rank_weighted(key, weights) if name != "c"]
            self.assertEqual(rendezvous.rank_weighted(key, remaining), before)
