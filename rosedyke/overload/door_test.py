import unittest

from rosedyke.overload import door

MAX_BYTES = 1000


def refused_priorities(jobs, body_bytes=0):
    usage = door.Usage(jobs, 100.0, body_bytes, MAX_BYTES)
    return [priority for priority in range(4) if door.refusal_reason(usage, priority, 10)]


class RefusalReason(unittest.TestCase):
    def test_urgent_requests_are_refused_last(self):
        self.assertEqual(refused_priorities(79), [])
        self.assertEqual(refused_priorities(80), [2, 3])
        self.assertEqual(refused_priorities(90), [1, 2, 3])
        self.assertEqual(refused_priorities(100), [0, 1, 2, 3])

    def test_memory_of_bodies_is_bounded_in_the_same_way(self):
        self.assertEqual(refused_priorities(0, 795), [2, 3])
        self.assertEqual(refused_priorities(0, 991), [0, 1, 2, 3])


class Door(unittest.TestCase):
    def test_nothing_is_refused_while_the_instance_adds_no_delay(self):
        # Guards against refusals in deployments whose links and processors are not the limit.
        prompt = door.Door(lambda now: 0.0, MAX_BYTES)
        reasons = {prompt.refusal_reason(2, jobs, 0, 10, jobs / 1000) for jobs in range(3000)}
        self.assertEqual(reasons, {""})

    def test_requests_are_refused_while_it_adds_a_long_delay(self):
        delayed = door.Door(lambda now: 0.1, MAX_BYTES)
        self.assertIn("too many jobs", delayed.refusal_reason(0, 40, 0, 10, 1.0))
        self.assertAlmostEqual(delayed.limit.jobs, 28.0)
        self.assertEqual(delayed.refusal_reason(0, 20, 0, 10, 1.1), "")
