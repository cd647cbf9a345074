import collections
import unittest
import zlib

import attrs

from rosedyke.configuration import (
    change,
    distribution,
    file_parser,
    intent,
    messages,
    peer_puller,
    plan,
    ports,
    settings,
    storage,
)
from rosedyke.membership import member
from rosedyke.standins import keyvalue, virtual, virtual_store
from rosedyke.wire import peer

KEYS = storage.Keys()


def file_text(team, servers=1):
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
    """Contains the running instances of the region that the network lets this one reach."""

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
    applied_generations: list = attrs.Factory(list)


class Region:
    """Simulated instances and a store on one virtual clock."""

    def __init__(self, seed=0):
        self.runtime = virtual.VirtualRuntime(seed)
        self.network = virtual.VirtualNetwork(self.runtime)
        self.state = keyvalue.KeyValue()
        self.faults = virtual_store.Faults()
        self.instances = {}
        self.starts = 0
        self.operator_store = virtual_store.VirtualStore(
            self.runtime, self.state, virtual_store.Faults()
        )

    def can_reach(self, source, target):
        return (source, target) not in self.network.cut

    def start(self, name, data_centre="dc1", faults=None):
        self.starts += 1
        own = peer.Peer(name, self.starts, data_centre, f"127.0.0.1:{self.starts}")
        peers = virtual.VirtualPeers(self.network, own)
        membership = FakeMembership(self, own)
        store = virtual_store.VirtualStore(self.runtime, self.state, faults or self.faults)
        new_distribution = distribution.Distribution(
            settings.DistributionSettings(), self.runtime, peers, membership, store
        )
        self.instances[name] = Instance(peers, membership, store, new_distribution)
        new_distribution.subscribe(
            lambda configuration: self.instances[name].applied_generations.append(
                configuration.generation
            )
        )
        new_distribution.start()
        return self.instances[name]

    def terminate(self, name):
        stopped = self.instances.pop(name)
        stopped.distribution.stop()
        stopped.peers.crash()

    def run(self, seconds):
        self.runtime.run(self.runtime.now() + seconds)

    def apply(self, *texts, removals=()):
        files = tuple(
            file_parser.parse(f"{number}.toml", content.encode())
            for number, content in enumerate(texts)
        )
        proposal = plan.Proposal(files, removals, "ana", "2026-01-01T00:00:00Z")
        outcome = self.runtime.call(change.apply, self.operator_store, KEYS, self.runtime, proposal)
        if not isinstance(outcome, change.Accepted):
            raise AssertionError(outcome)
        return outcome.generation

    def generations(self):
        return {name: instance.distribution.generation for name, instance in self.instances.items()}


class SingleInstance(unittest.TestCase):
    def test_changes_before_and_after_start_are_applied(self):
        region = Region()
        region.apply(file_text("a"))
        instance = region.start("i1")
        self.assertIsNone(instance.distribution.configuration)
        region.run(3)
        self.assertEqual(instance.distribution.generation, 1)
        region.apply(file_text("bb", servers=2))
        region.run(1)
        self.assertEqual(instance.applied_generations, [1, 2])
        found = instance.distribution.configuration.service("bb")
        self.assertEqual([server.name for server in found.servers], ["bb-1", "bb-2"])

    def test_no_configuration_before_the_first_change(self):
        region = Region()
        instance = region.start("i1")
        region.run(10)
        self.assertIsNone(instance.distribution.configuration)
        self.assertEqual(instance.distribution.generation, 0)

    def test_leaving_servers_follow_the_platforms_list(self):
        region = Region()
        instance = region.start("i1")
        region.run(3)
        put = ports.Put(KEYS.servers.first + "s1", storage.encode(storage.ServerRecord("leaving")))
        region.runtime.call(region.operator_store.write, (), (put,))
        region.run(1)
        self.assertTrue(instance.distribution.is_leaving("s1"))
        region.runtime.call(region.operator_store.write, (), (ports.Delete(put.key),))
        region.run(1)
        self.assertFalse(instance.distribution.is_leaving("s1"))


