import unittest

from rosedyke.scheduling import admission, prediction

FREE_AT_ONCE = [(0.0, 1000, 1.0)]


def waiting(key, run_s=0.1, latest_start=9.0, useful_until=9.0, **options):
    has_started = options.get("has_started", False)
    return prediction.WaitingJob(key, 0, has_started, latest_start, useful_until, ((1000, run_s),))


def refused(jobs, capacity=FREE_AT_ONCE):
    return [refusal.job.key for refusal in admission.jobs_to_refuse(jobs, capacity, 1.0, 0.0)]


class JobsToRefuse(unittest.TestCase):
    def test_job_is_refused_when_the_queue_ahead_is_too_long(self):
        jobs = [waiting("a"), waiting("b", useful_until=0.25), waiting("c", useful_until=0.25)]
        self.assertEqual(refused(jobs), ["c"])
        (refusal,) = admission.jobs_to_refuse(jobs, FREE_AT_ONCE, 1.0, 0.0)
        self.assertAlmostEqual(refusal.completed_at, 0.3)
        self.assertAlmostEqual(refusal.work_ahead_core_s, 0.2)

    def test_job_that_is_merely_late_is_not_refused(self):
        self.assertEqual(refused([waiting("a"), waiting("b", latest_start=0.05)]), [])

    def test_work_behind_in_the_queue_does_not_count(self):
        # Guards against false refusals of urgent jobs by the length of the whole queue.
        urgent = waiting("urgent", 0.06, useful_until=0.1)
        self.assertEqual(refused([urgent, *(waiting(number, 0.9) for number in range(9))]), [])

    def test_refused_job_takes_no_capacity_from_later_ones(self):
        jobs = [waiting("long", 3.0, useful_until=1.0), waiting("short", useful_until=0.2)]
        self.assertEqual(refused(jobs), ["long"])

    def test_started_job_is_never_refused_but_takes_capacity(self):
        # Guards against status 503 for a job of which a task may run.
        started = waiting("started", 1.0, useful_until=0.5, has_started=True)
        self.assertEqual(refused([started, waiting("b", useful_until=0.5)]), ["b"])

    def test_job_that_will_be_late_falls_behind_those_that_will_not(self):
        # Guards against a false refusal by the order that holds now: "b" starts at 1.0, when "a"
        # is late and comes after it.
        capacity = [(1.0, 1000, 1.0)]
        jobs = [waiting("a", 1.0, latest_start=0.5), waiting("b", 0.1, 1.5, 1.2)]
        self.assertEqual(refused(jobs, capacity), [])

    def test_nothing_is_refused_while_the_capacity_is_unknown(self):
        self.assertEqual(refused([waiting("a", useful_until=0.0)], []), [])


class ChooseOtherPool(unittest.TestCase):
    def test_free_capacity_comes_first_then_the_shortest_wait_in_useful_time(self):
        full, fuller = admission.OtherPool("a", 0, 0.5), admission.OtherPool("b", 1, 0.9)
        free = admission.OtherPool("c", 2, 0.9)
        self.assertEqual(admission.choose_other_pool([full, fuller, free], 2, 0.1, 1.0), "c")
        self.assertEqual(admission.choose_other_pool([fuller, full], 2, 0.1, 1.0), "a")
        self.assertEqual(admission.choose_other_pool([fuller, full], 2, 0.1, 0.55), "")

    def test_no_pool_serves_a_job_whose_time_is_over(self):
        # Guards against sending tasks to servers that cannot finish them.
        free = admission.OtherPool("c", 2, 0.0)
        self.assertEqual(admission.choose_other_pool([free], 2, 0.5, 0.4), "")


class UsefulUntil(unittest.TestCase):
    def test_is_bounded_by_the_timeout_and_later_for_started_jobs(self):
        until = admission.useful_until(1.0, 0.5, 3.0, 3.0, has_started=False)
        later = admission.useful_until(1.0, 0.5, 3.0, 3.0, has_started=True)
        self.assertAlmostEqual(until, 2.5)
        self.assertAlmostEqual(later, 3.1)
        self.assertEqual(admission.useful_until(1.0, 0.5, 0.8, 3.0, has_started=True), 1.8)
