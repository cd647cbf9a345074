import unittest

import attrs

from rosedyke.standins import virtual
from rosedyke.wire import codec, peer


@codec.message("virtual_test.ping")
@attrs.frozen
class Ping:
    number: int


def pair(runtime):
    network = virtual.VirtualNetwork(runtime)
    nodes = [
        virtual.VirtualPeers(network, peer.Peer(name, 1, "dc1", f"127.0.0.1:{port}"))
        for port, name in enumerate(("a", "b"))
    ]
    nodes[1].handle(Ping, lambda sender, ping: Ping(ping.number + 1))
    return network, *nodes


class Clock(unittest.TestCase):
    def test_sleepers_wake_in_order_of_time(self):
        runtime = virtual.VirtualRuntime()
        woken = []
        for delay in (3, 1, 2):
            runtime.spawn(lambda d=delay: (runtime.sleep(d), woken.append(d)))
        runtime.run(10)
        self.assertEqual(woken, [1, 2, 3])
        self.assertEqual(runtime.now(), 10)

    def test_signal_times_out_and_later_wait_is_not_ended_by_the_old_timer(self):
        runtime = virtual.VirtualRuntime()
        signal = runtime.signal()
        runtime.spawn(lambda: (runtime.sleep(1), signal.set("x")))
        self.assertTrue(runtime.call(signal.wait, 5))
        never = runtime.signal()
        started = runtime.now()
        self.assertFalse(runtime.call(never.wait, 7))
        self.assertEqual(runtime.now() - started, 7)

    def test_cancelled_task_stops_at_its_wait(self):
        runtime = virtual.VirtualRuntime()
        reached = []
        task = runtime.spawn(lambda: (runtime.sleep(5), reached.append(1)))
        runtime.run(1)
        task.cancel()
        runtime.run(10)
        self.assertEqual(reached, [])
        self.assertTrue(task.ended.is_set())


class Network(unittest.TestCase):
    def test_request_gets_its_reply(self):
        runtime = virtual.VirtualRuntime()
        _, a, b = pair(runtime)
        self.assertEqual(runtime.call(a.request, b.own, Ping(1), 1.0), Ping(2))

    def test_cut_link_times_out(self):
        runtime = virtual.VirtualRuntime()
        network, a, b = pair(runtime)
        network.partition(["a"], ["b"])
        with self.assertRaises(peer.PeerTimeout):
            runtime.call(a.request, b.own, Ping(1), 1.0)

    def test_message_to_an_earlier_incarnation_is_refused(self):
        runtime = virtual.VirtualRuntime()
        _, a, b = pair(runtime)
        old = attrs.evolve(b.own, incarnation=0)
        with self.assertRaises(peer.PeerGone):
            runtime.call(a.request, old, Ping(1), 1.0)