class MultipleInstances(unittest.TestCase):
    def test_two_instances_per_data_centre_read_the_store(self):
        region = Region()
        for number in range(8):
            region.start(f"i{number}")
        region.apply(file_text("a"))
        region.run(10)
        calls_before = {name: instance.store.calls for name, instance in region.instances.items()}
        region.apply(file_text("a", servers=2))
        region.run(10)
        self.assertEqual(set(region.generations().values()), {2})
        readers = [
            reader_name
            for reader_name, instance in region.instances.items()
            if instance.store.calls > calls_before[reader_name]
        ]
        self.assertEqual(len(readers), 2)

    def test_pulls_are_spread_over_instances(self):
        """The traffic of one instance must not grow with the size of its data centre."""
        region = Region()
        for number in range(50):
            region.start(f"i{number}")
        region.apply(file_text("a"))
        region.run(10)
        region.network.log.clear()
        region.apply(file_text("a", servers=2))
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
        self.assertLessEqual(max(replies.values()), 2 * peer_puller.FANOUT + 2)
        self.assertLessEqual(max(announcements.values()), 2 * peer_puller.FANOUT)

    def test_change_is_active_within_a_second(self):
        region = Region()
        for number in range(12):
            region.start(f"i{number}", f"dc{number % 3}")
        region.run(10)
        region.apply(file_text("a"))
        region.run(1)
        self.assertEqual(set(region.generations().values()), {1})

    def test_watchers_are_replaced_when_they_stop(self):
        """Both watchers of a data centre stop; two other instances must take over."""
        region = Region()
        for number in range(5):
            region.start(f"i{number}")
        region.run(10)
        for instance in list(region.instances.values()):
            if instance.distribution.reader.is_watcher() and len(region.instances) > 3:
                region.terminate(instance.membership.own.name)
        region.apply(file_text("a"))
        region.run(7)
        self.assertEqual(list(region.generations().values()), [1, 1, 1])

    def test_removal_of_a_team_reaches_all_instances(self):
        region = Region()
        for number in range(5):
            region.start(f"i{number}")
        region.apply(file_text("a"), file_text("bb"))
        region.run(5)
        region.apply(removals=("a",))
        region.run(3)
        for instance in region.instances.values():
            found = instance.distribution.configuration
            self.assertEqual([team.name for team in found.teams], ["bb"])

    def test_large_configuration_takes_several_pulls(self):
        region = Region()
        region.start("i0")
        region.start("i1")
        filler = "".join(f"# {number} {'x' * 90}\n" for number in range(2500))
        texts = [
            (file_text(f"team-{team_number}") + filler).replace("127.1.", f"127.{team_number + 2}.")
            for team_number in range(9)
        ]
        for start in (0, 3, 6):
            region.apply(*texts[start : start + 3])
        region.run(10)
        joined_instance = region.start("i2")
        region.run(5)
        self.assertEqual(len(joined_instance.distribution.configuration.teams), 9)

    def test_leaving_servers_reach_all_instances(self):
        region = Region()
        for number in range(5):
            region.start(f"i{number}")
        region.run(10)
        put = ports.Put(KEYS.servers.first + "s1", storage.encode(storage.ServerRecord("leaving")))
        region.runtime.call(region.operator_store.write, (), (put,))
        region.run(2)
        for instance in region.instances.values():
            self.assertTrue(instance.distribution.is_leaving("s1"))
        versions = {
            instance.distribution.local_config.leaving.version
            for instance in region.instances.values()
        }
        self.assertEqual(len(versions), 1)

    def test_no_messages_without_a_change(self):
        region = Region()
        for number in range(6):
            region.start(f"i{number}")
        region.apply(file_text("a"))
        region.run(20)
        message_count = len(region.network.log)
        for _ in range(10):
            # A change of an unrelated key raises the store's revision.
            region.runtime.call(region.operator_store.write, (), (ports.Put("/other", b""),))
            region.run(3)
        self.assertEqual(len(region.network.log), message_count)

    def test_watchers_with_lists_of_different_revisions_converge(self):
        """Two watchers read the same list of leaving servers at different revisions.

        The one with the lower revision must not keep pulling from the other.
        """
        region = Region()
        fast_store, slow_store = virtual_store.Faults(delay_s=0.001), virtual_store.Faults(
            delay_s=0.5
        )
        region.start("i0", faults=fast_store)
        region.start("i1", faults=slow_store)
        region.run(1.2)
        region.runtime.call(region.operator_store.write, (), (ports.Put("/other", b""),))
        region.run(10)
        message_count = len(region.network.log)
        region.run(20)
        self.assertEqual(len(region.network.log), message_count)


