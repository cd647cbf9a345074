import unittest

from rosedyke.overload import job_limit


class Adapt(unittest.TestCase):
    def test_decreases_at_most_once_in_an_interval_and_not_below_the_minimum(self):
        limit = job_limit.adapt(job_limit.JobLimit(), 100, 0.06, 1.0)
        self.assertAlmostEqual(limit.jobs, 44.8)
        self.assertIs(job_limit.adapt(limit, 100, 0.06, 1.1), limit)
        for number in range(20):
            limit = job_limit.adapt(limit, 12, 0.06, 2.0 + number)
        self.assertEqual(limit.jobs, 12.0)

    def test_is_constant_while_few_jobs_are_held(self):
        # Guards against refusals by an idle instance whose link is full of other messages.
        limit = job_limit.JobLimit()
        self.assertIs(job_limit.adapt(limit, 11, 0.5, 1.0), limit)

    def test_is_constant_between_the_thresholds(self):
        limit = job_limit.JobLimit(10.0)
        self.assertIs(job_limit.adapt(limit, 100, 0.03, 1.0), limit)

    def test_never_binds_with_short_delays(self):
        # Guards against refusals by an instance whose link and event loop are prompt.
        limit = job_limit.JobLimit()
        for held in range(5000):
            limit = job_limit.adapt(limit, held, 0.0, 1.0)
            self.assertLess(held, 0.8 * limit.jobs)


class Overload(unittest.TestCase):
    """Replays three times the load that an instance carries, then half of it.

    Each job takes 10 ms of the instance's link and 0.1 s on a server.
    """

    def replay(self, is_limited):
        """Return when the jobs that were served within 0.16 s arrived."""
        limit = job_limit.JobLimit()
        served_at, ends = [], []
        now = link_free_at = 0.0
        while now < 10.0:
            ends = [end for end in ends if end > now]
            backlog_s = max(0.0, link_free_at - now)
            limit = job_limit.adapt(limit, len(ends), backlog_s, now)
            if not is_limited or len(ends) < limit.jobs:
                link_free_at = max(now, link_free_at) + 0.01
                ends.append(link_free_at + 0.1)
                if ends[-1] - now <= 0.16:
                    served_at.append(now)
            now += 1 / 300 if now < 5.0 else 1 / 50
        return served_at

    def test_goodput_stays_and_returns_after_the_load_falls(self):
        limited, unlimited = self.replay(True), self.replay(False)
        # The best is 100 jobs a second during the overload and 50 after it.
        self.assertGreater(sum(time < 5.0 for time in limited), 0.8 * 500)
        self.assertGreater(sum(5.0 <= time < 7.0 for time in limited), 0.8 * 100)
        self.assertGreater(sum(time >= 7.0 for time in limited), 0.99 * 150)
        # Without the limit the link's backlog grows to 10 s.
        self.assertLess(len(unlimited), 20)
