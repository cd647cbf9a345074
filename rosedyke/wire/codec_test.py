import contextlib
import unittest
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies

from rosedyke.wire import codec, envelope


@codec.message("codec_test.example")
@attrs.frozen
class Example:
    name: str
    counts: tuple[int, ...] = ()


@codec.message("codec_test.untyped")
@attrs.frozen
class Untyped:
    value: Any = None
    numbers: dict[str, float] = attrs.Factory(dict)


SAME_ON_EVERY_RUN = hypothesis.settings(deadline=None, derandomize=True, database=None)


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

    @SAME_ON_EVERY_RUN
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_a_message_or_an_error(self, body):
        for name in ("codec_test.example", "codec_test.untyped"):
            with contextlib.suppress(codec.CodecError):
                codec.decode(name, body)

    def test_nesting_beyond_the_depth_of_the_decoder_is_an_error(self):
        # Guards against an error that no caller of the decoder expects, which would end the task
        # that reads the messages of all peers.
        deep = b"\x82\xa5value" + b"\x91" * 5000
        with self.assertRaises(codec.CodecError):
            codec.decode("codec_test.untyped", deep)

    @SAME_ON_EVERY_RUN
    @hypothesis.given(strategies.binary(max_size=200), strategies.integers(0, 250))
    def test_any_header_is_a_header_or_an_error(self, data, length):
        frame = envelope.encode(
            1, envelope.Kind.ONE_WAY, 1, envelope.Header("", 0, "", "", "", 0, ""), b""
        )
        prefix = attrs.evolve(envelope.decode_prefix(frame), header_length=length)
        with contextlib.suppress(codec.CodecError):
            envelope.decode_header_and_body(frame[:12] + data, prefix)


if __name__ == "__main__":
    unittest.main()
