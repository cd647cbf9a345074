import unittest

from rosedyke.rerunnable_jobs import documents


class Revisions(unittest.TestCase):
    def setUp(self):
        self.changes = []
        self.documents = documents.Documents()
        self.documents.add("configuration", self.changes.append)

    def test_only_newer_revisions_are_stored(self):
        self.assertTrue(self.documents.update("configuration", 5, b"five", ""))
        self.assertFalse(self.documents.update("configuration", 5, b"again", "peer"))
        self.assertFalse(self.documents.update("configuration", 4, b"four", "peer"))
        self.assertTrue(self.documents.update("configuration", 9, b"nine", "peer"))
        self.assertEqual(self.changes, [b"five", b"nine"])

    def test_topics_with_a_newer_revision_at_a_peer(self):
        self.documents.update("configuration", 5, b"five", "")
        self.assertEqual(
            self.documents.outdated_topics({"configuration": 6, "other": 9}), ["configuration"]
        )
        self.assertEqual(self.documents.outdated_topics({"configuration": 5}), [])
        self.assertEqual(self.documents.outdated_topics({}), [])
