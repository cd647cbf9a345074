import random
import unittest

from rosedyke.rerunnable_jobs import documents
from rosedyke.standins import virtual

TOPIC = "servers"


class Replica:
    """A document of one instance, and the changes that it reported."""

    def __init__(self, runtime):
        self.changes = []
        self.documents = documents.Documents(runtime)
        self.documents.add(TOPIC, lambda changes: self.changes.append(dict(changes)))

    @property
    def document(self):
        return self.documents.by_topic[TOPIC]

    def content(self):
        return self.document.content()

    def sync_from(self, other):
        """Fetch what is newer at another replica; return the values fetched, None if nothing."""
        if not self.documents.outdated_topics(other.documents.versions()):
            return None
        copy = other.documents.copy_since(TOPIC, self.document.revision)
        if not self.documents.merge(copy, "peer"):
            copy = other.documents.copy_since(TOPIC, 0)
            assert self.documents.merge(copy, "peer")
        return copy.values


class Revisions(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.first, self.second = Replica(self.runtime), Replica(self.runtime)

    def test_only_newer_revisions_are_stored(self):
        self.first.documents.replace(TOPIC, 5, {"a": b"five"})
        self.first.documents.replace(TOPIC, 4, {"a": b"four"})
        self.first.documents.replace(TOPIC, 9, {"a": b"nine"})
        self.assertEqual(self.first.changes, [{"a": b"five"}, {"a": b"nine"}])

    def test_topics_with_a_newer_revision_at_a_peer(self):
        self.first.documents.replace(TOPIC, 5, {"a": b"five"})
        self.second.documents.replace(TOPIC, 6, {"a": b"six"})
        versions = self.second.documents.versions()
        self.assertEqual(
            self.first.documents.outdated_topics(versions | {"other": versions[TOPIC]}), [TOPIC]
        )
        self.assertEqual(self.second.documents.outdated_topics(self.first.documents.versions()), [])
        self.assertEqual(self.first.documents.outdated_topics({}), [])

    def test_equal_content_is_not_fetched(self):
        # Guards against a start in which every instance fetches the list from every other one,
        # because each has read it at another revision.
        self.first.documents.replace(TOPIC, 5, {"a": b"five"})
        self.second.documents.replace(TOPIC, 6, {"a": b"five"})
        self.assertIsNone(self.first.sync_from(self.second))
        self.assertEqual(self.first.document.revision, 6)

    def test_copy_carries_only_changes(self):
        content = {f"s-{number}": b"x" for number in range(100)}
        self.first.documents.replace(TOPIC, 5, content)
        self.assertEqual(len(self.second.sync_from(self.first)), 100)
        del content["s-7"]
        self.first.documents.replace(TOPIC, 9, content | {"s-3": b"y"})
        self.assertEqual(
            {value.key: value.content for value in self.second.sync_from(self.first)},
            {"s-3": b"y", "s-7": None},
        )
        self.assertEqual(self.second.content(), self.first.content())
        self.assertEqual(self.second.changes[-1], {"s-3": b"y", "s-7": None})

    def test_empty_document_is_known(self):
        self.first.documents.replace(TOPIC, 5, {})
        self.assertIsNone(self.second.sync_from(self.first))
        self.assertEqual((self.first.changes, self.second.changes), ([{}], [{}]))
        self.assertEqual(self.second.document.revision, 5)

    def test_unknown_document_of_a_peer_changes_nothing(self):
        self.first.documents.replace(TOPIC, 5, {"a": b"five"})
        self.first.documents.merge(self.second.documents.copy_since(TOPIC, 5), "peer")
        self.assertEqual(self.first.content(), {"a": b"five"})
        self.assertEqual(self.second.documents.versions(), {})

    def test_whole_copy_after_removals_were_forgotten(self):
        # Guards against a removed server that stays listed at an instance that was cut off for so
        # long that its peers have forgotten the removal.
        content = {f"s-{number}": b"x" for number in range(documents.MAX_REMOVED_KEYS + 10)}
        self.first.documents.replace(TOPIC, 5, content)
        self.second.sync_from(self.first)
        for revision, key in enumerate(sorted(content), 6):
            self.first.document.apply({key: None}, {}, revision)
        self.second.sync_from(self.first)
        self.assertEqual(self.second.content(), {})
        self.assertEqual(self.second.document.digest, self.first.document.digest)

    def test_key_added_and_removed_between_two_reads_of_a_peer(self):
        # Guards against a server that stays listed here for good: a peer's changes can't list a
        # removal that it has not seen.
        self.first.documents.replace(TOPIC, 5, {"a": b"x"})
        self.second.documents.replace(TOPIC, 6, {"a": b"x", "b": b"x"})
        self.first.documents.replace(TOPIC, 8, {"a": b"y"})
        self.second.sync_from(self.first)
        self.assertEqual(self.second.content(), {"a": b"y"})
        self.assertEqual(self.second.document.revision, 8)


class Age(unittest.TestCase):
    def test_age_spreads_with_the_content(self):
        runtime = virtual.VirtualRuntime()
        reader, other = Replica(runtime), Replica(runtime)
        reader.documents.replace(TOPIC, 5, {"a": b"five"})
        runtime.run(1.0)
        other.sync_from(reader)
        self.assertAlmostEqual(other.documents.age_s(TOPIC), 1.0)
        reader.documents.confirm(TOPIC)
        other.sync_from(reader)
        self.assertAlmostEqual(other.documents.age_s(TOPIC), 0.0)

    def test_age_of_other_content_is_not_taken_over(self):
        # Guards against an instance that relies on an outdated list because a peer's is recent.
        runtime = virtual.VirtualRuntime()
        reader, other = Replica(runtime), Replica(runtime)
        other.documents.replace(TOPIC, 5, {"a": b"five"})
        runtime.run(3.0)
        reader.documents.replace(TOPIC, 6, {"a": b"six"})
        other.documents.outdated_topics(reader.documents.versions())
        self.assertAlmostEqual(other.documents.age_s(TOPIC), 3.0)


class Convergence(unittest.TestCase):
    def test_replicas_of_a_changing_store_converge(self):
        # Guards against lost or reverted changes, whatever the order of reads and fetches.
        for seed in range(200):
            generator = random.Random(seed)
            runtime = virtual.VirtualRuntime()
            replicas = [Replica(runtime) for _ in range(4)]
            store, revision = {}, 1
            for _ in range(60):
                action = generator.random()
                if action < 0.4:
                    revision += 1
                    key = f"s-{generator.randrange(5)}"
                    if key in store and generator.random() < 0.4:
                        del store[key]
                    else:
                        store[key] = b"%d" % generator.randrange(3)
                elif action < 0.6:
                    generator.choice(replicas[:2]).documents.replace(TOPIC, revision, dict(store))
                else:
                    target, source = generator.sample(replicas, 2)
                    target.sync_from(source)
                for replica in replicas:
                    if replica.document.revision == revision:
                        self.assertEqual(replica.content(), store, seed)
            replicas[0].documents.replace(TOPIC, revision, dict(store))
            for replica in replicas[1:]:
                replica.sync_from(replicas[0])
                self.assertEqual(replica.content(), store, seed)


if __name__ == "__main__":
    unittest.main()
