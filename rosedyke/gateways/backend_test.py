"""Tests of the gateway against a fake server, over sockets on loopback."""

import socket
import unittest

import attrs
import eventlet

from rosedyke.configuration import intent
from rosedyke.daemon import eventlet_runtime
from rosedyke.dispatch import ports
from rosedyke.gateways import backend, settings
from rosedyke.standins import backend as fake_backend


def call(index=0, payload=b'{"run_s": 0}'):
    return ports.BackendCall("job é\n", index, "tag", payload)


class GatewayTestCase(unittest.TestCase):
    backend_settings = settings.BackendSettings()

    def setUp(self):
        self.server = fake_backend.Server()
        host, port = self.server.listen(("127.0.0.1", 0))
        self.addCleanup(self.server.stop)
        self.backend_server = intent.BackendServer("s", f"{host}:{port}", "dc1")
        self.gateway = backend.HttpBackendGateway(
            self.backend_settings, eventlet_runtime.GreenRuntime()
        )
        self.addCleanup(self.gateway.close)

    def run_task(self, *arguments, timeout_s=10):
        return self.gateway.run_task(self.backend_server, call(*arguments), timeout_s)


class Responses(GatewayTestCase):
    def test_result_is_returned_and_the_connection_reused(self):
        for index in range(5):
            self.assertEqual(self.run_task(index).result, b'{"run_s": 0}')
        self.assertEqual(self.server.counts.most_connections, 1)
        self.assertEqual(self.server.counts.probes, 0)
        self.assertEqual(self.server.counts.double_starts, 0)

    def test_error_response_is_a_failed_task(self):
        self.server.faults.fail = True
        with self.assertRaises(ports.TaskFailed):
            self.run_task()

    def test_busy_server_did_not_start_the_task(self):
        self.server.faults.busy = True
        with self.assertRaises(ports.NotStarted) as raised:
            self.run_task()
        self.assertTrue(raised.exception.is_reached)
        self.assertFalse(raised.exception.is_leaving)

    def test_leaving_server_is_reported(self):
        self.server.faults.leaving = True
        with self.assertRaises(ports.NotStarted) as raised:
            self.run_task()
        self.assertTrue(raised.exception.is_leaving)
        self.assertTrue(self.gateway.probe(self.backend_server, 5).is_leaving)

    def test_idle_connections_are_limited_to_the_share_of_the_instance(self):
        self.gateway.set_instance_count(100)  # (64 connections - 8 slots - 1) // 100 = 0
        self.run_task()
        self.assertEqual(self.gateway.idle_connections["s"], [])


class Failures(GatewayTestCase):
    def test_refused_connect_is_not_started(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            unreachable_server = attrs.evolve(self.backend_server, address=f"127.0.0.1:{port}")
            with self.assertRaises(ports.NotStarted) as raised:
                self.gateway.run_task(unreachable_server, call(), 10)
        self.assertFalse(raised.exception.is_reached)

    def test_task_that_times_out_may_have_run(self):
        self.server.faults.mute = True
        with self.assertRaises(ports.MayHaveRun) as raised:
            self.run_task(timeout_s=0.2)
        self.assertTrue(raised.exception.is_timeout)
        self.assertEqual(self.server.counts.started, 1)

    def test_task_with_a_truncated_response_may_have_run(self):
        # Guards against returning a partial result when the server fails while it responds.
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def send_partial_response():
            sock, _ = listener.accept()
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            sock.close()

        eventlet.spawn_n(send_partial_response)
        backend_server = attrs.evolve(
            self.backend_server, address="{}:{}".format(*listener.getsockname())
        )
        with self.assertRaises(ports.MayHaveRun):
            self.gateway.run_task(backend_server, call(), 10)

    def test_connection_closed_while_idle_is_not_reused(self):
        # The server restarts between two tasks, and a task sent on the old connection is lost.
        self.run_task()
        idle_connection = self.gateway.idle_connections["s"][0]
        idle_connection.sock.shutdown(socket.SHUT_RDWR)
        self.assertTrue(idle_connection.is_dropped())
        self.run_task(1)
        self.assertEqual(self.server.counts.started, 2)


class AdvancingRuntime(eventlet_runtime.GreenRuntime):
    """A runtime whose clock the test can advance."""

    offset_s = 0.0

    def now(self):
        return super().now() + self.offset_s


class DroppedConnections(GatewayTestCase):
    def test_task_is_sent_once_on_a_new_connection(self):
        # A NAT or firewall drops the state of open connections, so that data on them is lost.
        # Tasks must not be sent on connections that were idle for long.
        self.gateway.runtime = AdvancingRuntime()
        self.run_task()
        self.server.silence()
        self.assertEqual(len(self.server.silent), 1)
        self.gateway.runtime.offset_s = self.backend_settings.reuse_limit_s + 0.1
        self.assertEqual(self.run_task(1).result, b'{"run_s": 0}')
        self.assertEqual(self.server.counts.started, 2)
        self.assertEqual(self.server.counts.double_starts, 0)
        self.assertEqual(len(self.gateway.idle_connections["s"]), 1)

    def test_connections_over_the_idle_limit_are_closed(self):
        self.gateway.runtime = AdvancingRuntime()
        first_connection = self.gateway._acquire_connection(self.backend_server, 5)
        self.run_task()
        self.gateway._release_connection(self.backend_server, first_connection)
        self.assertEqual(len(self.gateway.idle_connections["s"]), 2)
        self.gateway.runtime.offset_s = self.backend_settings.reuse_limit_s + 0.1
        self.run_task(1)
        self.assertEqual(len(self.gateway.idle_connections["s"]), 1)
