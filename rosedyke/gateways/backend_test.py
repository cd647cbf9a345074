"""The gateway against the stand-in server, over real sockets on loopback."""

import socket
import unittest

import attrs
import eventlet

from rosedyke.configuration import intent
from rosedyke.daemon import eventlet_runtime
from rosedyke.dispatch import ports
from rosedyke.gateways import backend, settings
from rosedyke.standins import backend as standin


def call(index=0, payload=b'{"run_s": 0}'):
    return ports.BackendCall("job é\n", index, "tag", payload)


class GatewayCase(unittest.TestCase):
    options = settings.BackendSettings()

    def setUp(self):
        self.server = standin.Server()
        host, port = self.server.listen(("127.0.0.1", 0))
        self.addCleanup(self.server.stop)
        self.declared = intent.BackendServer("s", f"{host}:{port}", "dc1")
        self.gateway = backend.HttpBackendGateway(self.options, eventlet_runtime.GreenRuntime())
        self.addCleanup(self.gateway.close)

    def run_task(self, *arguments, timeout_s=10):
        return self.gateway.run_task(self.declared, call(*arguments), timeout_s)


class Answers(GatewayCase):
    def test_result_comes_back_and_the_connection_is_kept(self):
        for index in range(5):
            self.assertEqual(self.run_task(index).result, b'{"run_s": 0}')
        self.assertEqual(self.server.counts.most_connections, 1)
        self.assertEqual(self.server.counts.probes, 0)
        self.assertEqual(self.server.counts.double_starts, 0)

    def test_error_after_running_is_a_failed_task(self):
        self.server.faults.fail = True
        with self.assertRaises(ports.TaskFailed):
            self.run_task()

    def test_busy_server_did_not_start_the_task(self):
        self.server.faults.busy = True
        with self.assertRaises(ports.NotStarted) as raised:
            self.run_task()
        self.assertTrue(raised.exception.is_reached)
        self.assertFalse(raised.exception.is_leaving)

    def test_leaving_server_says_so(self):
        self.server.faults.leaving = True
        with self.assertRaises(ports.NotStarted) as raised:
            self.run_task()
        self.assertTrue(raised.exception.is_leaving)
        self.assertTrue(self.gateway.probe(self.declared, 5).is_leaving)

    def test_idle_connections_stay_within_the_share_of_this_instance(self):
        self.gateway.set_instance_count(100)  # 64 connections less 8 slots less 1: none to keep
        self.run_task()
        self.assertEqual(self.gateway.idle["s"], [])


class Failures(GatewayCase):
    def test_refused_connect_is_not_started(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            nowhere = attrs.evolve(self.declared, address=f"127.0.0.1:{port}")
            with self.assertRaises(ports.NotStarted) as raised:
                self.gateway.run_task(nowhere, call(), 10)
        self.assertFalse(raised.exception.is_reached)

    def test_no_answer_in_time_may_have_run(self):
        self.server.faults.mute = True
        with self.assertRaises(ports.MayHaveRun) as raised:
            self.run_task(timeout_s=0.2)
        self.assertTrue(raised.exception.is_timeout)
        self.assertEqual(self.server.counts.started, 1)

    def test_answer_cut_off_may_have_run(self):
        # The server dies in the middle of its answer; the half result must not pass for whole.
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer_half():
            sock, _ = listener.accept()
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            sock.close()

        eventlet.spawn_n(answer_half)
        declared = attrs.evolve(self.declared, address="{}:{}".format(*listener.getsockname()))
        with self.assertRaises(ports.MayHaveRun):
            self.gateway.run_task(declared, call(), 10)

    def test_connection_closed_while_idle_is_not_used(self):
        # The server restarts between two tasks: the old connection would lose the next task.
        self.run_task()
        idle = self.gateway.idle["s"][0]
        idle.sock.shutdown(socket.SHUT_RDWR)
        self.assertTrue(idle.is_dropped())
        self.run_task(1)
        self.assertEqual(self.server.counts.started, 2)


class ShiftedRuntime(eventlet_runtime.GreenRuntime):
    """A clock that the test moves forward."""

    shift_s = 0.0

    def now(self):
        return super().now() + self.shift_s


class SilentConnections(GatewayCase):
    def test_task_goes_on_a_new_connection_and_starts_once(self):
        # A middle box forgets the open connections: bytes on them vanish, new ones work.  The
        # caller must see nothing of it: no task is put on a connection that was long idle.
        self.gateway.runtime = ShiftedRuntime()
        self.run_task()
        self.server.silence()
        self.assertEqual(len(self.server.silent), 1)
        self.gateway.runtime.shift_s = self.options.reuse_limit_s + 0.1
        self.assertEqual(self.run_task(1).result, b'{"run_s": 0}')
        self.assertEqual(self.server.counts.started, 2)
        self.assertEqual(self.server.counts.double_starts, 0)
        self.assertEqual(len(self.gateway.idle["s"]), 1)

    def test_connections_that_nobody_uses_are_closed(self):
        self.gateway.runtime = ShiftedRuntime()
        first = self.gateway._connected(self.declared, 5)
        self.run_task()
        self.gateway._keep(self.declared, first)
        self.assertEqual(len(self.gateway.idle["s"]), 2)
        self.gateway.runtime.shift_s = self.options.reuse_limit_s + 0.1
        self.run_task(1)
        self.assertEqual(len(self.gateway.idle["s"]), 1)
