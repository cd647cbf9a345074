import unittest

from rosedyke.rerunnable_jobs import job, messages
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)


def started(region):
    return {job.job_id(task) for _, task, _ in region.backend.starts}


class RefusedPart(unittest.TestCase):
    """A job has parts in two pools, one of which is refused."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 2, "b": 2})
        self.region.run(STARTUP_S)

    def fill(self, data_centre, tasks, duration_s):
        """Run one-core tasks in a pool of twelve cores."""
        owner = self.region.members[self.region.owner(data_centre)]
        owner.node.holder.choose_pools = lambda work, count: {f"{data_centre}/r1": count}
        self.region.submit(owner.own.name, f"{data_centre}-full", tasks, duration_s, 20)
        self.region.run(0.02)

    def submit_split(self, **options):
        """Submit a job with two tasks for each pool."""
        name = self.region.non_owner("a")
        holder = self.region.members[name].node.holder
        usual_choice = holder.choose_pools
        holder.choose_pools = lambda work, count: {"a/r1": 2, "b/r1": 2}
        submission = self.region.submit(name, "j1", 4, **options)
        self.region.run(0.001)
        holder.choose_pools = usual_choice
        return submission

    def test_job_of_which_nothing_has_started_is_refused(self):
        # Guards against the outcome LOST, after which the caller must not resubmit at once.
        self.fill("a", 12, 9.0)
        self.fill("b", 12, 9.0)
        submission = self.submit_split(timeout_s=1.05)
        self.region.run(1.2)
        self.assertEqual(submission.outcome.end, job.EndState.REFUSED)
        self.region.run(10.0)
        self.assertNotIn("j1", started(self.region))

    def test_started_job_continues_in_another_pool(self):
        # Guards against a partly finished job that ends because one part was refused.
        self.fill("a", 10, 9.0)
        self.fill("b", 12, 9.0)
        self.region.members[self.region.owner("b")].node.request_capacity = lambda *request: None
        submission = self.submit_split(timeout_s=8.0)
        self.region.run(5.0)
        self.assertEqual((submission.outcome, self.region.backend.violations), (DONE, []))

    def test_owner_that_does_not_answer_may_have_started_its_part(self):
        # Guards against the outcome REFUSED while an owner is unreachable.
        self.fill("a", 10, 9.0)
        self.fill("b", 12, 9.0)
        self.region.members[self.region.owner("b")].node.request_capacity = lambda *request: None
        submission = self.submit_split(duration_s=0.9, timeout_s=1.2)
        name, owner = self.region.non_owner("a"), self.region.owner("a")
        self.region.partition_instances([name], [owner])
        self.region.run(3.0)
        self.assertEqual(submission.outcome.end, job.EndState.LOST)

    def test_part_is_resubmitted_after_the_withdrawal_reply_is_lost(self):
        # Guards against tasks that the owner has dropped while the holder still counts on it.
        self.fill("a", 12, 4.5)
        self.fill("b", 12, 4.5)
        owned_pool = self.region.members[self.region.owner("a")].node.owned_pools["a/r1"]
        owned_pool._end_infeasible_jobs = lambda now: None
        usual_delay = self.region.network.delay_s
        self.region.network.delay_s = lambda source, target, message: (
            None
            if isinstance(message, messages.Withdrawn)
            else usual_delay(source, target, message)
        )
        submission = self.submit_split(timeout_s=9.0)
        self.region.run(3.7)
        self.assertEqual(owned_pool.finished, {})
        self.region.run(5.0)
        self.assertEqual((submission.outcome, self.region.backend.violations), (DONE, []))


class Burst(unittest.TestCase):
    def test_refused_jobs_have_not_run_and_no_task_runs_twice_when_messages_are_slow(self):
        # Guards against tasks that are submitted twice, once as released and once as withdrawn, and
        # against refusals of started jobs.
        for seed in range(1, 5):
            region = rerun_region.Region({"a": 2, "b": 2, "c": 2}, seed=seed)
            region.run(STARTUP_S)
            uniform = region.runtime.random
            region.network.delay_s = (
                lambda source, target, message, uniform=uniform: 0.03 * uniform()
            )
            submissions = {}
            for number in range(150):
                name = f"{'abc'[number % 3]}-{1 + number % 2}"
                submissions[f"j{number}"] = region.submit(
                    name, f"j{number}", 2 + number % 17, 0.1 + 0.3 * uniform(), timeout_s=1.5
                )
                region.run(0.012)
            region.run(8.0)
            ends = {name: submission.outcome.end for name, submission in submissions.items()}
            refused = {name for name, end in ends.items() if end is job.EndState.REFUSED}
            self.assertEqual((region.backend.violations, refused & started(region)), ([], set()))
            self.assertGreater(len(refused), 0)
