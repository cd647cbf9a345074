import contextlib
import json
import socket
import threading
import unittest

from rosedyke.callers import client
from rosedyke.job import answer, code

TEST_TIMEOUT_S = 30


def complete(request):
    content = json.dumps({"job_id": request.body["job_id"], "results": [1]})
    return response(200, content)


def response(status, content):
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(content)}\r\nConnection: close\r\n\r\n"
    return (head + content).encode()


def refusal(status, reason, ran, retry_after_s=None):
    def reply(request):
        document = {
            "type": "x",
            "title": "x",
            "status": status,
            "code": reason.value,
            "outcome": "failed",
            "ran": ran,
            "job_id": request.body["job_id"],
        }
        if retry_after_s is not None:
            document["retry_after_s"] = retry_after_s
        return response(status, json.dumps(document))

    return reply


def close_without_answer(request):
    """Close the connection without an answer."""
    return b""


class Request:
    def __init__(self, file):
        self.line = file.readline().decode()
        self.headers = {}
        while (line := file.readline().strip()) != b"":
            name, _, value = line.decode().partition(":")
            self.headers[name.lower()] = value.strip()
        content = file.read(int(self.headers.get("content-length", 0)))
        self.body = json.loads(content) if content else {"job_id": "a"}


class FakeInstance:
    """A server that answers each connection with the next of the given handlers."""

    def __init__(self, handlers):
        self.handlers = list(handlers)
        self.requests = []
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                with connection:
                    connection.settimeout(TEST_TIMEOUT_S)
                    request = Request(connection.makefile("rb"))
                    self.requests.append(request)
                    connection.sendall(self.handlers.pop(0)(request))

    def stop(self):
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.thread.join(TEST_TIMEOUT_S)


class FakeClock:
    """A clock that advances only when it sleeps."""

    def __init__(self):
        self.time = 100.0
        self.sleeps = []

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.sleeps.append(seconds)
        self.time += seconds


class ClientTestCase(unittest.TestCase):
    def instance(self, *handlers):
        instance = FakeInstance(handlers)
        self.addCleanup(instance.stop)
        return instance

    def refused_address(self):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            return f"127.0.0.1:{unused.getsockname()[1]}"

    def client(self, *addresses):
        self.clock = FakeClock()
        return client.Client(
            client.ClientSettings(addresses, attempt_timeout_s=TEST_TIMEOUT_S),
            self.clock.now,
            self.clock.sleep,
            lambda: 0.0,
        )

    def submit(self, job_client, timeout_s=60.0):
        tasks = [client.Task("tag", {"kg": 1})]
        return job_client.submit("weighing", tasks, timeout_s, "a", is_first=True)


class Submit(ClientTestCase):
    def test_complete_answer_to_the_first_attempt(self):
        instance = self.instance(complete)
        final = self.submit(self.client(instance.address))
        self.assertEqual((final.job_id, final.results), ("a", (b"1",)))
        request = instance.requests[0]
        self.assertEqual(request.headers["rosedyke-attempt"], "1")
        self.assertEqual(request.headers["rosedyke-age-ms"], "0")
        self.assertEqual(request.body["tasks"], [{"name": "tag", "payload": {"kg": 1}}])

    def test_refused_connect_does_not_count_as_attempt(self):
        """The first instance is down, so nothing was sent.

        At the second one it is still the first attempt, which saves the lookups of a resubmission.
        """
        instance = self.instance(complete)
        self.submit(self.client(self.refused_address(), instance.address))
        self.assertEqual(instance.requests[0].headers["rosedyke-attempt"], "1")

    def test_lost_connection_counts_as_attempt(self):
        """An instance fails after it has received the request.

        The job may be running there, so the next submission must be marked as the second attempt.
        """
        first = self.instance(close_without_answer)
        second = self.instance(complete)
        job_client = self.client(first.address, second.address)
        self.submit(job_client)
        self.assertEqual(second.requests[0].headers["rosedyke-attempt"], "2")

    def test_age_is_measured_with_the_monotonic_clock(self):
        instance = self.instance(close_without_answer, complete)
        self.submit(self.client(instance.address))
        age_ms = int(instance.requests[1].headers["rosedyke-age-ms"])
        self.assertEqual(age_ms, int(sum(self.clock.sleeps) * 1000))
        self.assertGreater(age_ms, 0)

    def test_resubmission_has_a_shorter_timeout_and_the_same_tasks(self):
        instance = self.instance(close_without_answer, complete)
        self.submit(self.client(instance.address))
        first, second = (request.body for request in instance.requests)
        self.assertLess(second.pop("timeout_s"), first.pop("timeout_s"))
        self.assertEqual(first, second)

    def test_retry_after_is_honoured(self):
        instance = self.instance(refusal(503, code.Code.OVERLOADED, "no", 3.0), complete)
        self.submit(self.client(instance.address))
        self.assertGreaterEqual(sum(self.clock.sleeps), 3.0)
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "2")

    def test_draining_instance_is_skipped_without_delay(self):
        first = self.instance(refusal(503, code.Code.DRAINING, "no", 3.0))
        second = self.instance(complete)
        self.submit(self.client(first.address, second.address))
        self.assertEqual(self.clock.sleeps, [])

    def test_error_page_of_a_load_balancer_is_retried(self):
        instance = self.instance(
            lambda request: response(502, "<html>bad gateway</html>"), complete
        )
        self.submit(self.client(instance.address))
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "2")

    def test_closed_attempt_is_followed_by_the_next_number(self):
        instance = self.instance(refusal(409, code.Code.ATTEMPT_CLOSED, "no"), complete)
        self.submit(self.client(instance.address))
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "2")

    def test_caller_supplied_id_is_not_marked_as_first_attempt(self):
        """A process submits a job, crashes, and submits it again after a restart.

        Marking it as a first attempt would skip the lookup that finds the first run in another
        data centre.
        """
        instance = self.instance(complete, complete)
        self.client(instance.address).submit("weighing", [client.Task("tag")], job_id="a")
        self.assertNotIn("rosedyke-attempt", instance.requests[0].headers)
        self.assertNotIn("rosedyke-age-ms", instance.requests[0].headers)
        self.client(instance.address).submit("weighing", [client.Task("tag")])
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "1")


