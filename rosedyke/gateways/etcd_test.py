import socket
import threading
import unittest

from rosedyke.configuration import ports
from rosedyke.daemon import eventlet_runtime
from rosedyke.gateways import etcd, settings
from rosedyke.observe import metric
from rosedyke.standins import store


class WithStore(unittest.TestCase):
    """Starts a stand-in store and a client of it; timeouts are short where a test waits for one."""

    def setUp(self):
        self.server = store.Server()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = self.connect(self.server.url)

    def connect(self, *endpoints, **changes):
        own = settings.StoreSettings(endpoints, **{"backoff_base_s": 0.01, **changes})
        return etcd.EtcdStore(own, eventlet_runtime.GreenRuntime())

    def put(self, key, value, revision=0):
        return self.client.write((ports.Compare(key, revision),), (ports.Put(key, value),))


class ReadsAndWrites(WithStore):
    def test_what_was_written_is_read(self):
        self.assertTrue(self.put("/a/1", b"one"))
        reading = self.client.read(ports.Span("/a/1"), ports.Span("/none"))
        self.assertEqual(reading.entries, (ports.Entry("/a/1", b"one", 2),))
        self.assertEqual(reading.revision, 2)

    def test_condition_on_the_revision_keeps_a_late_writer_out(self):
        self.assertTrue(self.put("/a", b"one"))
        self.assertFalse(self.put("/a", b"two"))
        self.assertTrue(self.put("/a", b"three", revision=2))
        self.assertEqual(self.client.read(ports.Span("/a")).entries[0].value, b"three")

    def test_removed_key_is_gone(self):
        self.put("/a", b"one")
        self.assertTrue(self.client.write((ports.Compare("/a", 2),), (ports.Delete("/a"),)))
        self.assertEqual(self.client.read(ports.Span("/a")).entries, ())

    def test_pages_are_of_one_revision(self):
        for number in range(40):
            self.put(f"/a/{number:03}", b"%d" % number)
        self.put("/b", b"head")
        reading = self.client.read_all(ports.Span("/b"), ports.Span.prefix("/a/"))
        self.assertEqual(len(reading.entries), 41)
        self.assertEqual([e.value for e in reading.entries[:3]], [b"head", b"0", b"1"])
        self.assertEqual(reading.revision, 42)

    def test_span_since_a_revision(self):
        self.put("/a/1", b"")
        self.put("/a/2", b"")
        span = ports.Span("/a/", "/a0", since=3)
        self.assertEqual([e.key for e in self.client.read(span).entries], ["/a/2"])

    def test_value_near_a_megabyte(self):
        value = bytes(range(256)) * 3900
        self.assertTrue(self.put("/a", value))
        self.assertEqual(self.client.read(ports.Span("/a")).entries[0].value, value)

    def test_value_over_the_stores_bound_is_refused(self):
        with self.assertRaises(ports.StoreRefused):
            self.put("/a", b"x" * 1_700_000)

    def test_calls_are_counted(self):
        before = metric.counts["gateways.store_calls"]
        self.put("/a", b"")
        self.client.read(ports.Span("/a"))
        self.assertEqual(metric.counts["gateways.store_calls"] - before, 2)


