import unittest

from rosedyke.rerunnable_jobs import job, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)


class SpentBudget(unittest.TestCase):
    """No instance has retry budget left for ten seconds."""

    def start(self, predicts=True):
        timing = settings.RerunSettings(predicts_completion=predicts)
        self.region = rerun_region.Region({"a": 2, "b": 2}, timing=timing)
        self.region.run(STARTUP_S)
        for member in self.region.members.values():
            while member.node.resubmissions.budget.try_spend(self.region.runtime.now()):
                pass

    def submit_to_full_pool(self, full_s, **options):
        """Submit a job to the pool of data centre a while tasks run on all of its cores."""
        holder = self.region.members[self.region.non_owner("a")]
        holder.node.holder.choose_pools = lambda work, count: {"a/r1": count}
        self.region.submit(holder.own.name, "full", 12, full_s, timeout_s=30)
        self.region.run(0.02)
        return self.region.submit(holder.own.name, "j1", **options)

    def servers_of(self, job_id):
        return [server for _, task, server in self.region.backend.starts if job_id in task]

    def test_waiting_task_moves_to_offered_capacity(self):
        # Guards against tasks that are refused in a full pool while servers of another are idle:
        # in an overload, moves had spent the budget within two seconds.
        self.start()
        submission = self.submit_to_full_pool(0.5)
        self.region.run(0.3)
        self.assertEqual(submission.outcome, DONE)
        self.assertEqual([server[:3] for server in self.servers_of("j1")], ["s-b"])

    def test_refused_job_is_not_submitted_to_another_pool(self):
        self.start()
        for member in self.region.members.values():
            member.node.request_capacity = lambda *demand: None  # no other pool offers any
        submission = self.submit_to_full_pool(5.0, objective_s=0.2)
        self.region.run(2.0)
        self.assertEqual(submission.outcome.end, job.EndState.REFUSED)
        self.assertEqual(self.servers_of("j1"), [])

    def test_failed_run_is_not_repeated(self):
        # Guards against servers that are filled with runs of jobs that fail everywhere.
        self.start()
        for server in self.region.backend.servers.values():
            server.fails_all = True
        self.region.submit("a-1", "j1", timeout_s=3.0)
        self.region.run(2.0)
        self.assertEqual(len(self.servers_of("j1")), 1)

    def test_takeover_needs_no_budget(self):
        # Guards against jobs that are lost with their owner because of unrelated resubmissions.
        self.start()
        submission = self.region.submit(self.region.non_owner("a"), "j1", 3, 1.2, timeout_s=8)
        self.region.run(0.2)
        self.region.kill(self.region.owner("a"))
        self.region.run(5.0)
        self.assertEqual((submission.outcome, self.region.backend.violations), (DONE, []))

    def test_nothing_is_limited_without_the_switch(self):
        self.start(predicts=False)
        self.submit_to_full_pool(0.5)
        self.region.run(0.3)
        self.assertTrue(self.servers_of("j1")[0].startswith("s-b"))