class StoreFaults(unittest.TestCase):
    def test_start_during_a_store_outage(self):
        """An instance that starts during an outage must get the newest generation from peers."""
        region = Region()
        for number in range(3):
            region.start(f"i{number}")
        region.apply(file_text("a"))
        region.apply(file_text("a", servers=2))
        region.run(5)
        region.faults.is_down = True
        joined_instance = region.start("i9")
        region.run(3)
        self.assertEqual(joined_instance.applied_generations, [2])

    def test_replacement_of_all_instances_during_a_store_outage(self):
        region = Region()
        region.apply(file_text("a"))
        for number in range(4):
            region.start(f"i{number}")
        region.run(5)
        region.faults.is_down = True
        for number in range(4):
            region.terminate(f"i{number}")
            region.start(f"j{number}")
            region.run(5)
        self.assertEqual(set(region.generations().values()), {1})

    def test_stale_reads_are_ignored(self):
        """A lagging replica of the store must not make any instance use an older generation.

        A starting instance pulls from its peers before it publishes what the replica returned.
        """
        region = Region()
        region.start("i0")
        region.apply(file_text("a"))
        region.run(3)
        lagging_revision = region.state.revision
        region.apply(file_text("a", servers=2))
        region.run(3)
        region.faults.stale_revision = lagging_revision
        region.network.delay_s = lambda source, target, message: 0.05  # slower than the store
        joined_instance = region.start("i1")
        region.run(20)
        self.assertEqual(joined_instance.applied_generations, [2])
        self.assertEqual(region.instances["i0"].applied_generations, [1, 2])

    def test_store_restored_from_a_backup(self):
        """After a restore another change gets a generation number that is already in use.

        Instances must keep the change accepted first and apply the next higher generation.
        """
        region = Region()
        region.start("i0")
        region.apply(file_text("a"))
        state = region.state
        backup = dict(state.records), list(state.events), state.revision
        region.apply(file_text("a", servers=2))
        region.run(3)
        state.records, state.events, state.revision = backup
        region.apply(file_text("a", servers=3))
        region.run(10)
        first_distribution = region.instances["i0"].distribution
        self.assertEqual(len(first_distribution.configuration.service("a").servers), 2)
        region.apply(file_text("a", servers=4))
        region.run(10)
        self.assertEqual(len(first_distribution.configuration.service("a").servers), 4)

    def test_pull_from_a_peer_with_a_diverged_history(self):
        """After a restore of the store an instance pulls generation 3 from a peer.

        Its own generation 2 and the peer's differ, so entries up to generation 2 differ too.
        """
        region = Region()
        region.apply(file_text("a"), file_text("bb"))
        state = region.state
        backup = dict(state.records), list(state.events), state.revision
        region.apply(file_text("a", servers=2))
        region.start("i0")
        region.run(3)
        region.instances["i0"].store.faults = virtual_store.Faults(is_down=True)
        state.records, state.events, state.revision = backup
        region.apply(file_text("bb", servers=2))
        region.apply(file_text("a", servers=3))
        region.start("i1")
        region.run(10)
        first_distribution = region.instances["i0"].distribution
        self.assertEqual(first_distribution.generation, 3)
        counts = [
            len(first_distribution.configuration.service(name).servers) for name in ("a", "bb")
        ]
        self.assertEqual(counts, [3, 2])

    def test_unresponsive_watch(self):
        """The watch is open but reports no events; polling must find the change."""
        region = Region()
        region.start("i0")
        region.run(3)
        region.faults.is_watch_silent = True
        region.apply(file_text("a"))
        region.run(7)
        self.assertEqual(region.generations(), {"i0": 1})

    def test_compaction_during_a_store_outage(self):
        region = Region()
        instance = region.start("i0")
        region.apply(file_text("a"))
        region.run(3)
        region.faults.is_down = True
        region.run(5)
        region.apply(file_text("a", servers=2))
        region.state.compact(region.state.revision)
        region.faults.is_down = False
        region.run(12)
        self.assertEqual(instance.applied_generations, [1, 2])
        region.apply(file_text("a", servers=3))
        region.run(1)
        self.assertEqual(instance.applied_generations, [1, 2, 3])

    def test_recovery_after_a_store_outage(self):
        region = Region()
        instance = region.start("i0")
        region.faults.is_down = True
        region.run(60)
        region.apply(file_text("a"))
        region.faults.is_down = False
        region.run(9)
        self.assertEqual(instance.applied_generations, [1])

    def test_watchers_partitioned_from_the_store(self):
        region = Region()
        store_down = virtual_store.Faults(is_down=True)
        for number in range(4):
            region.start(f"i{number}", faults=store_down)
        for instance in region.instances.values():
            if not instance.distribution.reader.is_watcher():
                instance.store.faults = region.faults
        region.apply(file_text("a"))
        region.run(20)
        self.assertEqual(set(region.generations().values()), {1})


