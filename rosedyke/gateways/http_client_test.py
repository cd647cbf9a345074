import re
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


class FakeRuntime(eventlet_runtime.GreenRuntime):
    """Has a clock that tests advance, and the longest jitter."""

    time = 100.0

    def now(self):
        return self.time

    def random(self):
        return 1.0


class Reconnection(unittest.TestCase):
    def setUp(self):
        self.accepted = 0
        self.is_silent = True
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        accepting = eventlet.spawn(self.accept)
        self.addCleanup(accepting.kill)

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            self.accepted += 1
            eventlet.spawn_n(self.answer, connection)

    def answer(self, connection):
        while connection.recv(65536):
            if not self.is_silent:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def create_client(self, link_bytes_per_s):
        self.runtime = FakeRuntime()
        delay = own_delay.OwnDelay(self.runtime, link_bytes_per_s)
        return http_client.HttpClient(http_client.HttpClientSettings(), self.runtime, delay)

    def send(self, client):
        """Send a request; return the error's type, None for a response."""
        try:
            client.request(self.address, "GET", "/", None, 0.02)
        except http_client.HttpClientError as error:
            return type(error)
        return None

    def test_new_connections_to_a_silent_address_back_off(self):
        # Guards against a slow link that is filled by connections which replace each other.
        client = self.create_client(250_000.0)
        waits_s = []
        self.assertEqual(self.send(client), http_client.NoResponse)
        for _ in range(7):
            failed_at = self.runtime.time
            while self.send(client) is http_client.NotConnected:
                self.runtime.time += 0.01
            waits_s.append(round(self.runtime.time - failed_at, 2))
        self.assertEqual(waits_s, [0.02, 0.04, 0.08, 0.16, 0.32, 0.5, 0.5])
        self.assertEqual(self.accepted, 8)

    def test_first_new_connection_after_a_silent_open_one_is_opened_at_once(self):
        # Guards against a healthy server that waits because a middlebox dropped one connection.
        client = self.create_client(250_000.0)
        self.is_silent = False
        self.assertIsNone(self.send(client))
        self.is_silent = True
        self.assertEqual(self.send(client), http_client.NoResponse)
        self.is_silent = False
        self.assertIsNone(self.send(client))
        self.assertEqual(self.accepted, 2)

    def test_idle_connections_that_are_as_old_as_a_silent_one_are_not_used(self):
        # Guards against one time-out after the other, after all connections have gone silent.
        client = self.create_client(0.0)
        self.is_silent = False
        pile = eventlet.GreenPile()
        for _ in range(4):
            pile.spawn(self.send, client)
        self.assertEqual([*pile], [None] * 4)
        self.assertEqual(self.accepted, 4)
        self.runtime.time += 0.1
        self.is_silent = True
        self.assertEqual(self.send(client), http_client.NoResponse)
        self.is_silent = False
        self.assertIsNone(self.send(client))
        self.assertEqual(self.accepted, 5)

    def test_connection_that_was_answered_meanwhile_is_kept(self):
        # Guards against new connections to a server of which one request takes long.
        client = self.create_client(0.0)
        self.is_silent = True
        pending = eventlet.spawn(self.send, client)
        eventlet.sleep(0.005)
        self.is_silent = False
        self.assertIsNone(self.send(client))
        self.assertEqual(pending.wait(), http_client.NoResponse)
        self.assertIsNone(self.send(client))
        self.assertEqual(self.accepted, 2)

    def test_success_resets_the_backoff(self):
        client = self.create_client(250_000.0)
        for is_silent in (True, True, False, True):
            self.is_silent = is_silent
            self.send(client)
            self.runtime.time += 0.1
        self.is_silent = True
        self.send(client)
        self.assertEqual(client.backoff.failures, {self.address: 1})

    def test_unlimited_link_reconnects_at_once(self):
        # Guards against a slower recovery after a network partition.
        client = self.create_client(0.0)
        for _ in range(5):
            self.assertEqual(self.send(client), http_client.NoResponse)
        self.assertEqual(self.accepted, 5)

    def test_refused_connection_backs_off(self):
        client = self.create_client(250_000.0)
        self.address = "127.0.0.1:1"
        for _ in range(3):
            self.assertEqual(self.send(client), http_client.NotConnected)
        self.assertEqual(client.backoff.failures, {self.address: 1})


class Addresses(unittest.TestCase):
    def test_odd_address_is_not_connected(self):
        # Guards against errors that callers of the client do not expect, which end their threads.
        client = http_client.HttpClient(
            http_client.HttpClientSettings(), eventlet_runtime.GreenRuntime()
        )
        ports = ("99999", "-1", "0", str(10**20), "x", "")
        hosts = ("", "a\0b", "\ud800", "x" * 300, "a..b")
        for address in [f"127.0.0.1:{port}" for port in ports] + [f"{host}:1" for host in hosts]:
            with self.subTest(address=address), self.assertRaises(http_client.NotConnected):
                client.request(address, "GET", "/", None, 0.5)
        with self.assertRaises(http_client.NotConnected):
            client.request("127.0.0.1", "GET", "/", None, 0.5)


class OpenConnections(unittest.TestCase):
    """Connections stay registered with the event loop between requests."""

    RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    def setUp(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.client = http_client.HttpClient(http_client.HttpClientSettings(), FakeRuntime())

    def serve(self, answer):
        def accept():
            while True:
                answer(self.listener.accept()[0])

        accepting = eventlet.spawn(accept)
        self.addCleanup(accepting.kill)

    def request(self, body=None):
        with eventlet.Timeout(10):
            return self.client.request(self.address, "POST", "/", body, 5.0)

    def test_idle_connection_that_the_server_ends_is_not_used(self):
        # Guards against a request on it, whose outcome would be unknown, and against an event loop
        # that spins on the end of its stream.
        def answer_once(connection):
            connection.recv(65536)
            connection.sendall(self.RESPONSE)
            connection.close()

        self.serve(answer_once)
        for _ in range(3):
            self.assertEqual(self.request().status, 200)
            eventlet.sleep(0.05)
            (idle,) = self.client.idle_connections[self.address]
            self.assertEqual((idle.sock, idle.listener), (None, None))

    def test_response_before_the_request_was_sent_completely(self):
        # Guards against a response that is taken for the end of an idle connection, which only an
        # open connection listens for, and against requests whose rest is lost or sent twice.
        body = bytes(range(256)) * (1 << 16)
        received = []

        def read_request(connection):
            data = bytearray()
            while b"\r\n\r\n" not in data:
                data += connection.recv(65536)
            head, _, data = data.partition(b"\r\n\r\n")
            length = int(re.search(rb"Content-Length: (\d+)", head)[1])
            if length:
                connection.sendall(self.RESPONSE)
            while len(data) < length:
                data += connection.recv(1 << 20)
                eventlet.sleep(0)
            received.append(bytes(data))
            self.assertEqual(len(data), length)
            if not length:
                connection.sendall(self.RESPONSE)

        def answer_early(connection):
            for _ in range(4):
                read_request(connection)

        self.serve(answer_early)
        for count, sent in enumerate((body, None, body, None), 1):
            self.assertEqual(self.request(sent).status, 200)
            (idle,) = self.client.idle_connections[self.address]
            self.assertIsNotNone(idle.sock)
            with eventlet.Timeout(10):
                while len(received) < count:
                    eventlet.sleep(0.01)
        self.assertEqual(received, [body, b"", body, b""])
