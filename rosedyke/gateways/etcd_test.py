import socket
import threading
import unittest

from rosedyke.configuration import ports
from rosedyke.daemon import eventlet_runtime
from rosedyke.gateways import etcd, settings
from rosedyke.observe import metric
from rosedyke.standins import store as fake_store


class EtcdTestCase(unittest.TestCase):
    """Starts a fake store and a client of it."""

    def setUp(self):
        self.server = fake_store.Server()
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = self.connect(self.server.url)

    def connect(self, *endpoints, **overrides):
        store_settings = settings.StoreSettings(endpoints, **{"backoff_base_s": 0.01, **overrides})
        return etcd.EtcdStore(store_settings, eventlet_runtime.GreenRuntime())

    def put(self, key, value, revision=0):
        return self.client.write((ports.Compare(key, revision),), (ports.Put(key, value),))


class ReadsAndWrites(EtcdTestCase):
    def test_written_entry_is_read(self):
        self.assertTrue(self.put("/a/1", b"one"))
        read_result = self.client.read(ports.KeyRange("/a/1"), ports.KeyRange("/none"))
        self.assertEqual(read_result.entries, (ports.Entry("/a/1", b"one", 2),))
        self.assertEqual(read_result.revision, 2)

    def test_write_with_an_outdated_revision_is_rejected(self):
        self.assertTrue(self.put("/a", b"one"))
        self.assertFalse(self.put("/a", b"two"))
        self.assertTrue(self.put("/a", b"three", revision=2))
        self.assertEqual(self.client.read(ports.KeyRange("/a")).entries[0].value, b"three")

    def test_deleted_key_has_no_entry(self):
        self.put("/a", b"one")
        self.assertTrue(self.client.write((ports.Compare("/a", 2),), (ports.Delete("/a"),)))
        self.assertEqual(self.client.read(ports.KeyRange("/a")).entries, ())

    def test_pages_have_the_same_revision(self):
        for number in range(40):
            self.put(f"/a/{number:03}", b"%d" % number)
        self.put("/b", b"head")
        read_result = self.client.read_all(ports.KeyRange("/b"), ports.KeyRange.prefix("/a/"))
        self.assertEqual(len(read_result.entries), 41)
        self.assertEqual([entry.value for entry in read_result.entries[:3]], [b"head", b"0", b"1"])
        self.assertEqual(read_result.revision, 42)

    def test_key_range_with_a_minimum_revision(self):
        self.put("/a/1", b"")
        self.put("/a/2", b"")
        key_range = ports.KeyRange("/a/", "/a0", min_revision=3)
        self.assertEqual([entry.key for entry in self.client.read(key_range).entries], ["/a/2"])

    def test_value_of_a_megabyte(self):
        value = bytes(range(256)) * 3900
        self.assertTrue(self.put("/a", value))
        self.assertEqual(self.client.read(ports.KeyRange("/a")).entries[0].value, value)

    def test_value_over_the_size_limit_is_refused(self):
        with self.assertRaises(ports.StoreRefused):
            self.put("/a", b"x" * 1_700_000)

    def test_calls_are_counted(self):
        before = metric.counts["gateways.store_calls"]
        self.put("/a", b"")
        self.client.read(ports.KeyRange("/a"))
        self.assertEqual(metric.counts["gateways.store_calls"] - before, 2)


