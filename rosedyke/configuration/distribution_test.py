import unittest

import attrs

from rosedyke.configuration import change, distribution, file, ports, settings, stored
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
        proposal = change.Proposal(files, removals, "ana", "2026-01-01T00:00:00Z")
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
