import socket
import time
import unittest

import eventlet
import eventlet.hubs

from rosedyke.gateways import deadline


class Expired(Exception):
    """What the deadlines of the tests raise."""


def wait(expires_at, sleep_s=1.0):
    """Sleep under a deadline; return whether it has expired, and after how long."""
    started_at = time.monotonic()
    try:
        with deadline.Deadline(time.monotonic, expires_at, Expired):
            eventlet.sleep(sleep_s)
    except Expired:
        return True, time.monotonic() - started_at
    return False, time.monotonic() - started_at


class Deadline(unittest.TestCase):
    def socket_pair(self):
        pair = socket.socketpair()
        for end in pair:
            end.setblocking(False)
            self.addCleanup(end.close)
        return pair

    def test_expires(self):
        expires_at = time.monotonic() + 0.05
        is_expired, after_s = wait(lambda: expires_at)
        self.assertTrue(is_expired)
        self.assertGreaterEqual(after_s, 0.045)
        self.assertLess(after_s, 0.5)

    def test_one_that_has_passed_expires_at_once(self):
        is_expired, after_s = wait(lambda: time.monotonic() - 1.0)
        self.assertTrue(is_expired)
        self.assertLess(after_s, 0.5)

    def test_has_no_effect_once_it_was_left(self):
        expires_at = time.monotonic() + 0.02
        self.assertFalse(wait(lambda: expires_at, 0.001)[0])
        eventlet.sleep(0.05)

    def test_moves(self):
        started_at = time.monotonic()
        # Moves twice, and then not any more.
        is_expired, after_s = wait(
            lambda: started_at + (0.03 if time.monotonic() < started_at + 0.02 else 0.1)
        )
        self.assertTrue(is_expired)
        self.assertGreaterEqual(after_s, 0.095)

    def test_moves_to_an_earlier_time(self):
        # Guards against a call that waits on a connection which was found dead meanwhile.
        started_at = time.monotonic()
        is_expired, after_s = wait(
            lambda: started_at + (60.0 if time.monotonic() < started_at + 0.1 else 0.2), 5.0
        )
        self.assertTrue(is_expired)
        self.assertLess(after_s, 2 * deadline.CHECK_INTERVAL_S)

    def test_reply_that_arrived_while_the_loop_was_late_counts(self):
        # Guards against time-outs of a sound peer at an instance that stands still.
        reader, writer = self.socket_pair()
        other_reader, other_writer = self.socket_pair()

        def stand_still():
            # After other data, because the loop looks at sockets again after its timers.
            eventlet.hubs.trampoline(other_reader, read=True)
            time.sleep(0.1)
            writer.sendall(b"x")

        eventlet.spawn(stand_still)
        eventlet.spawn_after(0.005, other_writer.sendall, b"x")
        expires_at = time.monotonic() + 0.02
        with deadline.Deadline(time.monotonic, lambda: expires_at, Expired):
            eventlet.hubs.trampoline(reader, read=True)
        self.assertGreater(time.monotonic(), expires_at)


if __name__ == "__main__":
    unittest.main()
