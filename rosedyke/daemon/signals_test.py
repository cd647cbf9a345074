import os
import signal
import time
import unittest

import eventlet

from rosedyke.daemon import signals

LOOP_BUSY_S = 0.2


class Watch(unittest.TestCase):
    def setUp(self):
        self.arrivals, self.calls, self.fails = [], [], False
        former = signal.getsignal(signal.SIGUSR1)
        self.addCleanup(signal.set_wakeup_fd, signal.set_wakeup_fd(-1))
        self.addCleanup(signal.signal, signal.SIGUSR1, former)
        watching = eventlet.spawn(
            signals.watch,
            {signal.SIGUSR1: self.act},
            lambda number: self.arrivals.append((number, time.monotonic())),
        )
        self.addCleanup(watching.kill)
        eventlet.sleep(0)

    def act(self):
        self.calls.append(time.monotonic())
        if self.fails:
            raise RecursionError("unexpected")

    def test_arrival_is_noticed_while_the_loop_is_busy(self):
        # Guards against a grace period that is counted from too late, and ends after SIGKILL.
        sent_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGUSR1)
        while time.monotonic() < sent_at + LOOP_BUSY_S:
            pass
        self.assertEqual(self.calls, [])
        with eventlet.Timeout(5.0):
            while not self.calls:
                eventlet.sleep(0.005)
        ((number, arrived_at),) = self.arrivals
        self.assertEqual(number, signal.SIGUSR1)
        self.assertLess(arrived_at, sent_at + LOOP_BUSY_S)
        self.assertGreaterEqual(self.calls[0], sent_at + LOOP_BUSY_S)

    def test_early_signal_is_acted_on(self):
        # Guards against a SIGHUP without effect because it arrived while the process started.
        calls = []
        watching = eventlet.spawn(
            signals.watch,
            {signal.SIGUSR1: lambda: calls.append("USR1")},
            early=[signal.SIGUSR1, signal.SIGUSR1, signal.SIGUSR2],
        )
        self.addCleanup(watching.kill)
        eventlet.sleep(0)
        self.assertEqual(calls, ["USR1"])

    def test_failed_action_does_not_disable_later_signals(self):
        # Guards against a SIGTERM without effect after a SIGHUP whose reload has failed.
        self.fails = True
        with self.assertLogs("rosedyke", "ERROR"):
            self.send_and_wait(1)
        self.fails = False
        self.send_and_wait(2)

    def send_and_wait(self, count):
        os.kill(os.getpid(), signal.SIGUSR1)
        with eventlet.Timeout(5.0):
            while len(self.calls) < count:
                eventlet.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
