import unittest

from rosedyke.job import answer, answer_cache, code, handover, messages, settings
from rosedyke.standins import explore_region as region


def add_claims(node, count):
    for number in range(count):
        request = messages.ClaimRequest(f"job-{number}", 1, b"body", 0.0, 1, ())
        node.registrar.grant(node.own, request, node.now())


class ManyClaims(unittest.TestCase):
    def test_other_tasks_run_while_claims_are_ranked(self):
        # Ranking many claims without yielding would block the loop for seconds, and peers would
        # declare the instance dead.
        cluster = region.Region({"dc1": 3})
        cluster.settle()
        node = cluster.nodes["dc1a"].jobs.node
        add_claims(node, 1000)
        iterations = []
        done = []

        def other_task():
            while not done:
                iterations.append(len(iterations))
                cluster.clock.sleep(0)

        def run_plan():
            handover.plan_transfers(node, node.authority.members)
            done.append(True)

        cluster.clock.spawn(run_plan)
        cluster.clock.spawn(other_task)
        cluster.settle(1)
        self.assertGreaterEqual(len(iterations), 1000 / node.settings.transfer_slice - 1)

    def test_plan_is_abandoned_when_the_members_change(self):
        cluster = region.Region({"dc1": 3})
        cluster.settle()
        node = cluster.nodes["dc1a"].jobs.node
        add_claims(node, 1000)
        outcome = []
        members = node.authority.members
        cluster.clock.spawn(lambda: outcome.append(handover.plan_transfers(node, members)))
        cluster.clock.step()
        cluster.join("dc1x", "dc1")
        cluster.settle(5)
        self.assertEqual(outcome, [None])
        joined_claims = cluster.nodes["dc1x"].jobs.node.registrar.claims
        expected = [
            job_id
            for job_id in node.registrar.claims
            if "dc1x" in [peer.name for peer in node.authority.registrars(job_id)]
        ]
        self.assertTrue(expected)
        self.assertLessEqual(set(expected), set(joined_claims))


class Batches(unittest.TestCase):
    def test_batches_are_limited_by_count_and_bytes(self):
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
        self.assertEqual([handed_over for batch in batches for handed_over in batch], answers)
        for batch in batches:
            size = sum(answer_cache.size_of(handed_over.answer) for handed_over in batch)
            self.assertTrue(len(batch) == 1 or (len(batch) <= 3 and size <= 100))
