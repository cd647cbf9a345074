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

    def test_a_lost_name_moves_only_its_own_keys(self):
        for key in KEYS:
            before = rendezvous.rank(key, NAMES)
            after = rendezvous.rank(key, [name for name in NAMES if name != "b"])
            self.assertEqual(after, [name for name in before if name != "b"])