class Partitions(unittest.TestCase):
    def start(self, region):
        for data_centre in ("dc1", "dc2"):
            for number in range(3):
                region.start(f"{data_centre}-{number}", data_centre)

    def test_isolated_data_centre_keeps_its_generation_and_catches_up(self):
        region = Region()
        self.start(region)
        region.apply(file_text("a"))
        region.run(5)
        names = sorted(region.instances)
        region.network.partition(names[:3], names[3:])
        store_down = virtual_store.Faults(is_down=True)
        for name in names[3:]:
            region.instances[name].store.faults = store_down
        region.apply(file_text("a", servers=2))
        region.run(10)
        self.assertEqual(list(region.generations().values()), [2, 2, 2, 1, 1, 1])
        region.network.heal()
        region.run(12)
        self.assertEqual(set(region.generations().values()), {2})
        for instance in region.instances.values():
            self.assertEqual(instance.applied_generations, [1, 2])

    def test_data_centre_without_store_pulls_from_another(self):
        region = Region()
        self.start(region)
        region.run(5)
        store_down = virtual_store.Faults(is_down=True)
        for name, instance in region.instances.items():
            if name.startswith("dc2"):
                instance.store.faults = store_down
        region.apply(file_text("a"))
        region.run(12)
        self.assertEqual(set(region.generations().values()), {1})

    def test_rejoining_partition_with_an_older_generation_is_ignored(self):
        region = Region()
        self.start(region)
        region.apply(file_text("a"))
        region.run(5)
        names = sorted(region.instances)
        region.network.partition(names[:3], names[3:])
        stale_reads = virtual_store.Faults(stale_revision=region.state.revision)
        for name in names[3:]:
            region.instances[name].store.faults = stale_reads
        region.apply(file_text("a", servers=2))
        region.run(5)
        for name in names[3:]:
            region.terminate(name)
            region.start(f"{name}-new", "dc2", faults=stale_reads)
        region.run(10)
        region.network.heal()
        region.run(15)
        for name in names[:3]:
            self.assertEqual(region.instances[name].applied_generations, [1, 2])
        self.assertEqual(set(region.generations().values()), {2})


class MalformedMessages(unittest.TestCase):
    """Invalid replies of a faulty or malicious peer must be rejected without ending the task."""

    def assert_rejected(self, delta):
        region = Region()
        instance = region.start("i0")
        region.apply(file_text("a"))
        region.run(3)
        malicious_peer = virtual.VirtualPeers(
            region.network, peer.Peer("malicious", 99, "dc1", "127.0.0.1:99")
        )
        malicious_peer.handle(messages.Pull, lambda sender, pull: delta)
        target = member.Member(malicious_peer.own, member.State.LIVE)
        self.assertFalse(region.runtime.call(instance.distribution.puller.pull, target))
        self.assertEqual(instance.applied_generations, [1])
        region.apply(file_text("a", servers=2))
        region.run(2)
        self.assertEqual(instance.applied_generations, [1, 2])

    def test_entries_with_a_wrong_digest(self):
        entry = storage.HeadEntry("x", 9, "00")
        self.assert_rejected(messages.Delta(9, "id", "wrong digest", (entry,), messages.pack([])))

    def test_content_that_cannot_be_decompressed(self):
        self.assert_rejected(messages.Delta(9, "id", "", (), b"\x00\x01"))

    def test_content_above_the_size_limit(self):
        self.assert_rejected(messages.Delta(9, "id", "", (), zlib.compress(bytes(50_000_000))))

    def test_file_that_does_not_match_the_head(self):
        forged = storage.TeamIntent("x", 9, storage.encode(intent.Team("x")))
        entry = storage.HeadEntry("x", 9, storage.digest(b"another"))
        head = storage.Head(9, "id", (entry,))
        self.assert_rejected(
            messages.Delta(9, "id", head.digest(), (entry,), messages.pack([forged]))
        )

    def test_file_with_a_later_format(self):
        unreadable_file = storage.TeamIntent(
            "x", 9, storage.encode(intent.Team("x")), storage.FORMAT + 1
        )
        entry = storage.HeadEntry("x", 9, unreadable_file.digest)
        local_file = storage.TeamIntent("a", 1, storage.encode(file_parser.loads(file_text("a"))))
        entries = (storage.HeadEntry("a", 1, local_file.digest), entry)
        digest = storage.Head(9, "id", entries).digest()
        self.assert_rejected(
            messages.Delta(9, "id", digest, entries, messages.pack([unreadable_file, local_file]))
        )

    def test_malformed_advertisement_is_ignored(self):
        region = Region()
        instance = region.start("i0")
        other = region.start("i1")
        region.run(3)
        for value in (b"", b"x y", b"1", "\u00b2 \u00b2".encode(), b"9" * 500):
            other.membership.values["generation"] = value
            self.assertIsNone(region.runtime.call(instance.distribution.puller.find_newer_member))
