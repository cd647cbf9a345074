import socket
import unittest

from rosedyke.observe import statsd_reporter
from rosedyke.standins import virtual


class Reporting(unittest.TestCase):
    def setUp(self):
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(30)
        address = f"127.0.0.1:{self.server.getsockname()[1]}"
        pipeline = statsd_reporter.connect(address, "rosedyke")
        self.reporter = statsd_reporter.StatsdReporter(pipeline, virtual.VirtualRuntime())

    def received(self):
        return sorted(self.server.recv(65536).decode().split("\n"))

    def test_period_is_sent_in_one_datagram(self):
        for _ in range(1000):
            self.reporter.incr("callers.requests")
        self.reporter.gauge("callers.connections", 3)
        self.reporter.timing("callers.response", 12.5)
        self.reporter.flush()
        self.assertEqual(
            self.received(),
            [
                "rosedyke.callers.connections:3|g",
                "rosedyke.callers.requests:1000|c",
                "rosedyke.callers.response:12.500000|ms",
            ],
        )

    def test_counters_restart_each_period(self):
        self.reporter.incr("a", 2)
        self.reporter.flush()
        self.assertEqual(self.received(), ["rosedyke.a:2|c"])
        self.reporter.incr("a", 1)
        self.reporter.flush()
        self.assertEqual(self.received(), ["rosedyke.a:1|c"])

    def test_timings_per_period_are_bounded(self):
        for _ in range(10_000):
            self.reporter.timing("a", 1.0)
        self.assertEqual(len(self.reporter.timings["a"]), statsd_reporter.MAX_TIMINGS_PER_PERIOD)


if __name__ == "__main__":
    unittest.main()
