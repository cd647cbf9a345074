import unittest

import eventlet

from rosedyke.callers import server, settings
from rosedyke.daemon import eventlet_runtime
from rosedyke.gateways import http_client
from rosedyke.overload import link, own_delay

BODY = b"x" * 3000


class CountingDelay(own_delay.OwnDelay):
    """Adds up the bytes of each direction, with the overhead of each message."""

    def __init__(self):
        super().__init__(eventlet_runtime.GreenRuntime(), 1.0)
        self.sent_bytes = self.received_bytes = 0

    def record_sent(self, size):
        self.sent_bytes += size + link.MESSAGE_OVERHEAD_BYTES

    def record_received(self, size):
        self.received_bytes += size + link.MESSAGE_OVERHEAD_BYTES


def application(environ, start_response):
    environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", "2000")])
    return [b"y" * 2000]


class Account(unittest.TestCase):
    def test_both_ends_record_what_they_send_and_receive(self):
        # Guards against bytes that no account contains, so that the link fills up unnoticed.
        client_delay, server_delay = CountingDelay(), CountingDelay()
        served = server.Server("127.0.0.1:0", application, settings.CallersSettings(), server_delay)
        served.start()
        self.addCleanup(served.stop, 5)
        runtime = eventlet_runtime.GreenRuntime()
        client = http_client.HttpClient(http_client.HttpClientSettings(), runtime, client_delay)
        with eventlet.Timeout(10):
            response = client.request(served.address, "POST", "/x", BODY, 5.0)
        self.assertEqual(len(response.body), 2000)
        for sent, received, minimum in (
            (client_delay.sent_bytes, server_delay.received_bytes, 3000),
            (server_delay.sent_bytes, client_delay.received_bytes, 2000),
        ):
            self.assertGreater(min(sent, received), minimum)
            # The two sides may split the same bytes into different messages.
            self.assertAlmostEqual(sent, received, delta=3 * link.MESSAGE_OVERHEAD_BYTES)
