import unittest

import attrs

from rosedyke.standins import virtual
from rosedyke.wire import codec, peer


@codec.message("virtual_test.ping")
@attrs.frozen
class Ping:
    number: int


def make_peers(runtime):
    network = virtual.VirtualNetwork(runtime)
    nodes = [
        virtual.VirtualPeers(network, peer.Peer(name, 1, "dc1", f"127.0.0.1:{port}"))
        for port, name in enumerate(("a", "b"))
    ]
    nodes[1].handle(Ping, lambda sender, ping: Ping(ping.number + 1))
    return network, *nodes


class Clock(unittest.TestCase):
    def test_sleeping_tasks_wake_in_order_of_time(self):
        runtime = virtual.VirtualRuntime()
        woken = []
        for delay in (3, 1, 2):
            runtime.spawn(lambda d=delay: (runtime.sleep(d), woken.append(d)))
        runtime.run(10)
        self.assertEqual(woken, [1, 2, 3])
        self.assertEqual(runtime.now(), 10)

    def test_stale_timer_does_not_end_a_later_wait(self):
        runtime = virtual.VirtualRuntime()
        signal = runtime.signal()
        runtime.spawn(lambda: (runtime.sleep(1), signal.set("x")))
        self.assertTrue(runtime.call(signal.wait, 5))
        unset = runtime.signal()
        started = runtime.now()
        self.assertFalse(runtime.call(unset.wait, 7))
        self.assertEqual(runtime.now() - started, 7)

    def test_cancelled_task_ends_at_its_blocking_call(self):
        runtime = virtual.VirtualRuntime()
        completed = []
        task = runtime.spawn(lambda: (runtime.sleep(5), completed.append(1)))
        runtime.run(1)
        task.cancel()
        runtime.run(10)
        self.assertEqual(completed, [])
        self.assertTrue(task.ended.is_set())


class Network(unittest.TestCase):
    def test_request_returns_the_reply(self):
        runtime = virtual.VirtualRuntime()
        _, a, b = make_peers(runtime)
        self.assertEqual(runtime.call(a.request, b.own, Ping(1), 1.0), Ping(2))

    def test_request_across_a_partition_times_out(self):
        runtime = virtual.VirtualRuntime()
        network, a, b = make_peers(runtime)
        network.partition(["a"], ["b"])
        with self.assertRaises(peer.PeerTimeout):
            runtime.call(a.request, b.own, Ping(1), 1.0)

    def test_request_to_an_earlier_incarnation_raises_peer_gone(self):
        runtime = virtual.VirtualRuntime()
        _, a, b = make_peers(runtime)
        earlier = attrs.evolve(b.own, incarnation=0)
        with self.assertRaises(peer.PeerGone):
            runtime.call(a.request, earlier, Ping(1), 1.0)
