import socket
import unittest

from rosedyke.gateways import exchange

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Running: TRUE\r\n\r\nhello"


class FakeConnection(exchange.Connection):
    """Gives out what it was made with, a piece at a time, and then the connection's end."""

    def __init__(self, *pieces):
        super().__init__(socket.socket(), "10.0.0.1:80", 0.0)
        self.pieces = list(pieces)
        self.sent = b""

    def send(self, data):
        self.sent += data

    def receive(self):
        return self.pieces.pop(0) if self.pieces else b""


def connect(*pieces):
    return FakeConnection(*pieces)


def ask(connection, headers=None, max_bytes=100):
    return exchange.ask(connection, "POST", "/x", b"{}", headers or {}, max_bytes)


class Answers(unittest.TestCase):
    def test_whole(self):
        connection = connect(WHOLE)
        reply = ask(connection)
        self.assertEqual((reply.status, reply.body), (200, b"hello"))
        self.assertTrue(reply.says("x-running"))
        self.assertEqual(reply.header("X-Absent"), "")
        self.assertIsNotNone(connection.sock)

    def test_byte_by_byte(self):
        pieces = [WHOLE[index : index + 1] for index in range(len(WHOLE))]
        self.assertEqual(ask(connect(*pieces)).body, b"hello")

    def test_in_chunks(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        reply = ask(connect(head, b"2\r\nhe\r\n3\r\nllo\r\n", b"0\r\n\r\n"))
        self.assertEqual(reply.body, b"hello")

    def test_without_a_length_ends_with_the_connection(self):
        connection = connect(b"HTTP/1.1 200 OK\r\n\r\nhel", b"lo")
        self.assertEqual(ask(connection).body, b"hello")
        self.assertIsNone(connection.sock)

    def test_announced_by_another_one(self):
        self.assertEqual(ask(connect(b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE)).status, 200)

    def test_server_that_closes_is_not_asked_again(self):
        connection = connect(WHOLE.replace(b"X-Running: TRUE", b"Connection: close"))
        self.assertEqual(ask(connection).status, 200)
        self.assertIsNone(connection.sock)

    def test_bytes_that_nobody_asked_for(self):
        # The next request would get the answer to another one.
        connection = connect(WHOLE + WHOLE)
        self.assertEqual(ask(connection).body, b"hello")
        self.assertIsNone(connection.sock)


class Refused(unittest.TestCase):
    def test_cut_off(self):
        for length in range(len(WHOLE)):
            with self.subTest(length), self.assertRaises(exchange.BadExchange):
                ask(connect(WHOLE[:length]))

    def test_cut_off_in_chunks(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with self.assertRaises(exchange.BadExchange):
            ask(connect(head, b"5\r\nhel"))

    def test_something_else(self):
        with self.assertRaises(exchange.BadExchange):
            ask(connect(b"SSH-2.0-x\r\n"))

    def test_too_large(self):
        with self.assertRaises(exchange.BadExchange):
            ask(connect(WHOLE), max_bytes=4)

    def test_line_break_in_a_header(self):
        connection = connect(WHOLE)
        with self.assertRaises(exchange.BadExchange):
            ask(connection, {"X-Name": "a\r\nX-Other: b"})
        self.assertEqual(connection.sent, b"")


class Requests(unittest.TestCase):
    def test_head_and_body(self):
        connection = connect(WHOLE)
        ask(connection, {"X-Name": "a"})
        head, _, body = connection.sent.partition(b"\r\n\r\n")
        self.assertEqual(body, b"{}")
        self.assertEqual(
            head.split(b"\r\n"),
            [
                b"POST /x HTTP/1.1",
                b"Host: 10.0.0.1:80",
                b"Accept-Encoding: identity",
                b"Content-Length: 2",
                b"X-Name: a",
            ],
        )
