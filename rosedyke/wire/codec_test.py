import unittest

import attrs

from rosedyke.wire import codec


@codec.message("codec_test.example")
@attrs.frozen
class Example:
    name: str
    counts: tuple[int, ...] = ()


class RoundTrip(unittest.TestCase):
    def test_decoded_message_equals_the_original(self):
        value = Example("a", (1, 2))
        self.assertEqual(codec.decode(codec.name_of(value), codec.encode(value)), value)


class InvalidBytes(unittest.TestCase):
    def test_unknown_name_is_an_error(self):
        with self.assertRaises(codec.UnknownMessage):
            codec.decode("codec_test.other", b"")

    def test_truncated_body_is_an_error(self):
        body = codec.encode(Example("a", (1, 2)))
        with self.assertRaises(codec.CodecError):
            codec.decode("codec_test.example", body[:-1])

    def test_wrong_fields_are_an_error(self):
        with self.assertRaises(codec.CodecError):
            codec.decode("codec_test.example", codec.encode({"name": 7}))
