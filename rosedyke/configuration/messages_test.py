import unittest
import zlib

import msgspec

from rosedyke.configuration import messages, storage


def team_file(name, size):
    return storage.TeamIntent(name, 1, b"x" * size)


class ReplyContent(unittest.TestCase):
    def test_round_trip(self):
        files = [team_file("a", 10), team_file("b", 10)]
        self.assertEqual(messages.unpack(messages.pack(files)), tuple(files))

    def test_pack_limits_the_size_but_includes_at_least_one_file(self):
        half = messages.MAX_CONTENT_BYTES // 2
        files = [team_file(name, half) for name in "abc"]
        self.assertEqual(len(messages.unpack(messages.pack(files))), 2)
        large = [team_file(name, 3 * half) for name in "abc"]
        self.assertEqual(len(messages.unpack(messages.pack(large))), 1)

    def test_well_formed_content_above_the_limit_is_rejected(self):
        encoded = msgspec.msgpack.encode([team_file("a", messages.MAX_DECOMPRESSED_BYTES + 1)])
        with self.assertRaises(messages.ContentMalformed):
            messages.unpack(zlib.compress(encoded))

    def test_truncated_and_invalid_content(self):
        content = messages.pack([team_file("a", 1000)])
        for malformed in (b"", content[:-5], b"\x00" * 20, zlib.compress(b"\xc1")):
            with self.assertRaises(messages.ContentMalformed):
                messages.unpack(malformed)
