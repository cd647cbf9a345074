import unittest

from rosedyke.rerunnable_jobs import job, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
GRACE_S = 0.5
TIMINGS = (settings.RerunSettings(), settings.RerunSettings(predicts_completion=True))
SUCCEEDED = job.Outcome(job.EndState.SUCCEEDED)
RUN_S = 5.0
# Less than a message between two instances takes.
JUST_BEFORE_S = 0.0001
# A process ends so long after its last answers.
PROCESS_ENDS_S = 0.3


class EarlierRequest(unittest.TestCase):
    """A job runs for an earlier request at ``b-1`` when its caller sends it to ``a-1``.

    ``a-1``, or the other instance of its data centre that owns no pool, shuts down.
    """

    def start(self, timing):
        self.region = rerun_region.Region({"a": 3, "b": 2}, timing=timing)
        self.region.run(STARTUP_S)
        self.stopping = self.region.non_owner("a")
        self.first = self.region.non_owner("b")
        self.holder = self.region.members[self.stopping].node.holder

    def submit(self, name, job_id="j1", run_s=RUN_S):
        # The estimate is too short to refuse the job for its length.
        submission = self.region.submit(name, job_id, 1, 0.00001, timeout_s=30, objective_s=20.0)
        self.region.backend.durations[job_id] = run_s
        return submission

    def begin(self):
        self.ends_at = self.region.runtime.now() + GRACE_S
        self.holder.last_answers.begin(self.ends_at)

    def give(self):
        self.region.run(self.ends_at - self.region.runtime.now())
        self.region.runtime.call(self.holder.last_answers.give)
        self.region.run(0.01)

    def test_job_whose_claim_is_not_answered_is_not_refused(self):
        # Guards against status 503 for a job that runs elsewhere, which the claim would have told.
        for timing in TIMINGS:
            self.start(timing)
            earlier = self.submit(self.first)
            self.region.run(0.3)
            self.begin()
            self.region.run(GRACE_S - JUST_BEFORE_S)
            again = self.submit(self.stopping)
            self.give()
            self.assertEqual(again.outcome.end, job.EndState.LOST)
            self.region.run(RUN_S)
            self.assertEqual(earlier.outcome, SUCCEEDED)

    def test_job_whose_first_holder_does_not_answer_is_not_refused(self):
        # Guards against status 503 for a job whose runs for a lost holder may go on.
        for timing in TIMINGS:
            self.start(timing)
            self.submit(self.first)
            self.region.run(0.3)
            self.region.kill(self.first)
            self.begin()
            again = self.submit(self.stopping)
            self.give()
            self.assertEqual(again.outcome.end, job.EndState.LOST)

    def test_job_that_ends_elsewhere_at_that_time_has_its_outcome(self):
        for timing in TIMINGS:
            self.start(timing)
            self.submit(self.first, run_s=0.2)
            self.begin()
            self.region.run(GRACE_S - JUST_BEFORE_S)
            again = self.submit(self.stopping, run_s=0.2)
            self.give()
            self.assertEqual(again.outcome, SUCCEEDED)

    def test_new_job_whose_claim_is_not_answered_is_refused_once_it_is(self):
        # Guards against a caller that waits in vain for the end of runs although there are none.
        for timing in TIMINGS:
            self.start(timing)
            self.begin()
            self.region.run(GRACE_S - JUST_BEFORE_S)
            submission = self.submit(self.stopping)
            self.give()
            self.assertEqual(submission.outcome.end, job.EndState.REFUSED)
            self.region.run(1.0)
            self.assertEqual(self.region.backend.starts, [])


class RefusedJob(unittest.TestCase):
    """A job that the last answers refused is sent again after the process has ended."""

    def test_it_starts_at_once_at_another_instance(self):
        # Guards against a caller that waits for the runs of a holder that has told it that there
        # are none.
        for timing in TIMINGS:
            region = rerun_region.Region({"a": 3, "b": 2}, timing=timing)
            region.run(STARTUP_S)
            stopping = region.non_owner("a")
            last_answers = region.members[stopping].node.holder.last_answers
            for data_centre in "ab":
                for number in range(12):
                    job_id = f"full{data_centre}{number}"
                    region.submit(region.owner(data_centre), job_id, 1, 1.5, timeout_s=30)
            region.run(0.3)
            refused = region.submit(stopping, "j1", 1, 0.1, timeout_s=30, objective_s=20.0)
            region.run(0.1)
            last_answers.begin(region.runtime.now() + GRACE_S)
            region.run(GRACE_S)
            region.runtime.call(last_answers.give)
            region.run(PROCESS_ENDS_S)
            self.assertEqual(refused.outcome.end, job.EndState.REFUSED)
            region.kill(stopping)
            region.run(refused.outcome.retry_after_s - PROCESS_ENDS_S)
            again = region.submit("b-1", "j1", 1, 0.1, timeout_s=30, objective_s=20.0)
            other = region.submit("b-1", "j2", 1, 0.1, timeout_s=30, objective_s=20.0)
            region.run(3.0)
            for submission in (other, again):
                self.assertEqual(submission.outcome, SUCCEEDED)
                self.assertLess(submission.duration_s, 0.2)


if __name__ == "__main__":
    unittest.main()
