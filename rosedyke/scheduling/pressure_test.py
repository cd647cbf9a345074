import unittest

from rosedyke.scheduling import pressure


class Pressure(unittest.TestCase):
    def test_waiting_work_counts(self):
        # Guards against an order that changes only once the servers are full.
        self.assertFalse(pressure.is_under_pressure(40, 30, 100))
        self.assertTrue(pressure.is_under_pressure(40, 31, 100))

    def test_urgent_work_does_not_take_the_whole_pool(self):
        # Guards against other priorities that starve under a flood of urgent jobs.
        self.assertTrue(pressure.is_urgent_first(50, 100))
        self.assertFalse(pressure.is_urgent_first(51, 100))
