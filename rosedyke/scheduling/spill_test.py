import unittest

from rosedyke.scheduling import spill


class Penalty(unittest.TestCase):
    def test_decreases_linearly_between_the_bounds(self):
        for slack_s, expected_s in (
            (-1.0, 0.02),
            (0.02, 0.02),
            (0.11, 0.01),
            (0.2, 0.0),
            (5.0, 0.0),
        ):
            self.assertAlmostEqual(spill.penalty_s(slack_s, 0.02), expected_s)

    def test_slack_is_what_run_and_wait_leave_of_the_objective(self):
        self.assertAlmostEqual(spill.slack_s(0.5, 0.2, 0.1), 0.2)


class Scarcity(unittest.TestCase):
    def test_ends_as_soon_as_thirty_percent_is_free(self):
        # Guards against a spill that outlasts its cause.
        for free, expected in ((-5, True), (29, True), (30, False), (100, False)):
            self.assertEqual(spill.is_scarce(free, 100), expected)

    def test_holder_without_local_pools_has_no_local_capacity_to_keep_free(self):
        self.assertFalse(spill.is_scarce(0, 0))
