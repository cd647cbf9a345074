import unittest

from rosedyke.scheduling import reservation

# Narrow tasks of 60 ms, 8 in a job, and long ones of 0.9 s, 4 in a job.
URGENT = reservation.Work(1, 8, 0.48, 8 * 14_000, 0.096)
LONG = reservation.Work(1, 4, 3.6, 4 * 14_000, 0.6)
CAPACITIES = [32_000] * 20


def arrivals(work, per_s, until):
    measured = reservation.Arrivals()
    for number in range(round(per_s * until) + 1):
        measured = measured.after(number / per_s, work)
    return measured


class MeasuredArrivals(unittest.TestCase):
    def test_concurrency_follows_littles_law_and_is_forgotten(self):
        measured = arrivals(URGENT, 20, 10.0)
        self.assertAlmostEqual(measured.concurrency(10.0), 20 * 0.48, delta=1.0)
        self.assertEqual(measured.concurrency(13.1), 0.0)

    def test_burst_counts_within_its_first_tenths_of_a_second(self):
        # Guards against a reservation that is built up only when the burst is over.
        measured = arrivals(URGENT, 20, 10.0)
        for number in range(24):
            measured = measured.after(10.0 + number / 80, URGENT)
        self.assertGreater(measured.concurrency(10.3), 1.5 * 20 * 0.48)


class Reservations(unittest.TestCase):
    def reserve(self, capacities=CAPACITIES, now=10.0):
        measured = {0: arrivals(URGENT, 20, 10.0), 2: arrivals(LONG, 2, 10.0)}
        return reservation.reservations(measured, capacities, 1.0, now)

    def test_mean_and_deviation_are_reserved_in_slots(self):
        (reserved,) = self.reserve()
        self.assertEqual((reserved.priority, reserved.slot_millicores), (0, 14_000))
        self.assertIn(reserved.mean_slots, (10, 11))
        self.assertIn(reserved.slots, (13, 14))

    def test_at_most_half_of_a_pool_is_reserved(self):
        # Guards against long tasks that never start in a small pool.
        for servers, slots in ((3, 3), (1, 1), (0, 0)):
            (reserved,) = self.reserve([32_000] * servers)
            self.assertEqual(reserved.slots, slots)

    def test_nothing_is_reserved_for_one_priority_or_without_arrivals(self):
        self.assertEqual(self.reserve(now=13.1), ())
        only = {0: arrivals(URGENT, 20, 10.0)}
        self.assertEqual(reservation.reservations(only, CAPACITIES, 1.0, 10.0), ())

    def test_applies_only_to_runs_too_long_to_free_slots_within_the_slack(self):
        # Guards against idle slots in a pool whose short runs end often enough: 40 slots with runs
        # of 0.48 s free 8 slots in 96 ms.
        (reserved,) = self.reserve()
        self.assertAlmostEqual(reserved.shortest_s, 0.48)

    def test_pool_is_under_pressure_with_the_waiting_work(self):
        self.assertFalse(reservation.is_under_pressure(50, 20, 100))
        self.assertTrue(reservation.is_under_pressure(50, 21, 100))


class SlotUsage(unittest.TestCase):
    def setUp(self):
        reserved = reservation.Reservation(0, 14_000, 2, 3)
        # Two servers with one whole slot each and 10 cores in pieces, one with two slots.
        self.usage = reservation.usage(reserved, [18_000, 20_000, 28_000], {0: 14_000, 1: 28_000})

    def test_counts_whole_free_slots_and_those_in_urgent_use(self):
        # Guards against pieces that no urgent task fits into counting as reserved capacity.
        self.assertEqual((self.usage.free_slots, self.usage.used_millicores), (4, 14_000))

    def test_long_task_leaves_the_reservation_and_one_near_its_end_the_mean(self):
        usage = self.usage
        for allowed in ((True, True), (True, True), (False, True), (False, False)):
            self.assertEqual(
                (usage.allows(14_000, 28_000, False), usage.allows(14_000, 28_000, True)), allowed
            )
            usage = usage.after(2, 14_000, 28_000)
        self.assertTrue(self.usage.after(2, 14_000, 28_000).allows(4_000, 18_000, False))

    def test_placed_urgent_task_uses_its_slot(self):
        usage = self.usage.after(0, 14_000, 18_000)
        self.assertEqual((usage.free_slots, usage.used_millicores), (3, 28_000))

    def test_only_spare_slots_are_offered_to_other_pools(self):
        self.assertEqual(self.usage.spare(28_000), 28_000)
        self.assertEqual(self.usage.after(2, 14_000, 28_000).spare(28_000), 14_000)
        usage = reservation.usage(self.usage.reserved, [28_000], {})
        self.assertEqual(usage.spare(28_000), 0)

    def test_one_long_task_may_run_whatever_is_reserved(self):
        # Guards against a task that needs more than half of a small pool and never starts.
        reserved = reservation.Reservation(0, 14_000, 1, 1)
        usage = reservation.usage(reserved, [28_000], {})
        self.assertTrue(usage.allows(28_000, 28_000, False))
        usage = reservation.usage(reserved, [28_000], {2: 14_000})
        self.assertFalse(usage.allows(28_000, 28_000, True))
