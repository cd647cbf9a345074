import socket
import unittest

from rosedyke.gateways import http_connection

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Running: TRUE\r\n\r\nhello"


class FakeConnection(http_connection.Connection):
    """Returns the given chunks one by one, and then the end of the stream."""

    def __init__(self, *chunks):
        super().__init__(socket.socket(), "10.0.0.1:80", 0.0)
        self.chunks = list(chunks)
        self.sent = b""

    def send(self, data):
        self.sent += data

    def receive(self):
        return self.chunks.pop(0) if self.chunks else b""


def create_connection(*chunks):
    return FakeConnection(*chunks)


def send_request(connection, headers=None, max_bytes=100):
    return http_connection.send_request(connection, "POST", "/x", b"{}", headers or {}, max_bytes)


class ValidResponses(unittest.TestCase):
    def test_complete_response(self):
        connection = create_connection(COMPLETE_RESPONSE)
        response = send_request(connection)
        self.assertEqual((response.status, response.body), (200, b"hello"))
        self.assertTrue(response.has_flag("x-running"))
        self.assertEqual(response.header("X-Absent"), "")
        self.assertIsNotNone(connection.sock)

    def test_response_received_byte_by_byte(self):
        chunks = [COMPLETE_RESPONSE[index : index + 1] for index in range(len(COMPLETE_RESPONSE))]
        self.assertEqual(send_request(create_connection(*chunks)).body, b"hello")

    def test_chunked_body(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        response = send_request(create_connection(head, b"2\r\nhe\r\n3\r\nllo\r\n", b"0\r\n\r\n"))
        self.assertEqual(response.body, b"hello")

    def test_response_without_length_ends_with_the_stream(self):
        connection = create_connection(b"HTTP/1.1 200 OK\r\n\r\nhel", b"lo")
        self.assertEqual(send_request(connection).body, b"hello")
        self.assertIsNone(connection.sock)

    def test_interim_response_is_skipped(self):
        self.assertEqual(
            send_request(
                create_connection(b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_RESPONSE)
            ).status,
            200,
        )

    def test_connection_close_header_closes_the_connection(self):
        connection = create_connection(
            COMPLETE_RESPONSE.replace(b"X-Running: TRUE", b"Connection: close")
        )
        self.assertEqual(send_request(connection).status, 200)
        self.assertIsNone(connection.sock)

    def test_data_after_the_response_closes_the_connection(self):
        # Otherwise the next request would receive the wrong response.
        connection = create_connection(COMPLETE_RESPONSE + COMPLETE_RESPONSE)
        self.assertEqual(send_request(connection).body, b"hello")
        self.assertIsNone(connection.sock)


class SeveralResponses(unittest.TestCase):
    """One parser reads all responses of a connection."""

    def test_each_request_gets_its_own_response(self):
        # Guards against headers, a body or a status that remain from the response before.
        second = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
        connection = create_connection(COMPLETE_RESPONSE, second)
        first_response = send_request(connection)
        second_response = send_request(connection)
        self.assertEqual((second_response.status, second_response.body), (409, b"no"))
        self.assertFalse(second_response.has_flag("x-running"))
        self.assertEqual((first_response.status, first_response.body), (200, b"hello"))
        self.assertTrue(first_response.has_flag("x-running"))

    def test_size_limit_applies_to_each_response(self):
        connection = create_connection(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        for _ in range(2):
            self.assertEqual(send_request(connection, max_bytes=5).body, b"hello")

    def test_idle_connection_keeps_no_response(self):
        # Guards against memory of up to the size limit for each idle connection.
        connection = create_connection(COMPLETE_RESPONSE)
        send_request(connection)
        self.assertEqual((connection.parser.body_chunks, connection.parser.headers), ([], []))


class InvalidMessages(unittest.TestCase):
    def test_truncated_response(self):
        for length in range(len(COMPLETE_RESPONSE)):
            with self.subTest(length), self.assertRaises(http_connection.BadExchange):
                send_request(create_connection(COMPLETE_RESPONSE[:length]))

    def test_truncated_chunked_body(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with self.assertRaises(http_connection.BadExchange):
            send_request(create_connection(head, b"5\r\nhel"))

    def test_response_that_is_not_http(self):
        with self.assertRaises(http_connection.BadExchange):
            send_request(create_connection(b"SSH-2.0-x\r\n"))

    def test_response_over_the_size_limit(self):
        with self.assertRaises(http_connection.BadExchange):
            send_request(create_connection(COMPLETE_RESPONSE), max_bytes=4)

    def test_line_break_in_a_request_header(self):
        connection = create_connection(COMPLETE_RESPONSE)
        with self.assertRaises(http_connection.BadExchange):
            send_request(connection, {"X-Name": "a\r\nX-Other: b"})
        self.assertEqual(connection.sent, b"")


class Requests(unittest.TestCase):
    def test_request_headers_and_body(self):
        connection = create_connection(COMPLETE_RESPONSE)
        send_request(connection, {"X-Name": "a"})
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
