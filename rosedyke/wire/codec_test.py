import unittest

import attrs

from rosedyke.wire import codec


@codec.message("codec_test.example")
@attrs.frozen
class Example:
    name: str
    counts: tuple[int, ...] = ()


class RoundTrip(unittest.TestCase):
    def test_same_message_comes_back(self):
        value = Example("a", (1, 2))
        self.assertEqual(codec.decode(codec.name_of(value), codec.encode(value)), value)


class ForeignBytes(unittest.TestCase):
    def test_unknown_name(self):
        with self.assertRaises(codec.UnknownMessage):
            codec.decode("codec_test.other", b"")

    def test_truncated_body(self):
        body = codec.encode(Example("a", (1, 2)))
        with self.assertRaises(codec.CodecError):
            codec.decode("codec_test.example", body[:-1])

    def test_wrong_shape(self):
        with self.assertRaises(codec.CodecError):
            codec.decode("codec_test.example", codec.encode({"name": 7}))
