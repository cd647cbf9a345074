"""Overload of two pools, and failures in the middle of it, with all switches on."""

import collections
import unittest

from rosedyke.rerunnable_jobs import job, settings
from rosedyke.standins import rerun_region

STARTUP_S = 1.5
LINK_BYTES_PER_S = 250_000.0
PAYLOAD = "x" * 1200
# Three times what the links of the two owners carry, 20 jobs a second each.
JOBS_PER_S = 120
TIMEOUT_S = 1.5
# Queue, priority, tasks, run time and objective of each kind.
KINDS = (("tags", 0, 8, 0.06, 0.3), ("scans", 1, 2, 0.2, 0.5), ("maps", 2, 4, 0.4, 0.9))


def kind_of(job_id):
    """Return the kind of a job."""
    return KINDS[int(job_id[1:]) % len(KINDS)]


class OverloadedRegion:
    """Two data centres whose callers submit more jobs than the links of the owners carry.

    Attributes
    ----------
    submissions : dict of str to (str, Submission)
        The holder and the submission of each job; the last one if it was submitted again.
    """

    def __init__(self, seed):
        timing = settings.RerunSettings(
            balances_pools=True, schedules_by_kind=True, predicts_completion=True
        )
        self.region = rerun_region.Region({"a": 4, "b": 3}, 6, seed, timing, LINK_BYTES_PER_S)
        self.region.run(STARTUP_S)
        self.submissions = {}

    def submit(self, job_id, holder):
        """Submit a job, or submit it again, to an instance as a caller does."""
        queue, priority, count, duration_s, objective_s = kind_of(job_id)
        submission = self.region.submit(
            holder, job_id, count, duration_s, TIMEOUT_S, priority, objective_s, queue, PAYLOAD
        )
        self.submissions[job_id] = (holder, submission)

    def load(self, seconds, jobs_per_s=JOBS_PER_S):
        """Let all instances get jobs for a time, and return the ids."""
        first = len(self.submissions)
        for number in range(first, first + int(seconds * jobs_per_s)):
            names = sorted(self.region.members)
            self.submit(f"j{number}", names[number % len(names)])
            self.region.run(1 / jobs_per_s)
        return [f"j{number}" for number in range(first, len(self.submissions))]

    def kill_holder(self):
        """Kill an instance that owns no pool but holds jobs, and return the ids of these jobs."""
        name = self.region.non_owner("a")
        held = [
            job_id
            for job_id, (holder, submission) in self.submissions.items()
            if holder == name and submission.outcome is None
        ]
        self.region.kill(name)
        return held

    def cut_off(self, data_centre):
        """Cut a data centre off from all others and from the store."""
        region = self.region
        sides = [], []
        for name, member in region.members.items():
            sides[member.own.data_centre == data_centre].append(name)
            member.listed.reachable &= member.own.data_centre != data_centre
        region.partition_instances(*sides)
        region.backend.partitioned = {
            (name, server.listed.id)
            for name, member in region.members.items()
            for server in region.backend.servers.values()
            if (member.own.data_centre == data_centre) != (server.listed.data_centre == data_centre)
        }

    def set_store_reachable(self, is_reachable):
        """Let the store be away, or be back, for all instances."""
        for member in self.region.members.values():
            member.listed.reachable = is_reachable

    def heal(self):
        """End the partition."""
        self.region.network.heal()
        self.region.backend.partitioned = set()
        self.set_store_reachable(True)

    def goodput(self, job_ids):
        """Return the share of some jobs that succeeded."""
        outcomes = [self.submissions[job_id][1].outcome for job_id in job_ids]
        succeeded = [each for each in outcomes if each and each.end is job.EndState.SUCCEEDED]
        return len(succeeded) / len(job_ids)


class NothingFails(unittest.TestCase):
    def test_start_commands_are_sent_for_jobs_that_are_answered_in_useful_time(self):
        # Guards against jobs whose parts start at two owners at different times: a tenth of the
        # start commands belonged to jobs that were lost, and a third of the answers of priority 0
        # were useless.
        overloaded = OverloadedRegion(1)
        submissions = overloaded.submissions
        overloaded.load(4.0)
        overloaded.region.run(TIMEOUT_S + 0.1)
        backend, late_factor = overloaded.region.backend, overloaded.region.timing.late_factor
        starts = collections.Counter(job.job_id(task) for _, task, _ in backend.starts)
        useful = sum(
            count
            for job_id, count in starts.items()
            if submissions[job_id][1].outcome.end is job.EndState.SUCCEEDED
            and submissions[job_id][1].duration_s <= late_factor * kind_of(job_id)[-1]
        )
        self.assertGreater(useful, 0.9 * starts.total())
        self.assertEqual(backend.violations, [])


class HolderIsKilled(unittest.TestCase):
    """An instance that holds jobs is killed, and something else fails with it."""

    def run_failure(self, seed, fail, heal):
        """Let a holder and something else fail under load, and check all answers."""
        overloaded = OverloadedRegion(seed)
        region = overloaded.region
        overloaded.load(1.5)
        held = overloaded.kill_holder()
        self.assertGreater(len(held), 3)
        fail(overloaded)
        killed_at = region.runtime.now()
        during = overloaded.load(region.timing.resubmit_s)
        # The callers of the killed instance do not know whether their jobs ran.
        region.run(max(0.0, killed_at + region.timing.resubmit_s - region.runtime.now()))
        for job_id in held:
            overloaded.submit(job_id, sorted(region.members)[int(job_id[1:]) % 6])
        overloaded.load(0.7)
        heal(overloaded)
        overloaded.load(1.0)
        # Twice the time after which the page says that an overload is over.
        region.run(2.0)
        after = overloaded.load(0.5, 10)
        region.run(TIMEOUT_S + 0.1)
        self.assertEqual(region.backend.violations, [])
        for job_id, (_, submission) in overloaded.submissions.items():
            self.assertIsNotNone(submission.outcome, job_id)
            self.assertLess(submission.duration_s, TIMEOUT_S + 0.05, job_id)
            if submission.outcome.end is job.EndState.REFUSED:
                self.assertGreaterEqual(submission.outcome.retry_after_s, 0.75)
        self.assertGreater(overloaded.goodput(during), 0.1)
        self.assertEqual(overloaded.goodput(after), 1.0)

    def test_while_the_store_is_away(self):
        # Guards against parts that need the store under load, and against tasks of a killed
        # instance that still run when its callers submit them again.
        for seed in (1, 2):
            self.run_failure(
                seed,
                lambda overloaded: overloaded.set_store_reachable(False),
                lambda overloaded: overloaded.set_store_reachable(True),
            )

    def test_while_a_data_centre_is_cut_off(self):
        # Guards against tasks that run on both sides of a partition under load, and against a side
        # that waits for the other one.
        for seed in (1, 2):
            self.run_failure(
                seed, lambda overloaded: overloaded.cut_off("b"), OverloadedRegion.heal
            )
