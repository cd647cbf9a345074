import collections
import unittest
import zlib

import attrs

from rosedyke.configuration import (
    change,
    distribution,
    file,
    intent,
    messages,
    plan,
    ports,
    puller,
    settings,
    stored,
)
from rosedyke.membership import member
from rosedyke.standins import keyvalue, virtual, virtual_store
from rosedyke.wire import peer

KEYS = stored.Keys()


def text(team, servers=1):
    return f"""
team = "{team}"
[[services]]
name = "{team}"
[[services.tasks]]
name = "task"
run_time_s = 0.1
[[services.servers]]
name = "{team}-{{n}}"
address = "127.1.{len(team)}.{{n}}:8100"
data_centre = "dc1"
count = {servers}
"""


class FakeMembership:
    """Sees every instance of the region that the test has not ended or cut off."""

    def __init__(self, region, own):
        self.region = region
        self.own = member.Member(own, member.State.LIVE)
        self.values = {}

    @property
    def view(self):
        names = sorted(self.region.instances)
        return member.View(
            tuple(
                self.region.instances[name].membership.own
                for name in names
                if self.region.can_reach(self.own.name, name)
            )
        )

    def advertise(self, topic, value):
        self.values[topic] = value

    def advertised(self, name, topic):
        return self.region.instances[name].membership.values.get(topic)


@attrs.define
class Instance:
    peers: virtual.VirtualPeers
    membership: FakeMembership
    store: virtual_store.VirtualStore
    distribution: distribution.Distribution
    history: list = attrs.Factory(list)


class Region:
    """Instances with a store, all on one virtual clock."""

    def __init__(self, seed=0):
        self.runtime = virtual.VirtualRuntime(seed)
        self.network = virtual.VirtualNetwork(self.runtime)
        self.state = keyvalue.KeyValue()
        self.faults = virtual_store.Faults()
        self.instances = {}
        self.starts = 0
        self.operator = virtual_store.VirtualStore(self.runtime, self.state, virtual_store.Faults())

    def can_reach(self, one, other):
        return (one, other) not in self.network.cut

    def start(self, name, data_centre="dc1", faults=None):
        self.starts += 1
        own = peer.Peer(name, self.starts, data_centre, f"127.0.0.1:{self.starts}")
        peers = virtual.VirtualPeers(self.network, own)
        membership = FakeMembership(self, own)
        store = virtual_store.VirtualStore(self.runtime, self.state, faults or self.faults)
        started = distribution.Distribution(
            settings.DistributionSettings(), self.runtime, peers, membership, store
        )
        self.instances[name] = Instance(peers, membership, store, started)
        started.subscribe(lambda new: self.instances[name].history.append(new.generation))
        started.start()
        return self.instances[name]

    def end(self, name):
        gone = self.instances.pop(name)
        gone.distribution.stop()
        gone.peers.crash()

    def run(self, seconds):
        self.runtime.run(self.runtime.now() + seconds)

    def apply(self, *texts, removals=()):
        files = tuple(file.parse(f"{n}.toml", each.encode()) for n, each in enumerate(texts))
        proposal = plan.Proposal(files, removals, "ana", "2026-01-01T00:00:00Z")
        outcome = self.runtime.call(change.apply, self.operator, KEYS, self.runtime, proposal)
        if not isinstance(outcome, change.Accepted):
            raise AssertionError(outcome)
        return outcome.generation

    def generations(self):
        return {name: each.distribution.generation for name, each in self.instances.items()}


class OneInstance(unittest.TestCase):
    def test_takes_what_was_applied_before_and_after_its_start(self):
        region = Region()
        region.apply(text("a"))
        started = region.start("i1")
        self.assertIsNone(started.distribution.configuration)
        region.run(3)
        self.assertEqual(started.distribution.generation, 1)
        region.apply(text("bb", servers=2))
        region.run(1)
        self.assertEqual(started.history, [1, 2])
        found = started.distribution.configuration.service("bb")
        self.assertEqual([server.name for server in found.servers], ["bb-1", "bb-2"])

    def test_without_configuration_there_is_none(self):
        region = Region()
        started = region.start("i1")
        region.run(10)
        self.assertIsNone(started.distribution.configuration)
        self.assertEqual(started.distribution.generation, 0)

    def test_leaving_servers_follow_the_platforms_list(self):
        region = Region()
        started = region.start("i1")
        region.run(3)
        put = ports.Put(KEYS.servers.first + "s1", stored.encode(stored.ServerRecord("leaving")))
        region.runtime.call(region.operator.write, (), (put,))
        region.run(1)
        self.assertTrue(started.distribution.is_leaving("s1"))
        region.runtime.call(region.operator.write, (), (ports.Delete(put.key),))
        region.run(1)
        self.assertFalse(started.distribution.is_leaving("s1"))


