import itertools
import unittest

from rosedyke.job import answer, code
from rosedyke.membership import member, rendezvous
from rosedyke.standins import explore_region as region

UNKNOWN = answer.Ran.UNKNOWN


def job_with(pair, members, joiners=()):
    """Return a job id whose registrars are ``pair``, and ``joiners`` once these have joined."""
    for number in itertools.count():
        job_id = f"job-{number}"
        after = rendezvous.rank(job_id, (*members, *joiners))[: len(joiners)]
        if rendezvous.rank(job_id, members)[:2] == list(pair) and set(after) == set(joiners):
            return job_id
    raise AssertionError("unreachable")


def settled_cluster(counts):
    cluster = region.Region(counts)
    cluster.settle(5)
    return cluster


def disconnect(cluster, left, right):
    cluster.network.partition([left], [right])


class ConcurrentClaimants(unittest.TestCase):
    def test_claimants_that_reach_one_registrar_each_start_the_job_once(self):
        # A load balancer duplicates a request. One receiver reaches only the second registrar and
        # the other only the first. Only one of them may start the job.
        names = ("dc1a", "dc1b", "dc1c", "dc1d")
        cluster = settled_cluster({"dc1": 4, "dc2": 1})
        job_id = job_with(("dc1c", "dc1d"), names)
        disconnect(cluster, "dc1a", "dc1c")
        disconnect(cluster, "dc1b", "dc1d")
        calls = [cluster.submit(name, region.request_of(job_id)) for name in names[:2]]
        cluster.settle(11)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(calls[1].answer.code, code.Code.COMPLETE)


class UnderReplicatedClaims(unittest.TestCase):
    def test_resubmission_that_reaches_only_the_registrar_without_the_claim_runs_nothing(self):
        # The holder starts the job with the grant of one registrar. The resubmission reaches only
        # the other, which has no record of the claim.
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), ("dc1a", "dc1b", "dc1c"))
        disconnect(cluster, "dc1a", "dc1c")
        disconnect(cluster, "dc2a", "dc1b")
        first = cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.2)
        second = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.2))
        cluster.settle(11)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(first.answer.code, code.Code.COMPLETE)
        self.assertEqual(
            (second.answer.code, second.answer.ran), (code.Code.DATA_CENTRE_UNREACHABLE, UNKNOWN)
        )

    def test_first_registrar_as_holder_waits_for_a_replica_of_its_claim(self):
        # The holder is the first registrar, cannot reach the second and then dies. If it had
        # started the job, no live instance would have a record of the claim.
        cluster = settled_cluster({"dc1": 2, "dc2": 1})
        job_id = job_with(("dc1a", "dc1b"), ("dc1a", "dc1b"))
        disconnect(cluster, "dc1a", "dc1b")
        cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(1)
        cluster.crash("dc1a")
        cluster.declare_dead("dc1a")
        cluster.settle(1)
        second = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=2.0))
        cluster.settle(11)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(second.answer.code, code.Code.COMPLETE)

    def test_claim_is_replicated_to_an_unresponsive_registrar_after_recovery(self):
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), ("dc1a", "dc1b", "dc1c"))
        disconnect(cluster, "dc1a", "dc1c")
        cluster.answer("dc1a", region.request_of(job_id))
        self.assertIsNone(cluster.nodes["dc1c"].jobs.node.registrar.find(job_id))
        cluster.network.heal()
        cluster.settle(2)
        self.assertIsNotNone(cluster.nodes["dc1c"].jobs.node.registrar.find(job_id))
        self.assertEqual(cluster.nodes["dc1a"].jobs.node.under_replicated, set())


class StaleViews(unittest.TestCase):
    def test_claimant_with_a_stale_view_gets_no_grant_from_former_registrars(self):
        # Two instances join and become the job's registrars. A claimant in another data centre
        # still asks the former pair, which has no record of a claim taken since.
        names = ("dc1a", "dc1b", "dc1c")
        cluster = settled_cluster({"dc1": 3, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names, ("dc1x", "dc1y"))
        old_view = cluster.view()
        cluster.join("dc1x", "dc1")
        cluster.join("dc1y", "dc1")
        cluster.settle(1)
        cluster.nodes["dc2a"].views.set(old_view)
        first = cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.2)
        second = cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=0.2))
        cluster.settle(1)
        cluster.publish_view("dc2a")
        cluster.settle(10)
        self.assertEqual(cluster.violations(), [])
        self.assertEqual(second.answer, first.answer)

    def test_instance_declared_dead_by_its_registrar_gets_no_grant(self):
        # An instance is wrongly declared dead, takes a first attempt and reaches one registrar,
        # which then dies. Members do not wait for claims of a dead instance to be transferred, so
        # the claim would be lost.
        names = ("dc1a", "dc1b", "dc1c", "dc1d")
        cluster = settled_cluster({"dc1": 4, "dc2": 1})
        job_id = job_with(("dc1b", "dc1c"), names)
        cluster.set_state("dc1a", member.State.DEAD)
        cluster.publish_view("dc1b", "dc1c", "dc1d", "dc2a")
        cluster.settle(5)
        disconnect(cluster, "dc1a", "dc1c")
        first = cluster.submit("dc1a", region.request_of(job_id))
        cluster.settle(0.5)
        cluster.crash("dc1b")
        cluster.set_state("dc1b", member.State.DEAD)
        cluster.publish_view("dc1c", "dc1d", "dc2a")
        cluster.settle(0.5)
        cluster.submit("dc2a", region.request_of(job_id, attempt=2, age_s=1.0))
        cluster.settle(11)
        self.assertEqual(cluster.violations(), [])
        self.assertIs(first.answer.ran, UNKNOWN)


class UnreliableNetwork(unittest.TestCase):
    def test_lost_delayed_and_reordered_messages_never_start_a_task_twice(self):
        # A third of all messages is lost and the rest are reordered, some beyond the sender's
        # timeout, while several attempts run concurrently.
        for seed in range(60):
            cluster = settled_cluster({"dc1": 3, "dc2": 2})
            generator = cluster.clock.generator
            generator.seed(seed)
            cluster.network.delay_s = lambda source, target, message, g=generator: (
                None if g.random() < 0.33 else g.choice((0.0002, 0.001, 0.02, 0.2, 1.5))
            )
            for name, attempt in (("dc1a", 1), ("dc1b", 1), ("dc2a", 2), ("dc2b", None)):
                cluster.submit(name, region.request_of(attempt=attempt))
                cluster.settle(0.01)
            cluster.settle(12)
            self.assertEqual(cluster.violations(), [], seed)
