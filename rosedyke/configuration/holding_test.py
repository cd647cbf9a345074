import unittest

from rosedyke.configuration import holding, intent, snapshot, stored
from rosedyke.standins import virtual


def generation(number, quota=0, change_id=None):
    """Return a head with one team's file, and the file."""
    each = stored.TeamIntent("a", number, stored.encode(intent.Team("a", quota)))
    entry = stored.HeadEntry("a", number, each.digest)
    return stored.Head(number, change_id or f"change-{number}", (entry,)), {"a": each}


class Take(unittest.TestCase):
    def setUp(self):
        self.runtime = virtual.VirtualRuntime()
        self.held = holding.Holding(self.runtime)
        self.held.publish()
        self.seen = []
        self.held.on_generation.append(lambda new: self.seen.append(new.generation))

    def take(self, head, files):
        return self.runtime.call(self.held.take, head, files, holding.SOURCE_STORE)

    def test_only_newer_generations_are_taken(self):
        self.assertTrue(self.take(*generation(2)))
        self.assertFalse(self.take(*generation(1)))
        self.assertFalse(self.take(*generation(2, quota=5, change_id="another")))
        self.assertTrue(self.take(*generation(3)))
        self.assertEqual(self.seen, [2, 3])

    def test_older_generation_that_is_still_being_parsed_comes_too_late(self):
        """A reader parses generation 2 and lets other tasks run; one of them takes 3 meanwhile.

        When the reader goes on, putting 2 in force would be a step back.
        """
        self.runtime.spawn(self.held.take, *generation(2), holding.SOURCE_STORE)
        self.runtime.spawn(self.held.take, *generation(3), holding.SOURCE_PEER)
        self.runtime.run(1)
        self.assertEqual(self.held.generation, 3)
        self.assertEqual(self.seen[-1], 3)
        self.assertEqual(self.seen, sorted(self.seen))

    def test_older_one_parsed_last(self):
        parse = snapshot.advance

        def slow(base, wanted, received, pauses):
            if wanted.generation == 2:
                pauses.sleep(1)
            return parse(base, wanted, received, pauses)

        snapshot.advance = slow
        self.addCleanup(setattr, snapshot, "advance", parse)
        self.runtime.spawn(self.held.take, *generation(2), holding.SOURCE_STORE)
        self.runtime.spawn(self.held.take, *generation(3), holding.SOURCE_PEER)
        self.runtime.run(3)
        self.assertEqual(self.seen, [3])

    def test_file_that_is_not_the_one_of_the_head(self):
        head, _ = generation(2)
        _, others = generation(2, quota=9)
        with self.assertRaises(snapshot.SnapshotError):
            self.take(head, others)
        with self.assertRaises(snapshot.SnapshotError):
            self.take(head, {})
        self.assertEqual(self.held.generation, 0)

    def test_failing_subscriber_keeps_neither_others_nor_later_generations_away(self):
        """A subscriber raises; the task that took the generation must go on, or it was the last."""

        def fail(new):
            raise ValueError(new.generation)

        self.held.on_generation.insert(0, fail)
        self.assertTrue(self.take(*generation(2)))
        self.assertTrue(self.take(*generation(3)))
        self.assertEqual(self.seen, [2, 3])

    def test_nothing_is_told_before_it_is_published(self):
        held = holding.Holding(self.runtime)
        held.on_generation.append(lambda new: self.seen.append(new.generation))
        head, files = generation(2)
        self.runtime.call(held.take, head, files, holding.SOURCE_PEER)
        self.assertEqual(self.seen, [])
        held.publish()
        self.assertEqual(self.seen, [2])


class LeavingServers(unittest.TestCase):
    def setUp(self):
        self.held = holding.Holding(virtual.VirtualRuntime())
        self.held.publish()
        self.told = []
        self.held.on_advance.append(self.told.append)

    def take(self, version, *names, is_from_peer=False):
        self.held.take_leaving(holding.Leaving(version, frozenset(names)), is_from_peer)

    def test_older_list_is_ignored(self):
        self.take(5, "a")
        self.take(4, "b")
        self.assertEqual(self.held.leaving.servers, {"a"})

    def test_equal_list_read_later_is_no_news(self):
        self.take(5, "a")
        self.take(6, "a")
        self.assertEqual((self.held.leaving.version, len(self.told)), (5, 1))

    def test_equal_list_of_a_peer_gives_its_version(self):
        self.take(5, "a")
        self.take(6, "a", is_from_peer=True)
        self.assertEqual(self.held.leaving.version, 6)