class SeveralInstances(unittest.TestCase):
    def test_only_two_of_a_data_centre_read_the_store(self):
        region = Region()
        for number in range(8):
            region.start(f"i{number}")
        region.apply(text("a"))
        region.run(10)
        before = {name: each.store.calls for name, each in region.instances.items()}
        region.apply(text("a", servers=2))
        region.run(10)
        self.assertEqual(set(region.generations().values()), {2})
        readers = [n for n, each in region.instances.items() if each.store.calls > before[n]]
        self.assertEqual(len(readers), 2)

    def test_no_instance_serves_all_others(self):
        """One change in a data centre of 50: if everyone pulled from the watcher that read it, its
        traffic would grow with the data centre.
        """
        region = Region()
        for number in range(50):
            region.start(f"i{number}")
        region.apply(text("a"))
        region.run(10)
        region.network.log.clear()
        region.apply(text("a", servers=2))
        region.run(1)
        self.assertEqual(set(region.generations().values()), {2})
        replies = collections.Counter(
            source
            for _, source, _, message in region.network.log
            if isinstance(message, messages.Delta)
        )
        announcements = collections.Counter(
            source
            for _, source, _, message in region.network.log
            if isinstance(message, messages.Announce)
        )
        self.assertLessEqual(max(replies.values()), 2 * puller.FANOUT + 2)
        self.assertLessEqual(max(announcements.values()), 2 * puller.FANOUT)

    def test_change_is_in_force_within_a_second(self):
        region = Region()
        for number in range(12):
            region.start(f"i{number}", f"dc{number % 3}")
        region.run(10)
        region.apply(text("a"))
        region.run(1)
        self.assertEqual(set(region.generations().values()), {1})

    def test_watcher_ends(self):
        """Both watchers of the data centre die; the next two must take over their watch."""
        region = Region()
        for number in range(5):
            region.start(f"i{number}")
        region.run(10)
        for each in list(region.instances.values()):
            if each.distribution.reader.is_watcher() and len(region.instances) > 3:
                region.end(each.membership.own.name)
        region.apply(text("a"))
        region.run(7)
        self.assertEqual(list(region.generations().values()), [1, 1, 1])

    def test_removed_team_is_gone_everywhere(self):
        region = Region()
        for number in range(5):
            region.start(f"i{number}")
        region.apply(text("a"), text("bb"))
        region.run(5)
        region.apply(removals=("a",))
        region.run(3)
        for each in region.instances.values():
            found = each.distribution.configuration
            self.assertEqual([team.name for team in found.teams], ["bb"])

    def test_large_set_comes_in_several_pulls(self):
        region = Region()
        region.start("i0")
        region.start("i1")
        filler = "".join(f"# {number} {'x' * 90}\n" for number in range(2500))
        texts = [(text(f"team-{n}") + filler).replace("127.1.", f"127.{n + 2}.") for n in range(9)]
        for start in (0, 3, 6):
            region.apply(*texts[start : start + 3])
        region.run(10)
        late = region.start("i2")
        region.run(5)
        self.assertEqual(len(late.distribution.configuration.teams), 9)

    def test_leaving_servers_are_told_to_all(self):
        region = Region()
        for number in range(5):
            region.start(f"i{number}")
        region.run(10)
        put = ports.Put(KEYS.servers.first + "s1", stored.encode(stored.ServerRecord("leaving")))
        region.runtime.call(region.operator.write, (), (put,))
        region.run(2)
        for each in region.instances.values():
            self.assertTrue(each.distribution.is_leaving("s1"))
        versions = {each.distribution.held.leaving.version for each in region.instances.values()}
        self.assertEqual(len(versions), 1)

    def test_nothing_is_pulled_when_nothing_changes(self):
        region = Region()
        for number in range(6):
            region.start(f"i{number}")
        region.apply(text("a"))
        region.run(20)
        sent = len(region.network.log)
        for _ in range(10):
            # Another key of the store changes, which raises its revision.
            region.runtime.call(region.operator.write, (), (ports.Put("/other", b""),))
            region.run(3)
        self.assertEqual(len(region.network.log), sent)

    def test_watchers_that_first_read_at_different_revisions_come_to_rest(self):
        """The list of leaving servers has the revision of its reading as its version.

        Two watchers read the same list at two revisions; the one with the lower must not go on
        thinking that the other has something newer.
        """
        region = Region()
        early, late = virtual_store.Faults(delay_s=0.001), virtual_store.Faults(delay_s=0.5)
        region.start("i0", faults=early)
        region.start("i1", faults=late)
        region.run(1.2)
        region.runtime.call(region.operator.write, (), (ports.Put("/other", b""),))
        region.run(10)
        sent = len(region.network.log)
        region.run(20)
        self.assertEqual(len(region.network.log), sent)


