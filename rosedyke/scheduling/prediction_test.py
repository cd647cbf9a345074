import unittest

from rosedyke.scheduling import prediction


class Predict(unittest.TestCase):
    def test_tasks_take_the_capacity_that_is_free_first(self):
        capacity = [(1.0, 2000, 1.0), (1.05, 2000, 0.5)]
        result = prediction.predict([(2000, 0.1), (2000, 0.1)], capacity, 1.0)
        self.assertAlmostEqual(result.completed_at, 1.15)
        self.assertEqual(sorted(result.capacity), [(1.1, 2000, 1.0), (1.25, 2000, 0.5)])

    def test_the_rest_of_a_server_stays_free(self):
        # Guards against counting a whole server as used by one of its tasks.
        result = prediction.predict([(1000, 0.5)] * 2, [(0.0, 2000, 2.0)], 2.0)
        self.assertAlmostEqual(result.completed_at, 0.25)
        self.assertEqual(sorted(result.capacity), [(0.25, 1000, 2.0)] * 2)

    def test_wide_task_waits_until_enough_is_free(self):
        result = prediction.predict([(3000, 0.5)], [(0.0, 2000, 1.0), (1.0, 2000, 1.0)], 1.0)
        self.assertAlmostEqual(result.completed_at, 1.5)

    def test_too_little_capacity_in_total_gives_no_prediction(self):
        # Guards against refusals while the owner does not know its servers yet.
        result = prediction.predict([(3000, 0.5)], [(0.0, 2000, 1.0)], 1.0)
        self.assertEqual((result.completed_at, result.capacity), (None, [(0.0, 2000, 1.0)]))
