import unittest

from rosedyke.scheduling import retry_after


class Delay(unittest.TestCase):
    def test_follows_the_queue_between_one_and_eight_seconds(self):
        self.assertAlmostEqual(retry_after.delay_s(retry_after.drain_s(12, 4), 0, 0.5), 3.0)
        self.assertAlmostEqual(retry_after.delay_s(0.0, 0, 0.0), 1.0)
        self.assertLessEqual(retry_after.delay_s(retry_after.drain_s(1, 0), 2, 0.999), 8.0)

    def test_callers_do_not_return_together(self):
        # Guards against a constant delay, also where the bounds apply.
        for queue_s in (0.0, 3.0, 100.0):
            delays = [retry_after.delay_s(queue_s, 0, number / 10) for number in range(10)]
            self.assertGreater(max(delays) - min(delays), 0.2 * max(delays))

    def test_urgent_queues_come_back_first(self):
        delays = [retry_after.delay_s(2.0, priority, 0.5) for priority in (0, 1, 2)]
        self.assertEqual(delays, [2.0, 3.0, 4.0])
