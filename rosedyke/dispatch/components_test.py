"""The small parts: learned speeds, routing, delays, retry budget, shares of limits."""

import random
import unittest

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import lateness, messages, retry_budget, routing, sharding, speed


class Speeds(unittest.TestCase):
    def learn(self, table, servers, tasks, source, count=600):
        for _ in range(count):
            server = source.choice(list(servers))
            task = source.choice(list(tasks))
            noise = 0.9 + 0.2 * source.random()
            table.learn(task, server, 1.0, tasks[task] / servers[server] * noise)

    def test_run_times_far_from_declared_are_learned_for_each_server(self):
        table = speed.SpeedTable()
        servers = {"s1": 1.0, "s2": 2.0, "s3": 8.0}
        self.learn(table, servers, {"tag": 0.2, "grade": 5.0}, random.Random(1))
        for server, pace in servers.items():
            self.assertAlmostEqual(table.expected_s("grade", server, 1.0) * pace / 5.0, 1.0, 1)

    def test_a_task_never_seen_on_a_server_follows_from_the_others(self):
        table = speed.SpeedTable()
        source = random.Random(1)
        self.learn(table, {"s1": 1.0, "s2": 4.0}, {"tag": 0.2}, source)
        self.learn(table, {"s1": 1.0}, {"grade": 5.0}, source)
        expected = table.expected_s("grade", "s2", 1.0)
        self.assertTrue(0.9 < expected / 1.25 < 1.2, expected)

    def test_owners_of_different_servers_mean_the_same_by_a_reference_second(self):
        fast, slow = speed.SpeedTable(), speed.SpeedTable()
        tasks = {"tag": 0.2, "grade": 5.0}
        self.learn(fast, {"f1": 8.0, "f2": 6.0}, tasks, random.Random(1))
        self.learn(slow, {"s1": 1.0, "s2": 2.0}, tasks, random.Random(2))
        ratio = slow.slowness("s1") / fast.slowness("f1")
        self.assertTrue(7.0 < ratio < 9.0, ratio)
        same = fast.reference_s("tag", 1.0) / slow.reference_s("tag", 1.0)
        self.assertTrue(0.9 < same < 1.1, same)


class Routing(unittest.TestCase):
    def test_busy_pool_shares_a_large_job_with_idle_ones(self):
        busy = messages.PoolReport((), 40.0, 8.0, 8.0, 8)
        idle = messages.PoolReport(((1.0, 8),), 0.0, 0.0, 8.0, 8)
        estimates = [routing.estimate("own", busy), routing.estimate("far", idle)]
        placed = routing.split([(0.1, index) for index in range(300)], estimates)
        self.assertGreater(len(placed["far"]), 290)

    def test_job_is_split_by_the_pools_rates(self):
        reports = {"a": 30.0, "b": 10.0}
        estimates = [
            routing.estimate(key, messages.PoolReport((), 0.0, 0.0, rate, 8))
            for key, rate in reports.items()
        ]
        placed = routing.split([(1.0, index) for index in range(200)], estimates)
        self.assertTrue(140 <= len(placed["a"]) <= 160, len(placed["a"]))


class Delays(unittest.TestCase):
    def test_delay_is_what_exceeds_the_fastest_message(self):
        clocks = lateness.Lateness()
        self.assertEqual(clocks.delay_s("a", 1000.0, 5.0), 0.0)
        self.assertAlmostEqual(clocks.delay_s("a", 1001.0, 8.0), 2.0)
        self.assertAlmostEqual(clocks.delay_s("a", 1002.0, 7.0), 0.0)

    def test_reference_outlives_its_window_by_one(self):
        clocks = lateness.Lateness()
        clocks.delay_s("a", 0.0, 0.0)
        late = lateness.WINDOW_S + 3.0
        self.assertAlmostEqual(clocks.delay_s("a", late - 2.0, late), 2.0)


class Retries(unittest.TestCase):
    def test_budget_is_a_share_of_what_is_sent(self):
        budget = retry_budget.Budget(0.125, 2)
        self.assertEqual([budget.take() for _ in range(3)], [True, True, False])
        for _ in range(8):
            budget.sent()
        self.assertEqual([budget.take(), budget.take()], [True, False])


class Limits(unittest.TestCase):
    def test_shares_add_up_to_the_limit(self):
        pools = tuple(
            sharding.Shard(f"s/{n}", "s", (intent.BackendServer(f"b{n}", "x", "d", n),))
            for n in (3, 5, 7)
        )
        for total in range(40):
            self.assertEqual(sum(sharding.share_of(one, total, pools) for one in pools), total)

    def test_large_service_is_split_and_no_server_is_lost(self):
        servers = tuple(
            intent.BackendServer(f"b{number}", "x", f"dc{number % 2}") for number in range(300)
        )
        service = intent.Service("s", "t", (), servers)
        shards = sharding.shards_of(service, 64)
        names = [server.name for one in shards for server in one.servers]
        self.assertEqual(sorted(names), sorted(server.name for server in servers))
        self.assertEqual(len(shards), 5)
        self.assertEqual(
            shards, sharding.shards_of(attrs.evolve(service, servers=servers[::-1]), 64)
        )
