import http.client
import io
import unittest

from rosedyke.callers import request_head


class Parsing(unittest.TestCase):
    def test_usual_lines_as_by_the_standard_library(self):
        # Guards against a body whose length or encoding is read in two ways.
        lines = [
            b"Host: scales.example\r\n",
            b"content-length:  5 \r\n",
            b"Content-Length:\t7\r\n",
            b"X-Empty:\r\n",
            b"X-Latin: \xe9 a:b\r\n",
            b"\r\n",
        ]
        expected = http.client.parse_headers(io.BytesIO(b"".join(lines)))
        headers = request_head.parse(lines)
        self.assertEqual(list(headers._headers), expected.items())
        for name in ("HOST", "Content-length", "X-Empty", "X-Absent"):
            with self.subTest(name):
                self.assertEqual(headers.get(name), expected.get(name))
                self.assertEqual(headers.get_all(name), expected.get_all(name))
        self.assertEqual(headers.get_content_type(), expected.get_content_type())

    def test_unusual_lines_are_left_to_the_standard_library(self):
        # Guards against request smuggling by lines that parsers take in different ways.
        for line in (
            b"Content-Length : 5\r\n",
            b" folded\r\n",
            b"X-A: 1\rContent-Length: 5\r\n",
            b"X-A: 1\n",
            b"X-A: \x00\r\n",
            b"no colon\r\n",
            b": 1\r\n",
        ):
            with self.subTest(line):
                self.assertIsNone(request_head.parse([line, b"\r\n"]))
        for last in (b"\n", b"", b"X-A: 1\r\n"):
            self.assertIsNone(request_head.parse([b"X-A: 1\r\n", last]))

    def test_lines_that_were_read_are_replayed(self):
        file = io.BytesIO(b"X-A: 1\r\n" * 150)
        lines = request_head.read_lines(file)
        replayed = request_head.ReplayedFile(lines, file)
        self.assertEqual(sum(1 for _ in iter(replayed.readline, b"")), 150)
