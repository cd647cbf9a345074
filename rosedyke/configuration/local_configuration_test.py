import unittest

from rosedyke.configuration import intent, local_configuration, snapshot, storage
from rosedyke.standins import virtual


def generation(number, quota=0, change_id=None):
    """Return a head with one team's file, and the file by team name."""
    team_intent = storage.TeamIntent("a", number, storage.encode(intent.Team("a", quota)))
    entry = storage.HeadEntry("a", number, team_intent.digest)
    return storage.Head(number, change_id or f"change-{number}", (entry,)), {"a": team_intent}


class GenerationUpdates(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.local_config = local_configuration.LocalConfiguration(self.runtime)
        self.local_config.publish()
        self.notified_generations = []
        self.local_config.generation_callbacks.append(
            lambda configuration: self.notified_generations.append(configuration.generation)
        )

    def update(self, head, files):
        return self.runtime.call(
            self.local_config.update, head, files, local_configuration.SOURCE_STORE
        )

    def test_only_newer_generations_are_applied(self):
        self.assertTrue(self.update(*generation(2)))
        self.assertFalse(self.update(*generation(1)))
        self.assertFalse(self.update(*generation(2, quota=5, change_id="another")))
        self.assertTrue(self.update(*generation(3)))
        self.assertEqual(self.notified_generations, [2, 3])

    def test_older_generation_decoded_concurrently_is_ignored(self):
        """Two tasks decode generations 2 and 3 concurrently; the active one must not decrease."""
        self.runtime.spawn(
            self.local_config.update, *generation(2), local_configuration.SOURCE_STORE
        )
        self.runtime.spawn(
            self.local_config.update, *generation(3), local_configuration.SOURCE_PEER
        )
        self.runtime.run(1)
        self.assertEqual(self.local_config.generation, 3)
        self.assertEqual(self.notified_generations[-1], 3)
        self.assertEqual(self.notified_generations, sorted(self.notified_generations))

    def test_older_generation_decoded_last_is_ignored(self):
        original = snapshot.advance

        def delayed_advance(base, head, received, runtime):
            if head.generation == 2:
                runtime.sleep(1)
            return original(base, head, received, runtime)

        snapshot.advance = delayed_advance
        self.addCleanup(setattr, snapshot, "advance", original)
        self.runtime.spawn(
            self.local_config.update, *generation(2), local_configuration.SOURCE_STORE
        )
        self.runtime.spawn(
            self.local_config.update, *generation(3), local_configuration.SOURCE_PEER
        )
        self.runtime.run(3)
        self.assertEqual(self.notified_generations, [3])

    def test_files_that_do_not_match_the_head_are_rejected(self):
        head, _ = generation(2)
        _, other_files = generation(2, quota=9)
        with self.assertRaises(snapshot.SnapshotError):
            self.update(head, other_files)
        with self.assertRaises(snapshot.SnapshotError):
            self.update(head, {})
        self.assertEqual(self.local_config.generation, 0)

    def test_failing_subscriber_affects_neither_others_nor_later_generations(self):
        """An exception of a subscriber must not end the task that applies generations."""

        def fail(configuration):
            raise ValueError(configuration.generation)

        self.local_config.generation_callbacks.insert(0, fail)
        self.assertTrue(self.update(*generation(2)))
        self.assertTrue(self.update(*generation(3)))
        self.assertEqual(self.notified_generations, [2, 3])

    def test_subscribers_are_not_called_before_publication(self):
        starting = local_configuration.LocalConfiguration(self.runtime)
        starting.generation_callbacks.append(
            lambda configuration: self.notified_generations.append(configuration.generation)
        )
        head, files = generation(2)
        self.runtime.call(starting.update, head, files, local_configuration.SOURCE_PEER)
        self.assertEqual(self.notified_generations, [])
        starting.publish()
        self.assertEqual(self.notified_generations, [2])


class LeavingServers(unittest.TestCase):
    def setUp(self):
        self.local_config = local_configuration.LocalConfiguration(virtual.VirtualRuntime())
        self.local_config.publish()
        self.notified_sources = []
        self.local_config.version_callbacks.append(self.notified_sources.append)

    def update(self, version, *names, is_from_peer=False):
        self.local_config.update_leaving(
            local_configuration.LeavingServers(version, frozenset(names)), is_from_peer
        )

    def test_older_list_is_ignored(self):
        self.update(5, "a")
        self.update(4, "b")
        self.assertEqual(self.local_config.leaving.servers, {"a"})

    def test_unchanged_list_from_the_store_keeps_its_version(self):
        self.update(5, "a")
        self.update(6, "a")
        self.assertEqual((self.local_config.leaving.version, len(self.notified_sources)), (5, 1))

    def test_unchanged_list_from_a_peer_updates_its_version(self):
        self.update(5, "a")
        self.update(6, "a", is_from_peer=True)
        self.assertEqual(self.local_config.leaving.version, 6)
