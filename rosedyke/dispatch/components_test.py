"""Tests of run time estimates, routing, message delays, retry budget and sharding."""

import random
import unittest

import attrs

from rosedyke.configuration import intent
from rosedyke.dispatch import message_delay, messages, retry_budget, routing, sharding, speed


class RunTimeEstimates(unittest.TestCase):
    def learn_runs(self, table, servers, tasks, random_source, count=600):
        for _ in range(count):
            server = random_source.choice(list(servers))
            task = random_source.choice(list(tasks))
            noise = 0.9 + 0.2 * random_source.random()
            table.learn(task, server, 1.0, tasks[task] / servers[server] * noise)

    def test_run_times_are_learned_for_each_server(self):
        table = speed.SpeedTable()
        servers = {"s1": 1.0, "s2": 2.0, "s3": 8.0}
        self.learn_runs(table, servers, {"tag": 0.2, "grade": 5.0}, random.Random(1))
        for server, speed_factor in servers.items():
            self.assertAlmostEqual(
                table.expected_s("grade", server, 1.0) * speed_factor / 5.0, 1.0, 1
            )

    def test_new_pair_is_estimated_from_task_and_server_factors(self):
        table = speed.SpeedTable()
        random_source = random.Random(1)
        self.learn_runs(table, {"s1": 1.0, "s2": 4.0}, {"tag": 0.2}, random_source)
        self.learn_runs(table, {"s1": 1.0}, {"grade": 5.0}, random_source)
        expected = table.expected_s("grade", "s2", 1.0)
        self.assertTrue(0.9 < expected / 1.25 < 1.2, expected)

    def test_reference_seconds_agree_between_owners_of_different_servers(self):
        fast_table, slow_table = speed.SpeedTable(), speed.SpeedTable()
        tasks = {"tag": 0.2, "grade": 5.0}
        self.learn_runs(fast_table, {"f1": 8.0, "f2": 6.0}, tasks, random.Random(1))
        self.learn_runs(slow_table, {"s1": 1.0, "s2": 2.0}, tasks, random.Random(2))
        ratio = slow_table.slowness("s1") / fast_table.slowness("f1")
        self.assertTrue(7.0 < ratio < 9.0, ratio)
        ratio_of_tags = fast_table.reference_s("tag", 1.0) / slow_table.reference_s("tag", 1.0)
        self.assertTrue(0.9 < ratio_of_tags < 1.1, ratio_of_tags)


class Routing(unittest.TestCase):
    def test_large_job_is_routed_from_a_busy_pool_to_an_idle_one(self):
        busy = messages.PoolReport((), 40.0, 8.0, 8.0, 8)
        idle = messages.PoolReport(((1.0, 8),), 0.0, 0.0, 8.0, 8)
        estimates = [routing.estimate("busy", busy), routing.estimate("idle", idle)]
        indices_by_pool = routing.split([(0.1, index) for index in range(300)], estimates)
        self.assertGreater(len(indices_by_pool["idle"]), 290)

    def test_job_is_split_in_proportion_to_pool_rates(self):
        reports = {"a": 30.0, "b": 10.0}
        estimates = [
            routing.estimate(key, messages.PoolReport((), 0.0, 0.0, rate, 8))
            for key, rate in reports.items()
        ]
        indices_by_pool = routing.split([(1.0, index) for index in range(200)], estimates)
        self.assertTrue(140 <= len(indices_by_pool["a"]) <= 160, len(indices_by_pool["a"]))


class MessageDelays(unittest.TestCase):
    def test_delay_is_the_excess_over_the_fastest_message(self):
        delays = message_delay.DelayEstimator()
        self.assertEqual(delays.delay_s("a", 1000.0, 5.0), 0.0)
        self.assertAlmostEqual(delays.delay_s("a", 1001.0, 8.0), 2.0)
        self.assertAlmostEqual(delays.delay_s("a", 1002.0, 7.0), 0.0)

    def test_minimum_is_kept_for_one_more_window(self):
        delays = message_delay.DelayEstimator()
        delays.delay_s("a", 0.0, 0.0)
        late_s = message_delay.OFFSET_WINDOW_S + 3.0
        self.assertAlmostEqual(delays.delay_s("a", late_s - 2.0, late_s), 2.0)


class RetryBudgets(unittest.TestCase):
    def test_budget_is_a_share_of_the_tasks_sent(self):
        budget = retry_budget.RetryBudget(0.125, 2)
        self.assertEqual([budget.try_spend() for _ in range(3)], [True, True, False])
        for _ in range(8):
            budget.record_sent()
        self.assertEqual([budget.try_spend(), budget.try_spend()], [True, False])


class Sharding(unittest.TestCase):
    def test_shares_add_up_to_the_limit(self):
        shards = tuple(
            sharding.Shard(f"s/{n}", "s", (intent.BackendServer(f"b{n}", "x", "d", n),))
            for n in (3, 5, 7)
        )
        for total in range(40):
            self.assertEqual(
                sum(sharding.share_of(shard, total, shards) for shard in shards), total
            )

    def test_large_service_is_split_without_losing_servers(self):
        servers = tuple(
            intent.BackendServer(f"b{number}", "x", f"dc{number % 2}") for number in range(300)
        )
        service = intent.Service("s", "t", (), servers)
        shards = sharding.shards_of(service, 64)
        names = [server.name for shard in shards for server in shard.servers]
        self.assertEqual(sorted(names), sorted(server.name for server in servers))
        self.assertEqual(len(shards), 5)
        self.assertEqual(
            shards, sharding.shards_of(attrs.evolve(service, servers=servers[::-1]), 64)
        )
