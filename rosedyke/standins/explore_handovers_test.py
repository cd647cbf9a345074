"""Runs some of the orders of steps; ``python -m rosedyke.standins.explore_handovers`` runs all."""

import unittest
from unittest import mock

from rosedyke.rerunnable_jobs import predecessors
from rosedyke.standins import explore_handovers

STEPS_S = (2.6, 3.6, 4.04, 4.1)
# Orders in which the second owner takes the servers that it knows for all that may have runs.
TWICE = (
    explore_handovers.Order("handed over", 3.6),
    explore_handovers.Order("handed over", 4.04, tasks=6, cut_servers=2),
    explore_handovers.Order("killed", 3.8),
    explore_handovers.Order("paused", 4.02),
    explore_handovers.Order("cut off", 3.8),
)


class SecondOwners(unittest.TestCase):
    """A pool's owner is cut off with a server, and its successor is lost around the end."""

    def test_runs_on_the_other_side_of_a_partition_are_not_started_again(self):
        # Guards against a task that runs twice: the third owner takes the servers of the second one
        # for all that may have runs, while the first one lives and uses one that is not listed.
        orders = [
            explore_handovers.Order(way, at_s) for way in explore_handovers.WAYS for at_s in STEPS_S
        ]
        for order in (*orders, *TWICE):
            with self.subTest(order=order):
                self.assertEqual(explore_handovers.run_trial(order).violations, ())

    def test_job_starts_again_once_its_leases_have_expired(self):
        # Guards against tasks that wait for an owner or a server that never comes back.
        for order in TWICE:
            with self.subTest(order=order):
                restarted_after_s = explore_handovers.run_trial(order).restarted_after_s
                self.assertIsNotNone(restarted_after_s)
                self.assertLess(restarted_after_s, 2.5)

    def test_second_runs_are_found_if_every_owner_counts_as_known(self):
        # Guards against trials that check nothing.
        with mock.patch.object(predecessors.Predecessors, "cover", return_value=True):
            for order in TWICE:
                with self.subTest(order=order):
                    self.assertNotEqual(explore_handovers.run_trial(order).violations, ())


if __name__ == "__main__":
    unittest.main()
