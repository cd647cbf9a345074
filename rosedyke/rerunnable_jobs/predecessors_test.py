import unittest

import msgspec

from rosedyke.rerunnable_jobs import messages, predecessors
from rosedyke.standins import rerun_region
from rosedyke.wire import codec

OWNERS = (messages.KnownOwner(20, 3, ("s-1", "s-2")), messages.KnownOwner(10, 1))


def former(token, servers_version=1):
    return predecessors.FormerOwner(token, servers_version, 0.0)


class Coverage(unittest.TestCase):
    def test_runs_are_known_once_all_servers_have_listed_theirs(self):
        known = predecessors.Predecessors(OWNERS)
        self.assertEqual([known.cover(former(token)) for token in (10, 20)], [True, False])
        known.on_listed("s-1")
        self.assertFalse(known.cover(former(20)))
        known.on_listed("s-2")
        self.assertTrue(known.cover(former(20)))
        self.assertTrue(known.are_fenced())

    def test_owner_that_is_not_known_is_not_covered(self):
        # Guards against a task that runs twice because the owner before the last one lives on.
        known = predecessors.Predecessors(OWNERS)
        self.assertFalse(known.cover(former(15)))
        self.assertFalse(known.cover(former(predecessors.UNKNOWN_TOKEN)))

    def test_owner_that_has_added_servers_since_is_not_covered(self):
        # Guards against a task that runs twice on a server that its owner added after the pool was
        # taken from it.
        known = predecessors.Predecessors([messages.KnownOwner(10, 2)])
        covered = [known.cover(former(10, version)) for version in (1, 2, 3)]
        self.assertEqual(covered, [True, True, False])
        self.assertFalse(known.cover(former(10, predecessors.EVERY_VERSION)))

    def test_former_token_of_the_same_owner_is_covered(self):
        known = predecessors.Predecessors()
        known.on_token_raised(10)
        self.assertTrue(known.cover(former(10, 7)))
        self.assertFalse(known.cover(former(11)))

    def test_successor_has_to_reach_the_servers_of_all_owners(self):
        # Guards against a successor that does not look for runs which the last owner has adopted.
        known = predecessors.Predecessors(
            predecessors.known_to_successor(
                30, 5, ["s-3"], predecessors.Predecessors(OWNERS).known()
            )
        )
        self.assertEqual(known.unfenced, {10: {"s-3"}, 20: {"s-1", "s-2", "s-3"}, 30: {"s-3"}})
        self.assertEqual(known.versions, {10: 1, 20: 3, 30: 5})

    def test_only_the_last_owners_are_remembered(self):
        # Guards against messages that grow with each takeover.
        count = predecessors.MAX_PREDECESSORS + 3
        known = predecessors.Predecessors(messages.KnownOwner(token, 1) for token in range(count))
        self.assertEqual(sorted(known.versions), list(range(3, count)))


class Messages(unittest.TestCase):
    def test_nothing_is_added_to_messages_of_a_calm_day(self):
        # Guards against more bytes in each of hundreds of reports and submissions a second.
        region = rerun_region.Region({"a": 3})
        region.run(2.0)
        region.submit(region.non_owner("a"), "j1")
        region.run(2.0)
        for *_, message in region.network.log:
            body = codec.encode(message)
            for field in (b"earlier_owners", b"former_owners"):
                self.assertNotIn(field, body)


class Holders(unittest.TestCase):
    """What a job's holder tells a new owner of the owners before it."""

    def former_owners(self, region):
        """Return those of the last submission in the region."""
        submissions = [
            message for *_, message in region.network.log if isinstance(message, messages.Submit)
        ]
        return submissions[-1].former_owners

    def test_new_submission_names_no_owner(self):
        region = rerun_region.Region({"a": 3})
        region.run(2.0)
        region.submit(region.non_owner("a"), "j1")
        region.run(0.05)
        self.assertIs(self.former_owners(region), msgspec.UNSET)

    def test_each_owner_is_named_until_its_runs_are_over(self):
        # Guards against a task that runs twice after two takeovers in a row, and against tasks that
        # wait for the leases of an owner of long ago.
        region = rerun_region.Region({"a": 3, "b": 3}, servers=4)
        region.run(2.0)
        holder = region.members[region.non_owner("b")].node
        holder.holder.choose_pools = lambda work, count: {"a/r1": count}
        region.submit(holder.this_instance.name, "j1", 12, 6.0, timeout_s=20)
        region.run(0.2)
        tokens = []
        for pause_s, count in ((0.0, 1), (0.3, 2), (region.timing.holder_lease_end_s, 1)):
            region.run(pause_s)
            tokens.append(self.hand_over(region))
            named = [former.token for former in self.former_owners(region)]
            self.assertEqual(named, tokens[-count:])
        self.assertEqual(region.backend.violations, [])

    def hand_over(self, region):
        """Hand pool ``a/r1`` over, and return the token of the owner that had it."""
        owner = region.members[region.owner("a")].node
        token = owner.owned_pools["a/r1"].token
        region.runtime.call(owner.handover.hand_pools_over, True)
        # It may get the pool back.
        owner.takeovers.is_suspended = False
        region.run(0.05)
        return token
