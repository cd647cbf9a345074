import unittest

from rosedyke.wire import window


class Window(unittest.TestCase):
    def test_each_number_is_accepted_once(self):
        seen = window.Window()
        accepted = [n for n in (5, 6, 5, 9, 8, 8, 7, 9) if seen.accept("a", 1, n)]
        self.assertEqual(accepted, [5, 6, 9, 8, 7])

    def test_number_older_than_the_window_is_refused(self):
        seen = window.Window()
        seen.accept("a", 1, window.WIDTH + 10)
        self.assertFalse(seen.accept("a", 1, 10))
        self.assertTrue(seen.accept("a", 1, 11))

    def test_far_jump_forgets_the_old_bits(self):
        seen = window.Window()
        seen.accept("a", 1, 1)
        self.assertTrue(seen.accept("a", 1, 10 * window.WIDTH))
        self.assertFalse(seen.accept("a", 1, 1))

    def test_new_incarnation_starts_afresh_and_ends_the_old(self):
        seen = window.Window()
        seen.accept("a", 1, 7)
        self.assertTrue(seen.accept("a", 2, 1))
        self.assertFalse(seen.accept("a", 1, 8))
        self.assertEqual(seen.newest("a"), 2)

    def test_memory_is_bounded(self):
        seen = window.Window()
        for number in range(window.MAX_SENDERS + 10):
            seen.accept(f"sender-{number}", 1, 1)
        self.assertEqual(len(seen.senders), window.MAX_SENDERS)
