import unittest

from rosedyke.rerunnable_jobs import candidate_rank, election, fleet_view, messages, settings
from rosedyke.standins import rerun_region, virtual

THIS_INSTANCE = messages.Instance("a-1", "10.0.0.1:7000", "a")


class Directory:
    """Lists fixed instances."""

    def __init__(self, *names):
        self.listed = tuple(
            messages.Instance(name, f"10.0.0.{index}:7000", name[0])
            for index, name in enumerate(names, 2)
        )

    def instances(self):
        return self.listed


class RankCache(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        directory = Directory("a-2", "a-3", "b-1", "b-2")
        self.fleet = fleet_view.FleetView(
            THIS_INSTANCE, settings.RerunSettings(), self.runtime, directory
        )
        self.ranks = candidate_rank.RankCache(self.fleet)

    def contact_all(self):
        for instance in self.fleet.directory.instances():
            self.fleet.record_contact(instance)

    def test_only_alive_instances_count(self):
        self.assertEqual(self.ranks.rank_for("a/r1"), candidate_rank.CandidateRank(0, 1))
        self.contact_all()
        candidates = election.rank_candidates(
            "a/r1", "a", [*self.fleet.instances().values(), THIS_INSTANCE]
        )
        self.assertEqual(
            self.ranks.rank_for("a/r1"),
            candidate_rank.CandidateRank(candidates.index(THIS_INSTANCE), 3),
        )
        self.runtime.run(1.0)
        self.assertEqual(self.ranks.rank_for("a/r1"), candidate_rank.CandidateRank(0, 1))

    def test_excluded_instance_does_not_count_even_if_alive(self):
        self.contact_all()
        candidates = election.rank_candidates(
            "b/r1", "b", [*self.fleet.instances().values(), THIS_INSTANCE]
        )
        rank = self.ranks.rank_for("b/r1", candidates[0].name)
        self.assertEqual(rank, candidate_rank.CandidateRank(candidates.index(THIS_INSTANCE) - 1, 1))

    def test_unlisted_instance_counts_after_first_contact(self):
        self.contact_all()
        before = self.ranks.rank_for("a/r1")
        self.fleet.record_contact(messages.Instance("a-9", "10.0.0.9:7000", "a"))
        self.assertEqual(self.ranks.rank_for("a/r1").local_count, before.local_count + 1)


def clock_reads_per_instance(data_centres):
    """Return how often an idle instance reads its clock per second, as a measure of its work."""
    region = rerun_region.Region({name: 5 for name in data_centres})
    region.run(3.0)
    reads = 0
    usual_now = region.runtime.now

    def count():
        nonlocal reads
        reads += 1
        return usual_now()

    region.runtime.now = count
    region.run(1.0)
    return reads / len(region.members)


class IdleFleet(unittest.TestCase):
    def test_cost_of_an_idle_instance_does_not_grow_with_instances_times_pools(self):
        # Guards against ranking all instances for all pools in every check: three times as many of
        # both would cost nine times as much.
        self.assertLess(
            clock_reads_per_instance("abcdefghi"), 3.0 * clock_reads_per_instance("abc")
        )