class StoreFaults(unittest.TestCase):
    def test_instance_that_starts_while_the_store_is_down(self):
        """The store goes down, an instance is replaced, and the new one finds no store.

        Callers must not see a refusal or an older generation: it gets the newest from its peers.
        """
        region = Region()
        for number in range(3):
            region.start(f"i{number}")
        region.apply(text("a"))
        region.apply(text("a", servers=2))
        region.run(5)
        region.faults.is_down = True
        late = region.start("i9")
        region.run(3)
        self.assertEqual(late.history, [2])

    def test_all_instances_replaced_during_an_outage(self):
        region = Region()
        region.apply(text("a"))
        for number in range(4):
            region.start(f"i{number}")
        region.run(5)
        region.faults.is_down = True
        for number in range(4):
            region.end(f"i{number}")
            region.start(f"j{number}")
            region.run(5)
        self.assertEqual(set(region.generations().values()), {1})

    def test_store_that_answers_with_an_old_revision(self):
        """A lagging replica of the store answers a new instance and a running one.

        The running ones ignore it; the new one hears the newest from a peer before anyone can
        see what it holds, so nobody is served by the older generation.
        """
        region = Region()
        region.start("i0")
        region.apply(text("a"))
        region.run(3)
        stale = region.state.revision
        region.apply(text("a", servers=2))
        region.run(3)
        region.faults.stale_revision = stale
        region.network.delay_s = lambda source, target, message: 0.05  # slower than the store
        late = region.start("i1")
        region.run(20)
        self.assertEqual(late.history, [2])
        self.assertEqual(region.instances["i0"].history, [1, 2])

    def test_store_restored_from_an_old_copy(self):
        """The store's data is replaced by an old copy and another change is applied to that.

        The same generation number then means two things.  Instances keep what was accepted first
        and go on with the first generation above it.
        """
        region = Region()
        region.start("i0")
        region.apply(text("a"))
        state = region.state
        copy = dict(state.records), list(state.events), state.revision
        region.apply(text("a", servers=2))
        region.run(3)
        state.records, state.events, state.revision = copy
        region.apply(text("a", servers=3))
        region.run(10)
        held = region.instances["i0"].distribution
        self.assertEqual(len(held.configuration.service("a").servers), 2)
        region.apply(text("a", servers=4))
        region.run(10)
        self.assertEqual(len(held.configuration.service("a").servers), 4)

    def test_peer_of_another_history_is_followed_from_the_next_generation_on(self):
        """The store went back to an old copy, and another file got generation 2 there.

        An instance that holds the first generation 2 is cut off from the store and pulls 3 from a
        peer: entries that are no newer than its own generation differ as well.
        """
        region = Region()
        region.apply(text("a"), text("bb"))
        state = region.state
        copy = dict(state.records), list(state.events), state.revision
        region.apply(text("a", servers=2))
        region.start("i0")
        region.run(3)
        region.instances["i0"].store.faults = virtual_store.Faults(is_down=True)
        state.records, state.events, state.revision = copy
        region.apply(text("bb", servers=2))
        region.apply(text("a", servers=3))
        region.start("i1")
        region.run(10)
        held = region.instances["i0"].distribution
        self.assertEqual(held.generation, 3)
        counts = [len(held.configuration.service(name).servers) for name in ("a", "bb")]
        self.assertEqual(counts, [3, 2])

    def test_silent_watch(self):
        """The watch stands but says nothing: a read now and then finds the change all the same."""
        region = Region()
        region.start("i0")
        region.run(3)
        region.faults.is_watch_silent = True
        region.apply(text("a"))
        region.run(7)
        self.assertEqual(region.generations(), {"i0": 1})

    def test_compaction_while_the_store_was_down(self):
        region = Region()
        started = region.start("i0")
        region.apply(text("a"))
        region.run(3)
        region.faults.is_down = True
        region.run(5)
        region.apply(text("a", servers=2))
        region.state.compact(region.state.revision)
        region.faults.is_down = False
        region.run(12)
        self.assertEqual(started.history, [1, 2])
        region.apply(text("a", servers=3))
        region.run(1)
        self.assertEqual(started.history, [1, 2, 3])

    def test_outage_ends(self):
        region = Region()
        started = region.start("i0")
        region.faults.is_down = True
        region.run(60)
        region.apply(text("a"))
        region.faults.is_down = False
        region.run(9)
        self.assertEqual(started.history, [1])

    def test_watchers_cut_off_from_the_store_while_another_is_not(self):
        region = Region()
        cut = virtual_store.Faults(is_down=True)
        for number in range(4):
            region.start(f"i{number}", faults=cut)
        for each in region.instances.values():
            if not each.distribution.reader.is_watcher():
                each.store.faults = region.faults
        region.apply(text("a"))
        region.run(20)
        self.assertEqual(set(region.generations().values()), {1})


