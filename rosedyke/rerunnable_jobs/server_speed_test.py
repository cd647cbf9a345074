import unittest

from rosedyke.rerunnable_jobs import server_speed


class Kinds(unittest.TestCase):
    def setUp(self):
        self.speeds = server_speed.ServerSpeeds()
        for server_id in ("old-1", "old-2"):
            self.speeds.set_kind(server_id, "old")

    def test_server_without_runs_gets_the_speed_of_its_kind(self):
        # Guards against placing long tasks on slow servers after a cold start.
        for _ in range(8):
            self.speeds.record_run("old-1", 0.1, 0.2)
        self.assertAlmostEqual(self.speeds.speed_of("old-2"), 0.5, delta=0.05)

    def test_own_runs_take_precedence_over_the_kind(self):
        for _ in range(30):
            self.speeds.record_run("old-1", 0.1, 0.2)
            self.speeds.record_run("old-2", 0.1, 0.7)
        self.assertAlmostEqual(self.speeds.speed_of("old-2"), 1 / 7, delta=0.03)

    def test_server_of_no_known_kind(self):
        self.speeds.set_kind("x", "")
        self.speeds.record_run("old-1", 0.1, 0.2)
        self.assertEqual(self.speeds.speed_of("x"), 1.0)

    def test_half_and_twice_as_fast_cancel_out(self):
        for _ in range(50):
            self.speeds.record_run("x", 0.1, 0.2)
            self.speeds.record_run("x", 0.1, 0.05)
        self.assertAlmostEqual(self.speeds.speed_of("x"), 1.0, delta=0.1)


class Fastest(unittest.TestCase):
    def test_follows_observed_run_times(self):
        # Guards against tasks that wait for a faster server than any that exists.
        for actual_speed in (0.3, 4.0):
            speeds = server_speed.ServerSpeeds()
            self.assertEqual(speeds.fastest_speed(), 1.0)
            for _ in range(60):
                speeds.record_run("s", 0.1, 0.1 / actual_speed)
            self.assertAlmostEqual(speeds.fastest_speed(), actual_speed, delta=0.1 * actual_speed)
            speeds.set_kind("s", "new")
            for _ in range(60):
                speeds.record_run("s", 0.1, 0.1 / actual_speed)
            self.assertAlmostEqual(speeds.fastest_speed(), actual_speed, delta=0.1 * actual_speed)
