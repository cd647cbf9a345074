import json
import unittest

import eventlet
import eventlet.patcher
from eventlet.green import socket

from rosedyke.callers import application, server, settings
from rosedyke.daemon import eventlet_runtime
from rosedyke.job import answer, code, ports, status
from rosedyke.standins import callers_fake

JOB = b'{"job_id":"a","tasks":[{"name":"tag","payload":1}]}'
TEST_TIMEOUT_S = 30.0


def post(content, *headers, path="/v1/services/weighing/jobs"):
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(content)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + content


class Response:
    def __init__(self, connection):
        file = connection.makefile("rb")
        self.status = int(file.readline().split()[1])
        self.headers = {}
        while (line := file.readline().strip()) != b"":
            name, _, value = line.decode().partition(":")
            self.headers[name.lower()] = value.strip()
        self.content = file.read(int(self.headers["content-length"]))

    @property
    def document(self):
        return json.loads(self.content)


class ServerTestCase(unittest.TestCase):
    limits = settings.CallersSettings()

    def setUp(self):
        self.manager = callers_fake.FakeManager()
        self.readiness_check = callers_fake.FakeReadinessCheck()
        self.slo_recorder = callers_fake.FakeSloRecorder()
        self.application = application.Application(
            self.limits,
            eventlet_runtime.GreenRuntime(),
            self.manager,
            self.readiness_check,
            self.slo_recorder,
        )
        self.server = server.Server("127.0.0.1:0", self.application, self.limits)
        self.server.start()
        self.addCleanup(self.server.stop, TEST_TIMEOUT_S)
        # A test that hangs fails with this timeout.
        timeout = eventlet.Timeout(TEST_TIMEOUT_S)
        self.addCleanup(timeout.cancel)

    def connect(self):
        connection = socket.create_connection((self.server.host, self.server.port))
        self.addCleanup(connection.close)
        return connection

    def send_request(self, data):
        connection = self.connect()
        connection.sendall(data)
        return Response(connection)

    def assert_refused(self, response, reason, ran):
        self.assertEqual(response.headers["content-type"], "application/problem+json")
        document = response.document
        self.assertEqual(document["code"], reason.value)
        self.assertEqual(document["outcome"], "failed")
        self.assertEqual(document["ran"], ran)
        self.assertEqual(document["status"], response.status)
        self.assertNotIn("results", document)

    def assert_serves(self):
        response = self.send_request(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertEqual(response.status, 200)


class Requests(ServerTestCase):
    def test_complete_answer(self):
        response = self.send_request(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertEqual(response.status, 200)
        self.assertEqual(response.document, {"job_id": "a", "outcome": "complete", "results": [1]})
        self.assertEqual(len(self.slo_recorder.records), 1)

    def test_several_requests_on_one_connection(self):
        connection = self.connect()
        for number in range(3):
            connection.sendall(post(JOB.replace(b'"a"', b'"j%d"' % number), "Rosedyke-Attempt: 1"))
            self.assertEqual(Response(connection).document["job_id"], f"j{number}")

    def test_answer_of_another_job_is_not_sent(self):
        self.manager.answers["a"] = answer.Answer("b", code.Code.COMPLETE, answer.Ran.YES, (b"7",))
        with self.assertLogs("rosedyke", "CRITICAL"):
            response = self.send_request(post(JOB))
        self.assert_refused(response, code.Code.INTERNAL, "unknown")
        self.assertNotIn(b"7", response.content)

    def test_failed_answer_has_no_results(self):
        self.manager.answers["a"] = answer.Answer(
            "a", code.Code.OVERLOADED, answer.Ran.NO, retry_after_s=0.25
        )
        response = self.send_request(post(JOB, "Rosedyke-Attempt: 1"))
        self.assert_refused(response, code.Code.OVERLOADED, "no")
        self.assertEqual(response.headers["retry-after"], "1")
        self.assertEqual(response.document["retry_after_s"], 0.25)

    def test_job_is_passed_to_the_manager_when_not_ready(self):
        """A load balancer sends a job to an instance that is shutting down.

        Only the manager can close the attempt at the job's registrars, so that "not run" also
        holds for a delayed copy of the request.
        """
        self.readiness_check.closed = ports.Refusal(code.Code.DRAINING, "shutting down", 1.0)
        self.assertEqual(self.send_request(post(JOB, "Rosedyke-Attempt: 1")).status, 200)
        self.assertEqual(len(self.manager.submitted), 1)

    def test_find_and_cancel(self):
        self.manager.answers["a"] = answer.Answer("a", code.Code.CANCELLED, answer.Ran.NO)
        response = self.send_request(b"GET /v1/jobs/a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused(response, code.Code.CANCELLED, "no")
        response = self.send_request(b"DELETE /v1/jobs/a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused(response, code.Code.CANCELLED, "no")
        self.assertEqual(self.manager.cancelled, ["a"])
        self.manager.states["r"] = status.State.RUNNING
        response = self.send_request(b"GET /v1/jobs/r HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(response.status, 202)
        self.assertEqual(response.document["outcome"], "running")
        self.manager.states["u"] = status.State.UNREACHABLE
        response = self.send_request(b"GET /v1/jobs/u HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused(response, code.Code.DATA_CENTRE_UNREACHABLE, "unknown")
        response = self.send_request(b"GET /v1/jobs/b HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused(response, code.Code.UNKNOWN_JOB, "unknown")

    def test_health_and_readiness(self):
        ready = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual(self.send_request(ready).status, 200)
        self.readiness_check.closed = ports.Refusal(code.Code.DRAINING, "shutting down")
        self.assertEqual(self.send_request(ready).status, 503)
        self.assertEqual(self.send_request(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").status, 200)

    def test_unexpected_error_returns_a_problem_document(self):
        self.manager.submit = lambda request: 1 / 0
        with self.assertLogs("rosedyke", "ERROR"):
            response = self.send_request(post(JOB, "Rosedyke-Attempt: 1"))
        self.assert_refused(response, code.Code.INTERNAL, "unknown")
        del self.manager.submit
        self.assert_serves()


class BadRequests(ServerTestCase):
    limits = settings.CallersSettings(
        max_body_bytes=10_000,
        max_bodies_bytes=15_000,
        max_header_bytes=2_000,
        header_timeout_s=0.2,
        body_timeout_s=0.2,
        write_timeout_s=0.2,
    )

    def assert_refused_and_serving(self, response, reason, ran="unknown"):
        self.assert_refused(response, reason, ran)
        self.assertEqual(self.manager.submitted, [])
        self.assert_serves()

    def test_malformed_body(self):
        response = self.send_request(post(b"{", "Rosedyke-Attempt: 1"))
        self.assert_refused_and_serving(response, code.Code.MALFORMED, "no")

    def test_malformed_later_attempt_has_unknown_outcome(self):
        response = self.send_request(post(b"{", "Rosedyke-Attempt: 2", "Rosedyke-Age-Ms: 1"))
        self.assert_refused_and_serving(response, code.Code.MALFORMED, "unknown")

    def test_oversized_body(self):
        response = self.send_request(post(b" " * 10_001, "Rosedyke-Attempt: 1"))
        self.assert_refused_and_serving(response, code.Code.TOO_LARGE, "no")

    def test_caller_that_sends_all_of_an_oversized_body_can_read_the_refusal(self):
        """A caller sends a body far beyond the limit before it reads the response.

        Closing the connection at once would reset it because of the unread input, and the caller
        would not see the refusal.
        """
        connection = self.connect()
        for _ in range(8):
            connection.sendall(post(b" " * 100_000)[:100_000])
            eventlet.sleep(0.005)
        self.assert_refused_and_serving(Response(connection), code.Code.TOO_LARGE)

    def test_content_length_over_the_limit_is_refused_at_once(self):
        head = b"POST /v1/services/weighing/jobs HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"
        self.assert_refused_and_serving(self.send_request(head), code.Code.TOO_LARGE)

    def test_oversized_chunked_body(self):
        head = b"POST /v1/services/weighing/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"1000\r\n" + b" " * 0x1000 + b"\r\n"
        self.assert_refused_and_serving(self.send_request(head + chunk * 20), code.Code.TOO_LARGE)

    def test_chunked_body_within_the_limit(self):
        head = b"POST /v1/services/weighing/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        response = self.send_request(head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(JOB), JOB))
        self.assertEqual(response.status, 200)

    def test_total_size_of_bodies_is_limited(self):
        """Two callers send 9 kB each slowly, with a total limit of 15 kB.

        The second is refused while the first is sending, and the memory is released once the first
        times out.
        """
        head = b"POST /v1/services/weighing/jobs HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"
        first = self.connect()
        first.sendall(head)
        while not self.application.reader.reserved_bytes:
            eventlet.sleep(0)
        with self.assertLogs("rosedyke", "WARNING"):
            response = self.send_request(head)
        self.assert_refused(response, code.Code.OVERLOADED, "unknown")
        self.assert_refused(Response(first), code.Code.CALLER_TOO_SLOW, "unknown")
        self.assertEqual(self.application.reader.reserved_bytes, 0)

    def test_truncated_body(self):
        connection = self.connect()
        connection.sendall(
            b"POST /v1/services/weighing/jobs HTTP/1.1\r\nContent-Length: 90\r\n\r\n{"
        )
        connection.shutdown(socket.SHUT_WR)
        self.assert_refused_and_serving(Response(connection), code.Code.CALLER_TOO_SLOW)

    def test_slow_body_times_out_while_bytes_arrive(self):
        connection = self.connect()
        connection.sendall(
            b"POST /v1/services/weighing/jobs HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"
        )
        response_thread = eventlet.spawn(Response, connection)
        while not response_thread.dead:
            try:
                connection.sendall(b" ")
            except OSError:
                break
            eventlet.sleep(0.02)
        self.assert_refused_and_serving(response_thread.wait(), code.Code.CALLER_TOO_SLOW)

    def test_slow_headers_time_out_while_bytes_arrive(self):
        connection = self.connect()
        connection.sendall(b"GET /healthz HTTP/1.1\r\nX-Slow: ")
        response_thread = eventlet.spawn(Response, connection)
        while not response_thread.dead:
            try:
                connection.sendall(b"a")
            except OSError:
                break
            eventlet.sleep(0.02)
        self.assert_refused_and_serving(response_thread.wait(), code.Code.CALLER_TOO_SLOW)

    def test_connection_without_a_request_is_closed(self):
        connection = self.connect()
        self.assertEqual(connection.recv(1), b"")
        self.assert_serves()

    def test_caller_that_does_not_read_is_disconnected(self):
        """A caller requests a large response and never reads it.

        The write times out, and the memory is released.
        """
        payload = b'"' + b"x" * 9_000 + b'"'
        self.manager.answers["a"] = answer.Answer(
            "a", code.Code.COMPLETE, answer.Ran.YES, (payload,) * 3000
        )
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect((self.server.host, self.server.port))
        self.addCleanup(connection.close)
        connection.sendall(post(JOB))
        while not self.manager.submitted:
            eventlet.sleep(0.001)
        while self.server.connections:
            eventlet.sleep(0.001)
        self.assertEqual(self.application.reader.reserved_bytes, 0)

    def test_caller_that_reads_slowly_is_disconnected(self):
        """A caller reads a large response slowly.

        No single send blocks for long, so only the timeout on the whole write ends it.
        """
        payload = b'"' + b"x" * 9_000 + b'"'
        self.manager.answers["a"] = answer.Answer(
            "a", code.Code.COMPLETE, answer.Ran.YES, (payload,) * 3000
        )
        connection = self.connect()
        connection.sendall(post(JOB))
        while not self.manager.submitted:
            eventlet.sleep(0.001)
        while self.server.connections:
            connection.recv(50_000)
            eventlet.sleep(0.01)
        self.assertEqual(self.application.reader.reserved_bytes, 0)

    def test_header_flood(self):
        flood = b"".join(b"X-%d: %s\r\n" % (number, b"y" * 90) for number in range(60))
        self.assert_refused_and_serving(
            self.send_request(b"GET /healthz HTTP/1.1\r\n" + flood), code.Code.TOO_LARGE
        )

    def test_many_short_headers(self):
        flood = b"".join(b"X%d:\r\n" % number for number in range(120))
        self.assert_refused_and_serving(
            self.send_request(b"GET /healthz HTTP/1.1\r\n" + flood + b"\r\n"), code.Code.MALFORMED
        )

    def test_endless_request_line(self):
        self.assert_refused_and_serving(
            self.send_request(b"GET /" + b"a" * 20_000), code.Code.TOO_LARGE
        )

    def test_input_that_is_not_http(self):
        self.assert_refused_and_serving(
            self.send_request(b"\x16\x03\x01 hello there all\r\n\r\n"), code.Code.MALFORMED
        )

    def test_ambiguous_body_length(self):
        for lines in [
            b"Content-Length: 5\r\nContent-Length: 6",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Content-Length: -1",
            b"Content-Length: 1_0",
            b"Content-Length: +5",
            b"Content-Length: " + b"9" * 1000,
        ]:
            with self.subTest(lines[:40]):
                head = b"POST /v1/services/weighing/jobs HTTP/1.1\r\n" + lines + b"\r\n\r\n"
                self.manager.submitted.clear()
                self.assert_refused_and_serving(
                    self.send_request(head + b"hello"), code.Code.MALFORMED
                )

    def test_malformed_chunk(self):
        head = b"POST /v1/services/weighing/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_refused_and_serving(
            self.send_request(head + b"zz\r\nhello"), code.Code.MALFORMED
        )

    def test_unknown_path_and_method(self):
        response = self.send_request(b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused_and_serving(response, code.Code.NOT_FOUND)
        self.manager.submitted.clear()
        response = self.send_request(b"PUT /v1/jobs/a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused_and_serving(response, code.Code.METHOD_NOT_ALLOWED)

    def test_invalid_job_id_in_the_path(self):
        response = self.send_request(b"GET /v1/jobs/%20%0a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assert_refused_and_serving(response, code.Code.INVALID_FIELD)


class ConnectionLimit(ServerTestCase):
    limits = settings.CallersSettings(max_connections=2)

    def block_jobs(self):
        """Block each job until the returned signal is set."""
        runtime = eventlet_runtime.GreenRuntime()
        resume = runtime.signal()
        original_submit = self.manager.submit

        def submit(request):
            resume.wait()
            return original_submit(request)

        self.manager.submit = submit
        return resume

    def test_connection_over_the_limit_is_refused(self):
        resume = self.block_jobs()
        busy_connections = [self.connect(), self.connect()]
        for connection in busy_connections:
            connection.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        while self.application.in_progress < 2:
            eventlet.sleep(0)
        with self.assertLogs("rosedyke", "WARNING"):
            response = Response(self.connect())
        self.assert_refused(response, code.Code.OVERLOADED, "unknown")
        resume.set()
        for connection in busy_connections:
            self.assertEqual(Response(connection).status, 200)
            connection.close()
        while self.server.connections:
            eventlet.sleep(0)
        self.assert_serves()

    def test_longest_idle_connection_is_closed_at_the_limit(self):
        """All connections are idle after a request each.

        A new connection is served, and the one that has been idle longest is closed for it.
        """
        first, second = self.connect(), self.connect()
        for connection in (first, second):
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual(Response(connection).status, 200)
        self.assert_serves()
        self.assertEqual(first.recv(1), b"")
        second.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertEqual(Response(second).status, 200)


class Stop(ServerTestCase):
    def test_request_in_progress_is_answered(self):
        """A job is running when the server stops.

        The server sends the complete answer with ``Connection: close`` before it stops.
        """
        runtime = eventlet_runtime.GreenRuntime()
        started, resume = runtime.signal(), runtime.signal()
        original_submit = self.manager.submit

        def submit(request):
            started.set()
            resume.wait()
            return original_submit(request)

        self.manager.submit = submit
        connection = self.connect()
        connection.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        started.wait()
        stopping = eventlet.spawn(self.server.stop, TEST_TIMEOUT_S)
        eventlet.sleep(0)
        self.assertFalse(stopping.dead)
        resume.set()
        response = Response(connection)
        self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
        self.assertTrue(stopping.wait())
        with self.assertRaises(OSError):
            self.connect()

    def test_request_on_a_new_connection_is_answered(self):
        """A caller connects before the server stops, and its request arrives afterwards.

        Without an answer the caller would have to assume that its first attempt may have run.
        """
        connection = self.connect()
        while not self.server.connections:
            eventlet.sleep(0)
        stopping = eventlet.spawn(self.server.stop, TEST_TIMEOUT_S)
        eventlet.sleep(0)
        connection.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertEqual(Response(connection).status, 200)
        self.assertTrue(stopping.wait())

    def test_request_on_a_connection_in_the_backlog_is_answered(self):
        connection = self.connect()
        self.assertEqual(len(self.server.connections), 0)
        connection.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertTrue(self.server.stop(TEST_TIMEOUT_S))
        self.assertEqual(Response(connection).status, 200)

    def test_requests_on_several_connections_in_the_backlog_are_answered(self):
        # Guards against connections that are accepted at the stop and closed without an answer, as
        # after a pause of the process.
        connections = []
        for _ in range(3):
            # Not a green socket, so that the server does not run meanwhile.
            connection = eventlet.patcher.original("socket").create_connection(
                (self.server.host, self.server.port)
            )
            self.addCleanup(connection.close)
            connection.sendall(post(JOB))
            connections.append(connection)
        self.assertTrue(self.server.stop(TEST_TIMEOUT_S))
        for connection in connections:
            self.assertEqual(Response(connection).status, 200)

    def test_connection_without_a_request_does_not_delay_the_stop(self):
        self.connect()
        self.assertTrue(self.server.stop(TEST_TIMEOUT_S))

    def test_pending_request_on_an_idle_connection_is_answered(self):
        connection = self.connect()
        connection.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertEqual(Response(connection).status, 200)
        connection.sendall(post(JOB, "Rosedyke-Attempt: 1"))
        self.assertTrue(self.server.stop(TEST_TIMEOUT_S))
        response = Response(connection)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["connection"], "close")

    def test_requests_that_were_sent_ahead_are_answered(self):
        # Guards against a cut request behind the one after whose answer the connection is closed.
        for sends_body_in_chunks in (False, True):
            connection = self.connect()
            requests = [post(JOB.replace(b'"a"', b'"j%d"' % number)) for number in range(3)]
            if sends_body_in_chunks:
                head, _, body = requests[0].partition(b"\r\n\r\n")
                lines = [line for line in head.split(b"\r\n") if b"Length" not in line]
                head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"])
                chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
                requests[0] = head + b"\r\n\r\n" + chunk
            self.server.drain()
            connection.sendall(b"".join(requests))
            received = b"".join(iter(lambda read=connection.recv: read(65536), b""))
            self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 3, received)
            self.assertEqual(received.lower().count(b"connection: close"), 1)
            self.server.is_draining = False

    def test_idle_connections_are_closed_and_others_are_served(self):
        # Guards against callers that send on old connections although the balancer knows better.
        idle, later = self.connect(), self.connect()
        for connection in (idle, later):
            connection.sendall(post(JOB))
            self.assertEqual(Response(connection).status, 200)
        self.server.drain()
        later.sendall(post(JOB))
        self.server.close_idle_connections()
        self.assertEqual(idle.recv(1), b"")
        self.assertEqual(Response(later).status, 200)
        self.assertEqual(later.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