class Faults(EtcdTestCase):
    def test_write_with_a_lost_response_has_an_unknown_outcome(self):
        """The store applies a write, and the connection closes before the response.

        The client must neither report that the write failed nor send it again.
        """
        self.server.set_faults(lost_answers=1)
        with self.assertRaises(ports.StoreOutcomeUnknown):
            self.put("/a", b"one")
        self.assertEqual(self.server.state.revision, 2)
        self.assertEqual(self.server.counts["/v3/kv/txn"], 1)

    def test_write_with_a_refused_connection_did_not_happen(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        client = self.connect(f"http://127.0.0.1:{port}")
        with self.assertRaises(ports.StoreUnreachable):
            client.write((), (ports.Put("/a", b""),))

    def test_failed_endpoint_is_suspended_and_the_next_one_used(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            unreachable_url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        client = self.connect(
            unreachable_url, self.server.url, backoff_base_s=60.0, backoff_limit_s=60.0
        )
        self.assertTrue(client.write((), (ports.Put("/a", b"one"),)))
        self.assertEqual(client.circuit_breaker.available_endpoints(), [self.server.url])

    def test_call_fails_at_once_while_all_endpoints_are_suspended(self):
        client = self.connect(self.server.url, backoff_base_s=60.0, backoff_limit_s=60.0)
        self.server.set_faults(is_down=True)
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.KeyRange("/a"))
        calls = self.server.counts["/v3/kv/txn"]
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.KeyRange("/a"))
        self.assertEqual(self.server.counts["/v3/kv/txn"], calls)

    def test_slow_store_times_out(self):
        self.server.set_faults(delay_s=0.5)
        client = self.connect(self.server.url, timeout_s=0.05)
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.KeyRange("/a"))

    def test_write_to_an_unavailable_store_has_an_unknown_outcome(self):
        for status in (503, 504, 408, 499):
            self.server.set_faults(status=status)
            client = self.connect(self.server.url)
            with self.assertRaises(ports.StoreOutcomeUnknown):
                client.write((), (ports.Put("/a", b"one"),))

    def test_refused_write_did_not_happen(self):
        for status in (400, 401, 403, 429):
            self.server.set_faults(status=status)
            with self.assertRaises(ports.StoreRefused):
                self.put("/a", b"one")

    def test_dead_pooled_connections_cost_a_single_timeout(self):
        """A NAT or firewall drops the state of all open connections; new ones work.

        After the first call times out, the client must not reuse the other dead connections.
        """
        client = self.connect(self.server.url, timeout_s=1.5)
        self.server.set_faults(delay_s=0.05)
        self.assertEqual(self.read_concurrently(client, 3), [0, 0, 0])
        self.server.silence()
        with self.assertRaises(ports.StoreUnreachable):
            client.read(ports.KeyRange("/a"))
        client.runtime.sleep(client.circuit_breaker.retry_delay_s())
        self.assertEqual(self.read_concurrently(client, 3), [0, 0, 0])

    def read_concurrently(self, client, count):
        """Return the number of entries, or the error, of each of several concurrent reads."""
        results = []

        def read():
            try:
                results.append(len(client.read(ports.KeyRange("/a")).entries))
            except ports.StoreError as error:
                results.append(error)

        readers = [threading.Thread(target=read) for _ in range(count)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        return results

    def test_stale_read_returns_its_revision(self):
        self.put("/a", b"one")
        self.put("/a", b"two", revision=2)
        self.server.set_faults(stale_revision=2)
        read_result = self.client.read(ports.KeyRange("/a"))
        self.assertEqual((read_result.revision, read_result.entries[0].value), (2, b"one"))


class Watches(EtcdTestCase):
    def watch(self, revision=2, **overrides):
        stream = self.connect(self.server.url, **overrides).watch(
            ports.KeyRange("/a", "/b"), revision
        )
        self.addCleanup(stream.close)
        return stream

    def test_changes_are_returned_in_order(self):
        stream = self.watch()
        self.assertEqual(next(stream), ())
        self.server.put("/a/1", b"one")
        self.server.put("/z", b"outside")
        self.server.delete("/a/1")
        received = []
        while len(received) < 2:  # one or two messages
            received.extend(next(stream))
        expected = [ports.Change("/a/1", b"one", 2), ports.Change("/a/1", None, 4)]
        self.assertEqual(received, expected)

    def test_changes_before_the_watch_are_returned(self):
        self.put("/a/1", b"one")
        stream = self.watch()
        next(stream)
        self.assertEqual(next(stream), (ports.Change("/a/1", b"one", 2),))

    def test_idle_watch_ends(self):
        """The connection of a watch is dead, which looks like a lack of changes.

        The watch must end, so that the caller opens a new one.
        """
        self.server.set_faults(is_watch_silent=True)
        stream = self.watch(watch_idle_s=1.0)
        self.server.put("/a/1", b"one")
        self.assertEqual(list(stream), [()])

    def test_interrupted_watch_is_an_error(self):
        stream = self.watch()
        next(stream)
        self.server.set_faults(is_down=True)
        with self.assertRaises(ports.StoreUnreachable):
            next(stream)

    def test_watch_from_a_compacted_revision_is_an_error(self):
        self.put("/a/1", b"one")
        self.put("/a/2", b"two")
        self.server.compact()
        with self.assertRaises(ports.StoreCompacted):
            list(self.watch(revision=2))
