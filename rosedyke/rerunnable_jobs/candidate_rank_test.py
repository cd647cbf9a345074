import unittest
from unittest import mock

import attrs

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

    def ranked(self, pool, data_centres):
        """Return the names of the known instances of some data centres, best candidate first."""
        everyone = [*self.fleet.instances().values(), THIS_INSTANCE]
        group = [instance for instance in everyone if instance.data_centre in data_centres]
        return [instance.name for instance in election.rank_candidates(pool, pool[0], group)]

    def test_only_alive_instances_count(self):
        self.assertEqual(self.ranks.rank_for("a/r1"), 0)
        self.contact_all()
        for pool in ("a/r1", "a/r2", "a/r3", "a/r4"):
            self.assertEqual(self.ranks.rank_for(pool), self.ranked(pool, "a").index("a-1"))
        self.assertGreater(max(self.ranks.ranks.values()), 0)
        self.runtime.run(1.0)
        self.assertEqual(self.ranks.rank_for("a/r1"), 0)

    def test_remote_candidate_is_ranked_among_remote_ones(self):
        # Guards against a candidate that waits for all instances of a data centre that is lost but
        # whose loss it has not noticed yet.
        self.contact_all()
        for pool in ("b/r1", "b/r2", "b/r3", "b/r4"):
            self.assertEqual(self.ranks.rank_for(pool), self.ranked(pool, "a").index("a-1"))

    def test_excluded_instance_does_not_count_even_if_alive(self):
        self.contact_all()
        for pool in ("a/r1", "a/r2", "a/r3", "a/r4"):
            names = self.ranked(pool, "a")
            names.remove("a-2")
            self.assertEqual(self.ranks.rank_for(pool, "a-2"), names.index("a-1"))

    def test_rank_follows_the_known_instances(self):
        # Guards against a rank computed from an earlier list: instances join, move and leave.
        pools = [f"a/r{number}" for number in range(8)]
        self.contact_all()
        for pool in pools:
            self.ranks.rank_for(pool)
        joined = [messages.Instance(f"a-{n}", f"10.0.1.{n}:7000", "a") for n in range(10, 16)]
        for instance in joined:
            self.fleet.record_contact(instance)
        for pool in pools:
            self.assertEqual(self.ranks.rank_for(pool), self.ranked(pool, "a").index("a-1"))
        # The same name comes back in another data centre.
        self.fleet.record_contact(attrs.evolve(joined[0], data_centre="b"))
        for instance in joined[1:]:
            del self.fleet.last_contact[instance.name]
            del self.fleet.contacted[instance.name]
        self.fleet.cached_instances = None
        self.runtime.run(0.1)
        for pool in pools:
            self.assertEqual(self.ranks.rank_for(pool), self.ranked(pool, "a").index("a-1"))

    def test_rank_is_bounded(self):
        for number in range(100, 160):
            self.fleet.record_contact(messages.Instance(f"a-{number}", f"{number}:7000", "a"))
        ranks = [self.ranks.rank_for(f"a/r{number}") for number in range(40)]
        self.assertEqual(max(ranks), candidate_rank.MAX_RANK)
        self.assertLess(min(ranks), candidate_rank.MAX_RANK)

    def test_join_of_an_instance_hashes_only_that_instance(self):
        # Guards against a start of a large fleet in which each join hashes all instances for all
        # pools: 300 instances and 375 pools would take seconds of processor time.
        pools = [f"a/r{number}" for number in range(50)]
        for pool in pools:
            self.ranks.rank_for(pool)
        with mock.patch.object(election, "score", wraps=election.score) as score:
            self.fleet.record_contact(messages.Instance("a-9", "10.0.0.9:7000", "a"))
            for pool in pools:
                self.ranks.rank_for(pool)
        self.assertEqual(score.call_count, len(pools))


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
