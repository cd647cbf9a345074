import unittest

from rosedyke.wire import replay_window


class ReplayWindow(unittest.TestCase):
    def test_each_number_is_accepted_once(self):
        window = replay_window.ReplayWindow()
        accepted = [n for n in (5, 6, 5, 9, 8, 8, 7, 9) if window.accept("a", 1, n)]
        self.assertEqual(accepted, [5, 6, 9, 8, 7])

    def test_number_below_the_window_is_rejected(self):
        window = replay_window.ReplayWindow()
        window.accept("a", 1, replay_window.WINDOW_SIZE + 10)
        self.assertFalse(window.accept("a", 1, 10))
        self.assertTrue(window.accept("a", 1, 11))

    def test_jump_beyond_the_window_drops_older_numbers(self):
        window = replay_window.ReplayWindow()
        window.accept("a", 1, 1)
        self.assertTrue(window.accept("a", 1, 10 * replay_window.WINDOW_SIZE))
        self.assertFalse(window.accept("a", 1, 1))

    def test_new_incarnation_resets_the_window_and_rejects_the_old_one(self):
        window = replay_window.ReplayWindow()
        window.accept("a", 1, 7)
        self.assertTrue(window.accept("a", 2, 1))
        self.assertFalse(window.accept("a", 1, 8))
        self.assertEqual(window.newest_incarnation("a"), 2)

    def test_memory_is_bounded(self):
        window = replay_window.ReplayWindow()
        for number in range(replay_window.MAX_SENDERS + 10):
            window.accept(f"sender-{number}", 1, 1)
        self.assertEqual(len(window.senders), replay_window.MAX_SENDERS)