class Failure(ClientTestCase):
    def test_error_class_depends_on_whether_the_job_ran(self):
        for reason, ran, expected in [
            (code.Code.CAN_NEVER_RUN, "no", client.JobNotRun),
            (code.Code.TASK_FAILED, "yes", client.JobFailed),
            (code.Code.HOLDER_LOST, "unknown", client.JobUnknown),
        ]:
            with self.subTest(reason):
                instance = self.instance(refusal(500, reason, ran))
                with self.assertRaises(expected) as raised:
                    self.submit(self.client(instance.address))
                self.assertIs(raised.exception.answer.code, reason)

    def test_unreachable_instances_mean_not_run(self):
        job_client = self.client(self.refused_address(), self.refused_address())
        with self.assertRaises(client.JobNotRun) as raised:
            self.submit(job_client, 5.0)
        self.assertIs(raised.exception.answer.code, code.Code.DEADLINE)

    def test_lost_attempt_means_unknown_even_if_later_connects_are_refused(self):
        instance = self.instance(close_without_answer)
        job_client = self.client(instance.address)

        def reply(request):
            instance.socket.close()
            return b""

        instance.handlers[:] = [reply]
        with self.assertRaises(client.JobUnknown):
            self.submit(job_client, 5.0)

    def test_refusals_until_the_deadline_mean_not_run(self):
        instance = self.instance(*[refusal(503, code.Code.OVERLOADED, "no", 3.0)] * 2)
        with self.assertRaises(client.JobNotRun):
            self.submit(self.client(instance.address), 5.0)

    def test_answer_for_another_job_is_rejected(self):
        other = json.dumps({"job_id": "b", "results": [2]})
        instance = self.instance(lambda request: response(200, other))
        with self.assertRaises(client.JobUnknown):
            self.submit(self.client(instance.address))


class Lookup(ClientTestCase):
    def test_running_job(self):
        content = json.dumps({"job_id": "a", "outcome": "running", "holder": "north-1"})
        instance = self.instance(lambda request: response(202, content))
        with self.assertRaises(client.JobRunning):
            self.client(instance.address).find("a")

    def test_unreachable_instance_is_skipped(self):
        instance = self.instance(complete)
        final = self.client(self.refused_address(), instance.address).find("a")
        self.assertIs(final.ran, answer.Ran.YES)

    def test_cancelled_job(self):
        instance = self.instance(refusal(409, code.Code.CANCELLED, "no"))
        with self.assertRaises(client.JobNotRun):
            self.client(instance.address).cancel("a")
        self.assertTrue(instance.requests[0].line.startswith("DELETE /v1/jobs/a "))


if __name__ == "__main__":
    unittest.main()
