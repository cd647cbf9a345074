import unittest

from rosedyke.scheduling import retry_budget


def spend_all(budget, now, attempts=1000):
    return sum(budget.try_spend(now) for _ in range(attempts))


class Budget(unittest.TestCase):
    def test_is_a_tenth_of_the_accepted_jobs_and_ten_a_second(self):
        budget = retry_budget.RetryBudget()
        for _ in range(500):
            budget.record_accepted(0.0)
        self.assertEqual(spend_all(budget, 1.0), 150)
        self.assertFalse(budget.try_spend(9.9))

    def test_counts_only_the_last_ten_seconds(self):
        # Guards against a budget that an earlier quiet time has filled without limit.
        budget = retry_budget.RetryBudget()
        for second in range(60):
            budget.record_accepted(float(second))
        self.assertEqual(spend_all(budget, 60.0), 100)
        self.assertEqual(spend_all(budget, 70.0), 100)
        self.assertLess(len(budget.intervals), 25)
