import unittest

from rosedyke.scheduling import placement_group


class Holds(unittest.TestCase):
    def test_job_is_held_only_if_less_than_half_of_it_fits(self):
        for fitting, is_held in ((0, False), (1, True), (3, True), (4, False), (8, False)):
            hold = placement_group.new_hold(8, fitting, 0.16, 5, 1.0)
            self.assertEqual(hold is not None, is_held)
        self.assertIsNone(placement_group.new_hold(1, 1, 0.16, 5, 1.0))

    def test_hold_ends_with_the_next_run_or_a_tenth_of_the_objective(self):
        # Guards against a wide job that waits for ever in a pool that never empties.
        hold = placement_group.new_hold(8, 1, 0.16, 5, 1.0)
        self.assertTrue(hold.is_active(1.015, 5))
        self.assertFalse(hold.is_active(1.015, 6))
        self.assertFalse(hold.is_active(1.017, 5))
