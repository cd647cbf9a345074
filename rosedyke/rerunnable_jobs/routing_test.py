import collections
import unittest

import attrs

from rosedyke.rerunnable_jobs import job, messages, routing


def work(count=2, cores=14, estimate_s=0.2):
    step = job.Step(count, job.Demand(cores * 1000), estimate_s)
    return job.Job("j", "q", "s", "", (step,), 0, 2, 0.4, 1.5)


def view(pool, *free_cores, submitted=0, backlog_s=0.0, is_local=True):
    rooms = tuple((cores * 1000, 1.0) for cores in free_cores)
    report = messages.PoolReport(pool, 1, backlog_s, messages.group_rooms(rooms), 256_000, {}, {})
    return routing.PoolView(pool, report, submitted * 1000, is_local)


def shares(views, requested=None, draws=1000):
    requested = requested or work()
    counts = collections.Counter(
        routing.choose_pool(requested, requested.steps[0].count, views, number / draws)
        for number in range(draws)
    )
    return {pool: count / draws for pool, count in counts.items()}


class Choice(unittest.TestCase):
    def test_no_pool(self):
        self.assertEqual(routing.choose_pool(work(), 2, [], 0.5), "")

    def test_pools_get_jobs_in_proportion_to_their_free_capacity(self):
        # Guards against holders with the same reports all choosing the same pool.
        counts = shares([view("a/1", 28, 28), view("a/2", 28, 28, 28, 28, 28, 28)])
        self.assertAlmostEqual(counts["a/1"], 0.25, delta=0.01)

    def test_full_pool_gets_none_while_another_has_free_capacity(self):
        self.assertEqual(shares([view("a/1", 0, 0), view("a/2", 28)]), {"a/2": 1.0})

    def test_cores_too_few_for_a_task_are_not_free_capacity(self):
        # Guards against adding up the free cores of several servers.
        self.assertEqual(shares([view("a/1", *[4] * 8), view("a/2", 28)]), {"a/2": 1.0})

    def test_own_submissions_use_capacity_before_the_next_report(self):
        full = view("a/1", 28, 28, submitted=56)
        self.assertEqual(shares([full, view("a/2", 28)]), {"a/2": 1.0})

    def test_local_pool_is_preferred_while_it_has_free_capacity(self):
        local, remote = view("a/1", 28), view("b/1", *[28] * 8, is_local=False)
        self.assertEqual(shares([local, remote]), {"a/1": 1.0})

    def test_remote_pool_is_chosen_for_a_shorter_wait(self):
        local, remote = view("a/1", backlog_s=0.1), view("b/1", 28, is_local=False)
        self.assertEqual(shares([local, remote]), {"b/1": 1.0})

    def test_pool_without_servers_is_the_last_choice(self):
        empty = without_servers("a/1")
        self.assertEqual(shares([empty, view("b/1", backlog_s=2.0)]), {"b/1": 1.0})

    def test_data_centre_does_not_matter_between_pools_without_servers(self):
        # Guards against routing that changes with ROSEDYKE_BALANCE_DATA_CENTRES off: the assumed
        # wait in a pool without servers has no penalty of other data centres.
        local, remote = without_servers("a/1"), without_servers("b/1", is_local=False)
        self.assertEqual(shares([local, remote]), {"a/1": 0.5, "b/1": 0.5})
        others = routing.after_refusal(work(), 2, [local, remote])
        self.assertEqual([other.wait_s for other in others], [routing.NO_SERVER_WAIT_S] * 2)


class DataCentres(unittest.TestCase):
    """Some of the local capacity of 256 cores is free, and all of that of another data centre."""

    def spilled_share(self, free, objective_s, remote_free=18, remote_percent=100):
        requested = attrs.evolve(work(1), objective_s=objective_s)
        remote = view("b/1", *[14] * remote_free, is_local=False)
        speeds = {14_000: (remote_percent,) * remote_free}
        report = attrs.evolve(remote.report, speeds_by_free=speeds)
        views = [view("a/1", *[14] * free), attrs.evolve(remote, report=report)]
        draws = [routing.split_by_slack(requested, 1, views, draw / 100) for draw in range(100)]
        for shares, is_spilled in draws:
            self.assertEqual(shares, {"b/1" if is_spilled else "a/1": 1})
        return sum(is_spilled for _, is_spilled in draws) / 100

    def test_jobs_with_slack_leave_while_local_capacity_is_scarce(self):
        # Guards against jobs that could wait, and take the last servers from those that cannot.
        self.assertAlmostEqual(self.spilled_share(2, 0.9), 0.9, delta=0.01)
        self.assertEqual(self.spilled_share(2, 0.25), 0.0)

    def test_slack_depends_on_the_speed_of_the_destination(self):
        # Guards against jobs that leave for slow servers, on which they have little slack.
        self.assertEqual(self.spilled_share(2, 0.5, remote_percent=50), 0.0)
        self.assertEqual(self.spilled_share(2, 0.32), 0.0)
        self.assertAlmostEqual(self.spilled_share(2, 0.32, remote_percent=200), 0.9, delta=0.01)

    def test_no_job_leaves_from_thirty_percent_free_on(self):
        self.assertEqual(self.spilled_share(6, 0.9), 0.0)

    def test_full_data_centre_gets_no_more_jobs(self):
        # Guards against two data centres that send their jobs to each other.
        self.assertEqual(self.spilled_share(2, 0.9, remote_free=4), 0.0)

    def test_pools_without_servers_are_no_destination(self):
        # Guards against a shorter assumed wait in an evacuated pool of another data centre, for
        # tasks that need no capacity.
        local = attrs.evolve(without_servers("a/1"), submitted_millicores=1000)
        remote = without_servers("b/1", is_local=False)
        requested = attrs.evolve(work(1, cores=0), objective_s=90.0)
        draws = [
            routing.split_by_slack(requested, 1, [local, remote], draw / 10) for draw in range(10)
        ]
        self.assertEqual(sum("a/1" in shares for shares, _ in draws), 5)
        self.assertFalse(any(is_spilled for _, is_spilled in draws))

    def test_own_submissions_end_the_spill_while_reports_are_lost(self):
        # Guards against a holder that keeps sending jobs by an outdated report.
        requested = attrs.evolve(work(1), objective_s=0.9)
        sent = {"a/1": 0, "b/1": 0}
        for number in range(100):
            views = [
                view("a/1", 14, submitted=14 * sent["a/1"]),
                view("b/1", *[14] * 18, submitted=14 * sent["b/1"], is_local=False),
            ]
            shares, is_spilled = routing.split_by_slack(requested, 1, views, number % 10 / 10)
            sent[next(iter(shares))] += is_spilled
        # Another one would leave less than 30% of the 256 cores free.
        self.assertEqual(sent["b/1"], 12)


