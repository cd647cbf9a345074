import unittest

import attrs

from rosedyke.scheduling import pool_split

STARTING = pool_split.StartingFleet(
    {"a/r1": 32, "a/r2": 17, "a/r3": 6},
    (0.12,) * 4,
    reachable_instances=3,
    owned_pools=0,
    listed_s=2.0,
    known_s=1.6,
    unchanged_s=0.6,
)


class Creation(unittest.TestCase):
    def test_pools_by_servers(self):
        counts = [pool_split.count_pools(servers) for servers in (0, 7, 15, 16, 31, 32, 100)]
        self.assertEqual(counts, [1, 1, 2, 2, 4, 4, 4])

    def test_record_of_a_starting_fleet(self):
        self.assertEqual(pool_split.choose_splits(STARTING), {"a/r1": 4, "a/r2": 2})
        unsplit = attrs.evolve(STARTING, servers_by_rack={"a/r3": 6, "a/r#1": 32})
        self.assertEqual(pool_split.choose_splits(unsplit), {})

    def test_no_record_in_any_other_fleet(self):
        # Guards against new names of pools in a fleet that runs, is cut off or is not small.
        for change in (
            {"owned_pools": 1},
            {"instance_cores": (0.12, 0.12, 0.12, 0.25)},
            {"instance_cores": (0.12, 0.12, 0.12)},
            {"servers_by_rack": {}},
            {"reachable_instances": 2},
            {"known_s": 1.4},
            {"unchanged_s": 0.4},
            {"listed_s": 4.0},
        ):
            self.assertIsNone(pool_split.choose_splits(attrs.evolve(STARTING, **change)), change)

    def test_wait_for_the_record(self):
        self.assertTrue(pool_split.may_claim(False, None, None))
        self.assertTrue(pool_split.may_claim(True, {}, None))
        waits = [pool_split.may_claim(True, None, listed_s) for listed_s in (None, 3.9, 4.0)]
        self.assertEqual(waits, [False, False, True])


class Names(unittest.TestCase):
    def test_servers_spread_over_all_pools_of_their_rack(self):
        splits = {"a/r1": 4}
        pools = [pool_split.pool_of("a/r1", f"s-{number}", splits) for number in range(400)]
        self.assertEqual(set(pools), {f"a/r1#{number}" for number in range(4)})
        self.assertTrue(all(70 < pools.count(pool) < 130 for pool in set(pools)))
        self.assertEqual(pool_split.pool_of("a/r2", "s-1", splits), "a/r2")

    def test_hash_is_the_same_in_every_process(self):
        # Guards against a hash with a seed or of another version.
        self.assertEqual(pool_split.pool_of("a/r1", "s-1", {"a/r1": 1000}), "a/r1#315")

    def test_current_names(self):
        splits = {"a/r1": 2}
        for pool, is_current in (
            ("a/r1", False),
            ("a/r1#0", True),
            ("a/r1#1", True),
            ("a/r1#2", False),
            ("a/r2", True),
            ("a/r2#0", False),
        ):
            self.assertEqual(pool_split.is_current(pool, splits), is_current, pool)
        self.assertEqual(
            [pool_split.rack_of(pool) for pool in ("a/r1#1", "a/x#y")], ["a/r1", "a/x#y"]
        )