class Faults(WithStore):
    def test_lost_answer_of_a_write_is_said_to_be_unknown(self):
        """The store does the write and the connection ends before the answer.

        The client must not say that nothing happened, nor send the write a second time.
        """
        self.server.set_faults(lost_answers=1)
        with self.assertRaises(ports.StoreOutcomeUnknown):
            self.put("/a", b"one")
        self.assertEqual(self.server.state.revision, 2)
        self.assertEqual(self.server.counts["/v3/kv/txn"], 1)

    def test_refused_connection_is_no_unknown_outcome(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        client = self.connect(f"http://127.0.0.1:{port}")
        with self.assertRaises(ports.StoreUnreachable):
            client.write((), (ports.Put("/a", b""),))

    def test_next_endpoint_is_used_and_the_dead_one_left_alone(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            dead = f"http://127.0.0.1:{unused.getsockname()[1]}"
        client = self.connect(dead, self.server.url, backoff_base_s=60.0, backoff_limit_s=60.0)
        self.assertTrue(client.write((), (ports.Put("/a", b"one"),)))
        self.assertEqual(client.breaker.usable(), [self.server.url])

    def test_all_endpoints_failed_fails_at_once(self):
        client = self.connect(self.server.url, backoff_base_s=60.0, backoff_limit_s=60.0)
        self.server.set_faults(is_down=True)
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.Span("/a"))
        calls = self.server.counts["/v3/kv/txn"]
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.Span("/a"))
        self.assertEqual(self.server.counts["/v3/kv/txn"], calls)

    def test_slow_store_times_out(self):
        self.server.set_faults(delay_s=0.5)
        client = self.connect(self.server.url, timeout_s=0.05)
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.Span("/a"))

    def test_unavailable_store_leaves_a_write_unknown(self):
        for status in (503, 504, 408, 499):
            self.server.set_faults(status=status)
            client = self.connect(self.server.url)
            with self.assertRaises(ports.StoreOutcomeUnknown):
                client.write((), (ports.Put("/a", b"one"),))

    def test_refusal_is_no_unknown_outcome(self):
        for status in (400, 401, 403, 429):
            self.server.set_faults(status=status)
            with self.assertRaises(ports.StoreRefused):
                self.put("/a", b"one")

    def test_silent_connections_cost_one_timeout_together(self):
        """Something between the ends forgets all open connections; new ones work.

        The first call on a forgotten connection times out.  If the client then took another
        forgotten one from its pool, each of them would cost one more timeout.
        """
        client = self.connect(self.server.url, timeout_s=1.5)
        self.server.set_faults(delay_s=0.05)
        self.assertEqual(self.read_at_once(client, 3), [0, 0, 0])
        self.server.silence()
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.Span("/a"))
        client.runtime.sleep(client.breaker.next_s())
        self.assertEqual(self.read_at_once(client, 3), [0, 0, 0])

    def read_at_once(self, client, count):
        """Return how many entries each of several reads at one time has got."""
        found = []

        def read():
            try:
                found.append(len(client.read(ports.Span("/a")).entries))
            except ports.StoreError as error:
                found.append(error)

        readers = [threading.Thread(target=read) for _ in range(count)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        return found

    def test_stale_reads_tell_their_revision(self):
        self.put("/a", b"one")
        self.put("/a", b"two", revision=2)
        self.server.set_faults(stale_revision=2)
        reading = self.client.read(ports.Span("/a"))
        self.assertEqual((reading.revision, reading.entries[0].value), (2, b"one"))


class Watches(WithStore):
    def watch(self, revision=2, **changes):
        stream = self.connect(self.server.url, **changes).watch(ports.Span("/a", "/b"), revision)
        self.addCleanup(stream.close)
        return stream

    def test_changes_come_in_order(self):
        stream = self.watch()
        self.assertEqual(next(stream), ())
        self.server.put("/a/1", b"one")
        self.server.put("/z", b"outside")
        self.server.delete("/a/1")
        seen = []
        while len(seen) < 2:  # in one message or two
            seen.extend(next(stream))
        wanted = [ports.Change("/a/1", b"one", 2), ports.Change("/a/1", None, 4)]
        self.assertEqual(seen, wanted)

    def test_changes_from_before_the_watch_are_told(self):
        self.put("/a/1", b"one")
        stream = self.watch()
        next(stream)
        self.assertEqual(next(stream), (ports.Change("/a/1", b"one", 2),))

    def test_silent_watch_ends(self):
        """The stream stands but never says anything, as when a middle box forgot it.

        The client can't tell that from quiet; it must end the stream so that a new one is made.
        """
        self.server.set_faults(is_watch_silent=True)
        stream = self.watch(watch_idle_s=1.0)
        self.server.put("/a/1", b"one")
        self.assertEqual(list(stream), [()])

    def test_cut_watch_is_an_error(self):
        stream = self.watch()
        next(stream)
        self.server.set_faults(is_down=True)
        with self.assertRaises(ports.StoreUnreachable):
            next(stream)

    def test_compacted_revision_is_told(self):
        self.put("/a/1", b"one")
        self.put("/a/2", b"two")
        self.server.compact()
        with self.assertRaises(ports.StoreCompacted):
            list(self.watch(revision=2))
