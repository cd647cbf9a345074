import unittest
import zlib

import msgspec

from rosedyke.configuration import messages, stored


def team_file(name, size):
    return stored.TeamIntent(name, 1, b"x" * size)


class Content(unittest.TestCase):
    def test_files_come_back(self):
        files = [team_file("a", 10), team_file("b", 10)]
        self.assertEqual(messages.unpack(messages.pack(files)), tuple(files))

    def test_as_many_as_fit_and_at_least_one(self):
        half = messages.MAX_CONTENT_BYTES // 2
        files = [team_file(name, half) for name in "abc"]
        self.assertEqual(len(messages.unpack(messages.pack(files))), 2)
        large = [team_file(name, 3 * half) for name in "abc"]
        self.assertEqual(len(messages.unpack(messages.pack(large))), 1)

    def test_content_over_the_bound_is_refused_though_it_is_well_formed(self):
        plain = msgspec.msgpack.encode([team_file("a", messages.MAX_PLAIN_BYTES + 1)])
        with self.assertRaises(messages.ContentMalformed):
            messages.unpack(zlib.compress(plain))

    def test_truncated_and_foreign_bytes(self):
        content = messages.pack([team_file("a", 1000)])
        for wrong in (b"", content[:-5], b"\x00" * 20, zlib.compress(b"\xc1")):
            with self.assertRaises(messages.ContentMalformed):
                messages.unpack(wrong)
