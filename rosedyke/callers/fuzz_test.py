import json
import unittest

import eventlet
import hypothesis
from eventlet.green import socket
from hypothesis import strategies

from rosedyke.callers import application, bad_request, body, server, settings
from rosedyke.daemon import eventlet_runtime
from rosedyke.job import submission
from rosedyke.standins import callers_fake

LIMITS = settings.CallersSettings(
    header_timeout_s=0.1, body_timeout_s=0.1, max_header_bytes=2_000, max_body_bytes=2_000
)
# Examples depend on the names and text of the tests below, decorators included.
SAME_ON_EVERY_RUN = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=300
)
FEW = hypothesis.settings(SAME_ON_EVERY_RUN, max_examples=100)

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda children: strategies.lists(children, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), children, max_size=4),
    max_leaves=8,
)
# Similar to valid jobs, so that all checks are reached.
TASK = strategies.fixed_dictionaries(
    {},
    optional={"name": strategies.text(max_size=4) | JSON, "payload": JSON, "size": JSON, "x": JSON},
)
JOB = strategies.fixed_dictionaries(
    {},
    optional={
        "job_id": strategies.text(max_size=4) | JSON,
        "tasks": strategies.lists(TASK, max_size=4) | JSON,
        "timeout_s": JSON,
        "idempotent": JSON,
    },
)


def parse(data):
    """Return the submission, or None for BadRequest; other errors fail the test."""
    try:
        return body.parse("weighing", body.Headers(1, 0.0), data, LIMITS)
    except bad_request.BadRequest:
        return None


class Body(unittest.TestCase):
    @SAME_ON_EVERY_RUN
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes(self, data):
        self.assertIsInstance(parse(data), submission.Submission | None)

    @SAME_ON_EVERY_RUN
    @hypothesis.given(JOB)
    def test_anything_near_a_job(self, value):
        request = parse(json.dumps(value).encode())
        if request is not None:
            sent = [task.get("payload") for task in value["tasks"]]
            kept = [json.loads(task.payload) for task in request.tasks]
            self.assertEqual(kept, json.loads(json.dumps(sent)))

    def test_deeply_nested_payloads(self):
        for depth in (10, 100, 300, 900, 1_000, 5_000, 100_000):
            with self.subTest(depth):
                payload = b"[" * depth + b"]" * depth
                parse(b'{"job_id":"a","tasks":[{"name":"tag","payload":%s}]}' % payload)


class Connection(unittest.TestCase):
    def setUp(self):
        self.manager = callers_fake.FakeManager()
        self.server = server.Server(
            "127.0.0.1:0",
            application.Application(
                LIMITS,
                eventlet_runtime.GreenRuntime(),
                self.manager,
                callers_fake.FakeReadinessCheck(),
                callers_fake.FakeSloRecorder(),
            ),
            LIMITS,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 30)
        timeout = eventlet.Timeout(60)
        self.addCleanup(timeout.cancel)

    def send(self, data):
        """Send bytes, shut down the sending side, and return the response."""
        connection = socket.create_connection((self.server.host, self.server.port))
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            return connection.makefile("rb").read()
        except OSError:
            return b""
        finally:
            connection.close()

    def assert_serves(self):
        self.assertIn(b" 200 OK", self.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
        self.assertEqual(self.manager.submitted, [])

    @FEW
    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes(self, data):
        self.send(data)
        self.assert_serves()

    @FEW
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["Content-Length", "Transfer-Encoding", "Expect", "Connection", "Host", "X"]
                ),
                strategies.sampled_from(["chunked", "100-continue", "close", "0", "5", "-1", "ä"])
                | strategies.text(max_size=10),
            ),
            max_size=5,
        )
    )
    def test_any_headers(self, headers):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = f"POST /v1/services/weighing/jobs HTTP/1.1\r\n{lines}\r\n"
        got = self.send(head.encode(errors="replace") + b"hello")
        self.assertNotIn(b" 500 ", got)
        self.assert_serves()


if __name__ == "__main__":
    unittest.main()
