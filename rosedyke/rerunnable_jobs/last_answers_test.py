import unittest

from rosedyke.rerunnable_jobs import job, last_answers, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
GRACE_S = 3.0
PREDICTING = settings.RerunSettings(predicts_completion=True)
TIMINGS = (settings.RerunSettings(), PREDICTING)
SUCCEEDED = job.Outcome(job.EndState.SUCCEEDED)
REFUSED, LOST = job.EndState.REFUSED, job.EndState.LOST
# A lost owner's or holder's runs are over after this time.
RUNS_OVER_S = 1.3


class LastAnswers(unittest.TestCase):
    """``a-1``, or the other instance of its data centre that owns no pool, shuts down."""

    def start(self, timing=PREDICTING, name=None):
        self.region = rerun_region.Region({"a": 3, "b": 2}, timing=timing)
        self.region.run(STARTUP_S)
        self.name = name or self.region.non_owner("a")
        self.holder = self.region.members[self.name].node.holder

    def begin(self):
        self.ends_at = self.region.runtime.now() + GRACE_S
        self.holder.last_answers.begin(self.ends_at)

    def give(self):
        """Let time pass until the last answers are due, and give them."""
        self.region.run(self.ends_at - self.region.runtime.now())
        self.region.runtime.call(self.holder.last_answers.give)

    def submit(self, job_id, duration_s=0.3, name=None, **options):
        options = {"timeout_s": 30, "objective_s": 20.0, **options}
        return self.region.submit(name or self.name, job_id, 1, duration_s, **options)

    def fill_servers(self, duration_s=10.0):
        for data_centre in "ab":
            submitter = (
                f"{data_centre}-2" if self.name != f"{data_centre}-2" else f"{data_centre}-1"
            )
            for number in range(12):
                self.submit(f"full{data_centre}{number}", duration_s, submitter)
        self.region.run(0.3)

    def starts_of(self, job_id):
        starts = self.region.backend.starts
        return [task for _, task, _ in starts if task.startswith(f"{job_id}.")]

    def assert_no_runs(self, job_id):
        running = {
            job.job_id(run.task)
            for server in self.region.backend.servers.values()
            for run in server.runs.values()
        }
        self.assertNotIn(job_id, running)
        self.assertEqual(self.region.backend.violations, [])

    def test_job_that_can_end_in_time_is_served(self):
        # Guards against refusing work that can be done before the instance ends.
        for timing in TIMINGS:
            self.start(timing)
            self.begin()
            early = self.submit("early")
            self.region.run(GRACE_S - 0.6)
            late = self.submit("late", 0.5)
            self.give()
            self.assertEqual([early.outcome, late.outcome], [SUCCEEDED, SUCCEEDED])

    def test_job_that_is_too_long_is_refused_at_once(self):
        # Guards against work that is started in vain, and a caller that waits in vain.
        for timing in TIMINGS:
            self.start(timing)
            self.begin()
            submission = self.submit("long", 2 * GRACE_S)
            self.region.run(0.1)
            self.assertEqual(submission.outcome.end, REFUSED)
            self.assertEqual(submission.outcome.reason, last_answers.TOO_LONG)
            self.region.run(GRACE_S)
            self.assertEqual(self.starts_of("long"), [])

    def test_job_that_would_wait_for_too_long_is_refused_by_prediction(self):
        # Guards against a caller that could use another instance and waits until the end.
        self.start()
        self.fill_servers()
        self.begin()
        submission = self.submit("waiting")
        self.region.run(GRACE_S / 4)
        self.assertEqual(submission.outcome.end, REFUSED)
        self.assertEqual(submission.outcome.retry_after_s, 1.0)
        self.region.run(GRACE_S)
        self.assertEqual(self.starts_of("waiting"), [])

    def test_job_that_has_not_started_is_refused_at_the_end(self):
        # Guards against a caller that waits until no run can be left although there was none.
        for timing in TIMINGS:
            self.start(timing)
            self.fill_servers()
            submission = self.submit("waiting", 1.0)
            self.region.run(0.1)
            self.begin()
            self.give()
            self.region.run(0.1)
            self.assertEqual(submission.outcome.end, REFUSED)
            self.assertEqual(submission.outcome.retry_after_s, 1.0)
            self.region.run(12.0)
            self.assertEqual(self.starts_of("waiting"), [])

    def test_job_that_runs_ends_as_lost_and_is_stopped(self):
        # Guards against a cut connection, and against runs that go on when the job is sent again.
        for timing in TIMINGS:
            for owner in (False, True):
                self.start(timing)
                if owner:
                    self.start(timing, self.region.owner("a"))
                submission = self.submit("running", 10.0)
                self.region.run(0.1)
                self.begin()
                self.give()
                self.region.run(0.1)
                self.assertEqual(submission.outcome.end, LOST)
                self.assertEqual(submission.outcome.reason, last_answers.SHUTS_DOWN)
                self.assertEqual(len(self.starts_of("running")), 1)
                self.region.run(0.5)
                self.assert_no_runs("running")

    def test_answers_do_not_wait_for_an_owner_that_is_lost(self):
        # Guards against last answers that come after the end of the process.
        self.start()
        submission = self.submit("running", 10.0)
        self.region.run(0.1)
        self.begin()
        self.region.run(GRACE_S - 0.05)
        others = [name for name in self.region.members if name != self.name]
        self.region.partition_instances([self.name], others)
        self.give()
        self.assertEqual(submission.outcome.end, LOST)
        self.assertLess(submission.ended_at, self.ends_at + last_answers.LAST_ANSWERS_S + 0.01)

    def test_new_job_is_refused_from_then_on(self):
        for timing in TIMINGS:
            self.start(timing)
            self.begin()
            self.give()
            submission = self.submit("new")
            self.region.run(0.01)
            self.assertEqual(submission.outcome.end, REFUSED)
            self.assertEqual(submission.outcome.retry_after_s, 1.0)
            self.region.run(1.0)
            self.assertEqual(self.starts_of("new"), [])

    def test_job_that_is_sent_again_has_its_outcome_and_is_not_refused(self):
        # Guards against status 503 for a job that has run here.
        self.start()
        self.submit("running", 10.0)
        self.region.run(0.1)
        self.begin()
        self.region.run(GRACE_S - 1.0)
        self.submit("done")
        self.give()
        again = [self.submit("done"), self.submit("running", 10.0)]
        self.region.run(last_answers.LAST_ANSWERS_S + 0.1)
        self.assertEqual([entry.outcome.end for entry in again], [SUCCEEDED.end, LOST])
        self.assertEqual(len(self.starts_of("running")), 1)

    def test_job_that_another_instance_holds_is_not_refused(self):
        # Guards against status 503 for a job that runs for an earlier request.
        self.start()
        other = self.submit("shared", 4.0, "b-1")
        self.region.run(0.2)
        here = self.submit("shared", 4.0)
        self.region.run(0.2)
        self.begin()
        self.give()
        self.assertEqual(here.outcome.end, LOST)
        self.region.run(3.0)
        self.assertEqual(other.outcome, SUCCEEDED)
        self.assertEqual(len(self.starts_of("shared")), 1)
        self.assert_no_runs("shared")

    def test_caller_of_another_instance_that_has_joined_is_served(self):
        # Guards against two runs at once when the job's holder ends, and against a job that is lost
        # with it.
        for is_killed in (False, True):
            self.start()
            here = self.submit("shared", 4.0)
            self.region.run(0.2)
            other = self.submit("shared", 4.0, "b-1")
            self.region.run(0.2)
            self.begin()
            self.give()
            self.assertEqual(here.outcome.end, LOST)
            if is_killed:
                self.region.kill(self.name)
            self.region.run(RUNS_OVER_S + 4.5)
            self.assertEqual(other.outcome, SUCCEEDED)
            self.assert_no_runs("shared")

    def test_caller_that_goes_meanwhile(self):
        # Guards against a task that starts for a caller that has gone.
        self.start()
        self.fill_servers(2.0)
        submission = self.submit("waiting", 1.0)
        self.begin()
        self.region.run(0.5)
        submission.disconnected.set()
        self.give()
        self.region.run(4.0)
        self.assertEqual(submission.outcome.end, job.EndState.CANCELLED)
        self.assertEqual(self.starts_of("waiting"), [])

    def test_nothing_changes_before_the_shutdown(self):
        self.start()
        submission = self.submit("long", 4.0)
        self.region.run(5.0)
        self.assertEqual(submission.outcome, SUCCEEDED)