class Partitions(unittest.TestCase):
    def start(self, region):
        for data_centre in ("dc1", "dc2"):
            for number in range(3):
                region.start(f"{data_centre}-{number}", data_centre)

    def test_data_centre_without_store_and_peers_keeps_what_it_has_and_catches_up(self):
        region = Region()
        self.start(region)
        region.apply(text("a"))
        region.run(5)
        names = sorted(region.instances)
        region.network.partition(names[:3], names[3:])
        cut = virtual_store.Faults(is_down=True)
        for name in names[3:]:
            region.instances[name].store.faults = cut
        region.apply(text("a", servers=2))
        region.run(10)
        self.assertEqual(list(region.generations().values()), [2, 2, 2, 1, 1, 1])
        region.network.heal()
        region.run(12)
        self.assertEqual(set(region.generations().values()), {2})
        for each in region.instances.values():
            self.assertEqual(each.history, [1, 2])

    def test_data_centre_cut_off_from_the_store_alone_is_fed_by_the_other(self):
        region = Region()
        self.start(region)
        region.run(5)
        cut = virtual_store.Faults(is_down=True)
        for name, each in region.instances.items():
            if name.startswith("dc2"):
                each.store.faults = cut
        region.apply(text("a"))
        region.run(12)
        self.assertEqual(set(region.generations().values()), {1})

    def test_rejoining_side_with_the_older_generation_changes_nothing(self):
        region = Region()
        self.start(region)
        region.apply(text("a"))
        region.run(5)
        names = sorted(region.instances)
        region.network.partition(names[:3], names[3:])
        stale = virtual_store.Faults(stale_revision=region.state.revision)
        for name in names[3:]:
            region.instances[name].store.faults = stale
        region.apply(text("a", servers=2))
        region.run(5)
        for name in names[3:]:
            region.end(name)
            region.start(f"{name}-new", "dc2", faults=stale)
        region.run(10)
        region.network.heal()
        region.run(15)
        for name in names[:3]:
            self.assertEqual(region.instances[name].history, [1, 2])
        self.assertEqual(set(region.generations().values()), {2})


class ForeignMessages(unittest.TestCase):
    """What a broken or hostile peer sends must neither be taken nor end the pulling task."""

    def offer(self, delta):
        region = Region()
        started = region.start("i0")
        region.apply(text("a"))
        region.run(3)
        liar = virtual.VirtualPeers(region.network, peer.Peer("liar", 99, "dc1", "127.0.0.1:99"))
        liar.handle(messages.Pull, lambda sender, pull: delta)
        target = member.Member(liar.own, member.State.LIVE)
        self.assertFalse(region.runtime.call(started.distribution.puller.pull, target))
        self.assertEqual(started.history, [1])
        region.apply(text("a", servers=2))
        region.run(2)
        self.assertEqual(started.history, [1, 2])

    def test_entries_that_do_not_match_their_digest(self):
        entry = stored.HeadEntry("x", 9, "00")
        self.offer(messages.Delta(9, "id", "no digest", (entry,), messages.pack([])))

    def test_content_that_is_no_content(self):
        self.offer(messages.Delta(9, "id", "", (), b"\x00\x01"))

    def test_content_that_grows_without_bound(self):
        self.offer(messages.Delta(9, "id", "", (), zlib.compress(bytes(50_000_000))))

    def test_file_that_is_not_the_one_of_the_head(self):
        forged = stored.TeamIntent("x", 9, stored.encode(intent.Team("x")))
        entry = stored.HeadEntry("x", 9, stored.digest(b"another"))
        head = stored.Head(9, "id", (entry,))
        self.offer(messages.Delta(9, "id", head.digest(), (entry,), messages.pack([forged])))

    def test_file_that_this_version_cannot_read(self):
        unread = stored.TeamIntent("x", 9, stored.encode(intent.Team("x")), stored.FORMAT + 1)
        entry = stored.HeadEntry("x", 9, unread.digest)
        mine = stored.TeamIntent("a", 1, stored.encode(file.loads(text("a"))))
        entries = (stored.HeadEntry("a", 1, mine.digest), entry)
        digest = stored.Head(9, "id", entries).digest()
        self.offer(messages.Delta(9, "id", digest, entries, messages.pack([unread, mine])))

    def test_unreadable_advertisement_is_nobody_ahead(self):
        region = Region()
        started = region.start("i0")
        other = region.start("i1")
        region.run(3)
        for value in (b"", b"x y", b"1", "\u00b2 \u00b2".encode(), b"9" * 500):
            other.membership.values["generation"] = value
            self.assertIsNone(region.runtime.call(started.distribution.puller.find_ahead))
