import unittest

from rosedyke.rerunnable_jobs import job
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
DONE = job.Outcome(job.EndState.SUCCEEDED)


class KeptOutcomes(unittest.TestCase):
    """An owner keeps an outcome for 2 s, for a holder that missed it."""

    def setUp(self):
        self.region = rerun_region.Region({"a": 2})
        self.region.run(STARTUP_S)
        self.member = self.region.members[self.region.owner("a")]
        self.owner = self.member.node.owned_pools["a/r1"]

    def finish_job(self, job_id):
        self.region.submit(self.member.own.name, job_id, 1)
        self.region.run(0.01)
        (owned,) = self.owner.jobs.values()
        self.owner.finish(owned, DONE)
        return owned

    def kept(self):
        return sorted(job_id for job_id, _ in self.owner.finished)

    def test_each_outcome_expires_in_its_own_time(self):
        # Guards against an outcome that is renewed and keeps all later ones, and against one that
        # is dropped while its holder may still ask for it.
        owned = self.finish_job("j1")
        self.region.run(0.5)
        self.finish_job("j2")
        self.region.run(0.5)
        # As after a second submission of the job, whose holder missed the first outcome.
        self.owner.add_job(owned)
        self.owner.finish(owned, DONE)
        self.region.run(1.2)
        self.assertEqual(self.kept(), ["j1", "j2"])
        self.region.run(0.5)
        self.assertEqual(self.kept(), ["j1"])
        self.region.run(0.5)
        self.assertEqual(self.kept(), [])
