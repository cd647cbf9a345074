import random
import unittest
import zlib

from rosedyke.scheduling import pool_balance


def score(pool, name):
    return zlib.crc32(f"{pool} {name}".encode())


def choose(owned, cores, name):
    """Return the move of an instance, given the pools and the cores of all by name."""
    loads = {
        other: pool_balance.InstanceLoad(other, cores[other], len(pools))
        for other, pools in owned.items()
    }
    sender = loads.pop(name)
    return pool_balance.choose_move(sender, sorted(owned[name]), loads.values(), score)


class Balance(unittest.TestCase):
    def test_owner_of_several_pools_hands_one_to_an_instance_without(self):
        owned = {"a": {"p1", "p2"}, "b": {"p3"}, "c": set()}
        self.assertEqual(choose(owned, dict.fromkeys(owned, 0.12), "a").receiver, "c")

    def test_pool_stays_if_the_receiver_would_then_have_more_for_its_cores(self):
        # Guards against a slow instance that gets as many pools as a fast one.
        owned = {"a": {"p1", "p2", "p3"}, "b": set()}
        self.assertIsNone(choose(owned, {"a": 4.0, "b": 1.0}, "a"))
        self.assertIsNotNone(choose(owned, {"a": 4.0, "b": 2.0}, "a"))
        self.assertIsNone(choose({"a": {"p1"}, "b": set()}, {"a": 1.0, "b": 9.0}, "a"))

    def test_best_candidate_wins_ties(self):
        owned = {"a": {"p1", "p2"}, "b": set(), "c": set(), "d": set()}
        move = choose(owned, dict.fromkeys(owned, 1.0), "a")
        best = min((score(pool, name), pool, name) for pool in owned["a"] for name in "bcd")
        self.assertEqual((move.pool, move.receiver), best[1:])

    def test_no_pool_returns_or_is_handed_on(self):
        # Guards against pools that wander between instances and interrupt their jobs each time.
        for seed in range(200):
            generator = random.Random(seed)
            names = [f"i{number}" for number in range(generator.randint(2, 8))]
            cores = {name: generator.choice((0.12, 0.4, 0.8, 1.0, 2.0)) for name in names}
            owned = {name: set() for name in names}
            for number in range(generator.randint(1, 15)):
                owned[generator.choice(names)].add(f"p{number}")
            moved = set()
            while senders := [name for name in names if choose(owned, cores, name)]:
                sender = generator.choice(senders)
                move = choose(owned, cores, sender)
                owned[sender].remove(move.pool)
                owned[move.receiver].add(move.pool)
                self.assertNotIn(move.pool, moved, seed)
                moved.add(move.pool)
                self.assertIsNone(choose(owned, cores, move.receiver), seed)
