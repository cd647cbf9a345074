import unittest

from rosedyke.rerun import documents


class Revisions(unittest.TestCase):
    def setUp(self):
        self.taken = []
        self.documents = documents.Documents()
        self.documents.add("configuration", self.taken.append)

    def test_newer_revision_is_taken_and_older_ones_are_not(self):
        self.assertTrue(self.documents.take("configuration", 5, b"five", ""))
        self.assertFalse(self.documents.take("configuration", 5, b"again", "peer"))
        self.assertFalse(self.documents.take("configuration", 4, b"four", "peer"))
        self.assertTrue(self.documents.take("configuration", 9, b"nine", "peer"))
        self.assertEqual(self.taken, [b"five", b"nine"])

    def test_behind_names_what_a_peer_has_newer(self):
        self.documents.take("configuration", 5, b"five", "")
        self.assertEqual(self.documents.behind({"configuration": 6, "other": 9}), ["configuration"])
        self.assertEqual(self.documents.behind({"configuration": 5}), [])
        self.assertEqual(self.documents.behind({}), [])
