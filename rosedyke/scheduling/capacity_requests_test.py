import unittest

from rosedyke.scheduling import capacity_requests


class OwnersToAsk(unittest.TestCase):
    def test_as_many_as_have_the_missing_capacity(self):
        # Guards against messages to owners whose capacity is not needed.
        for missing, free, expected in (
            (4, [4, 4], 1),
            (5, [4, 4, 4], 2),
            (9, [4, 4, 4, 4], 3),
            (90, [4, 4, 4, 4], 3),
            (0, [0, 4], 1),
            (4, [], 0),
        ):
            self.assertEqual(capacity_requests.owners_to_ask(missing, free), expected)

    def test_several_if_none_has_reported_free_capacity(self):
        # Guards against a task that waits at a full pool while the owner that was not asked gets
        # free capacity.
        self.assertEqual(capacity_requests.owners_to_ask(1, [0, 0, 0, 0]), 3)