def without_servers(pool, is_local=True):
    report = messages.PoolReport(pool, 1, 0.0, {}, 0, {}, {})
    return routing.PoolView(pool, report, 0, is_local)


class Split(unittest.TestCase):
    def split(self, count, *views):
        return routing.split(work(count), count, views, 0.5)

    def test_job_that_fits_into_one_pool_is_not_split(self):
        views = view("a/1", *[28] * 4), view("a/2", *[28] * 4)
        self.assertEqual(list(self.split(8, *views).values()), [8])

    def test_remaining_tasks_use_half_of_other_pools_local_ones_first(self):
        # Guards against wide jobs that wait in one pool while servers of another are idle.
        views = (
            view("a/1", 28, 28, 28),
            view("a/2", 28, 28, backlog_s=0.02),
            view("b/1", 28, 28, 28, is_local=False),
        )
        self.assertEqual(self.split(10, *views), {"a/1": 6, "a/2": 2, "b/1": 2})

    def test_job_that_fits_nowhere_waits_in_one_pool(self):
        views = view("a/1", 0, 0), view("a/2", 0, 0, backlog_s=1.0)
        self.assertEqual(self.split(9, *views), {"a/1": 9})

    def test_number_of_parts_is_bounded(self):
        views = [view(f"a/{number}", 14) for number in range(12)]
        self.assertLessEqual(len(self.split(12, *views)), routing.MAX_PARTS)


class LimitedLinks(unittest.TestCase):
    def limited(self, pool, backlog_s=0.0, bytes_per_s=50_000.0, **options):
        unlimited = view(pool, *[28] * 8, **options)
        report = attrs.evolve(
            unlimited.report, link_backlog_s=backlog_s, link_bytes_per_s=bytes_per_s
        )
        return attrs.evolve(unlimited, report=report)

    def split(self, views, count=8):
        requested = attrs.evolve(work(count), payload="x" * 690)  # 20 ms for each start command
        return routing.split(requested, count, views, 0.0)

    def test_owner_with_a_full_link_gets_no_jobs(self):
        # Guards against jobs that wait for the link of one owner while that of another is idle.
        views = [self.limited("a/1", backlog_s=0.5), self.limited("a/2")]
        self.assertEqual(shares(views), {"a/2": 1.0})

    def test_wide_job_is_split_so_that_its_commands_leave_early(self):
        # Guards against a wide job whose payloads take most of its objective on one link.
        views = [self.limited("a/1"), self.limited("a/2"), self.limited("b/1", is_local=False)]
        self.assertEqual(self.split(views), {"a/1": 4, "a/2": 3, "b/1": 1})
        self.assertEqual(self.split(views, count=2), {"a/1": 2})

    def test_wide_job_is_not_split_if_it_waits_for_the_links_anyway(self):
        # Guards against parts that start half a second apart, so that the answer is useless.
        for backlog_s, expected in ((0.1, {"a/1": 5, "a/2": 3}), (0.2, {"a/1": 8})):
            views = [self.limited(pool, backlog_s) for pool in ("a/1", "a/2")]
            self.assertEqual(self.split(views), expected)

    def test_own_submissions_fill_the_link_before_the_next_report(self):
        views = [self.limited("a/1", submitted=56), self.limited("a/2")]
        self.assertEqual(shares(views), {"a/2": 1.0})

    def test_full_pools_keep_the_rest_at_the_first_choice(self):
        # Guards against tasks that are lost because no pool has free capacity.
        full = attrs.evolve(self.limited("a/1"), submitted_millicores=8 * 28_000)
        self.assertEqual(sum(self.split([full]).values()), 8)

    def test_fast_link_does_not_split_a_job(self):
        views = [self.limited(pool, bytes_per_s=0.0) for pool in ("a/1", "a/2")]
        self.assertEqual(self.split(views), {"a/1": 8})
