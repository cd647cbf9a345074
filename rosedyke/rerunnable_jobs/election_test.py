import collections
import unittest

from rosedyke.rerunnable_jobs import election, messages

# Number of machines and cores per machine of each kind.
CORES = {"fast": (3, 2.15), "middle": (4, 1.29), "slow": (12, 0.387)}
POOLS = 500


def instances(data_centre):
    return [
        messages.Instance(f"{data_centre}-{kind}-{number}", "10.0.0.1:7000", data_centre, cores)
        for kind, (count, cores) in CORES.items()
        for number in range(count)
    ]


class Speed(unittest.TestCase):
    def test_slow_machines_own_few_pools_beside_faster_ones(self):
        # Guards against unweighted ranking, by which slow machines would own 12 of 19 pools.
        owners = collections.Counter(
            election.rank_candidates(f"a/r{number}", "a", instances("a"))[0].name.split("-")[1]
            for number in range(POOLS)
        )
        self.assertLess(owners["slow"] / POOLS, 0.15)
        self.assertGreater(owners["fast"] / POOLS, 0.5)

    def test_slow_local_machine_ranks_before_fast_remote_ones(self):
        local = messages.Instance("b-1", "10.0.0.2:7000", "b", 0.1)
        self.assertEqual(election.rank_candidates("b/r1", "b", [*instances("a"), local])[0], local)
