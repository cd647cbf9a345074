import unittest

from rosedyke.job import answer, code, handover, kept, messages, settings
from rosedyke.standins import explore_region as region


def claims(node, count):
    for number in range(count):
        request = messages.ClaimRequest(f"job-{number}", 1, b"body", 0.0, 1, ())
        node.registrar.grant(node.own, request, node.now())


class ManyClaims(unittest.TestCase):
    def test_other_tasks_run_while_claims_are_ranked(self):
        # A member joins while an instance holds many claims. Ranking them all in one go would
        # hold its loop for seconds; its peers would then declare it dead.
        built = region.Region({"dc1": 3})
        built.settle()
        node = built.nodes["dc1a"].jobs.node
        claims(node, 1000)
        turns = []
        done = []

        def other_task():
            while not done:
                turns.append(len(turns))
                built.clock.sleep(0)

        def plan():
            handover.plan(node, node.authority.members)
            done.append(True)

        built.clock.spawn(plan)
        built.clock.spawn(other_task)
        built.settle(1)
        self.assertGreaterEqual(len(turns), 1000 / node.settings.transfer_slice - 1)

    def test_plan_ends_when_the_members_change_meanwhile(self):
        built = region.Region({"dc1": 3})
        built.settle()
        node = built.nodes["dc1a"].jobs.node
        claims(node, 1000)
        outcome = []
        members = node.authority.members
        built.clock.spawn(lambda: outcome.append(handover.plan(node, members)))
        built.clock.step()
        built.join("dc1x", "dc1")
        built.settle(5)
        self.assertEqual(outcome, [None])
        joined = built.nodes["dc1x"].jobs.node.registrar.claims
        mine = [
            job_id
            for job_id in node.registrar.claims
            if "dc1x" in [one.name for one in node.authority.registrars(job_id)]
        ]
        self.assertTrue(mine)
        self.assertLessEqual(set(mine), set(joined))


class Batches(unittest.TestCase):
    def test_bounded_by_count_and_bytes(self):
        limits = settings.JobSettings(transfer_batch=3, transfer_bytes=100)
        answers = [
            messages.HandedOverAnswer(
                answer.Answer(f"j{n}", code.Code.COMPLETE, answer.Ran.YES, (b"x" * size,)),
                b"",
                1,
                1.0,
            )
            for n, size in enumerate((10, 10, 10, 10, 60, 60, 500, 10))
        ]
        batches = list(handover.batches(answers, limits))
        self.assertEqual([one for batch in batches for one in batch], answers)
        for batch in batches:
            size = sum(kept.size_of(one.answer) for one in batch)
            self.assertTrue(len(batch) == 1 or (len(batch) <= 3 and size <= 100))
