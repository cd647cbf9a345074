import contextlib
import json
import socket
import threading
import unittest

from rosedyke.callers import client
from rosedyke.job import answer, code

LIMIT_S = 30


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


def lost(request):
    """Take the request and close the connection without an answer."""
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


class Instance:
    """A listening socket that answers each connection as the test's script says."""

    def __init__(self, script):
        self.script = list(script)
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
                    connection.settimeout(LIMIT_S)
                    request = Request(connection.makefile("rb"))
                    self.requests.append(request)
                    connection.sendall(self.script.pop(0)(request))

    def stop(self):
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.thread.join(LIMIT_S)


class Clock:
    """Stands still but for pauses."""

    def __init__(self):
        self.time = 100.0
        self.pauses = []

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.pauses.append(seconds)
        self.time += seconds


class ClientCase(unittest.TestCase):
    def instance(self, *script):
        instance = Instance(script)
        self.addCleanup(instance.stop)
        return instance

    def refused_address(self):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            return f"127.0.0.1:{unused.getsockname()[1]}"

    def client(self, *addresses):
        self.clock = Clock()
        return client.Client(
            client.ClientSettings(addresses, attempt_timeout_s=LIMIT_S),
            self.clock.now,
            self.clock.sleep,
            lambda: 0.0,
        )

    def submit(self, caller, timeout_s=60.0):
        tasks = [client.Task("tag", {"kg": 1})]
        return caller.submit("weighing", tasks, timeout_s, "a", is_first=True)


class Submit(ClientCase):
    def test_whole_answer_at_once(self):
        instance = self.instance(complete)
        final = self.submit(self.client(instance.address))
        self.assertEqual((final.job_id, final.results), ("a", (b"1",)))
        request = instance.requests[0]
        self.assertEqual(request.headers["rosedyke-attempt"], "1")
        self.assertEqual(request.headers["rosedyke-age-ms"], "0")
        self.assertEqual(request.body["tasks"], [{"name": "tag", "payload": {"kg": 1}}])

    def test_refused_connect_is_no_attempt(self):
        """The first instance is down, so no byte leaves.

        At the second one the job is still a first attempt, which spares it the questions that a
        resubmission costs.
        """
        instance = self.instance(complete)
        self.submit(self.client(self.refused_address(), instance.address))
        self.assertEqual(instance.requests[0].headers["rosedyke-attempt"], "1")

    def test_lost_connection_is_an_attempt(self):
        """An instance takes the request and dies before it answers.

        The job may run there, so the next submission must say that it is the second one.
        """
        first = self.instance(lost)
        second = self.instance(complete)
        caller = self.client(first.address, second.address)
        self.submit(caller)
        self.assertEqual(second.requests[0].headers["rosedyke-attempt"], "2")

    def test_age_grows_by_the_monotonic_clock(self):
        instance = self.instance(lost, complete)
        self.submit(self.client(instance.address))
        age_ms = int(instance.requests[1].headers["rosedyke-age-ms"])
        self.assertEqual(age_ms, int(sum(self.clock.pauses) * 1000))
        self.assertGreater(age_ms, 0)

    def test_timeout_shrinks_and_the_tasks_stay_the_same(self):
        instance = self.instance(lost, complete)
        self.submit(self.client(instance.address))
        first, second = (request.body for request in instance.requests)
        self.assertLess(second.pop("timeout_s"), first.pop("timeout_s"))
        self.assertEqual(first, second)

    def test_retry_after_is_honoured(self):
        instance = self.instance(refusal(503, code.Code.OVERLOADED, "no", 3.0), complete)
        self.submit(self.client(instance.address))
        self.assertGreaterEqual(sum(self.clock.pauses), 3.0)
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "2")

    def test_another_instance_is_asked_at_once_when_one_shuts_down(self):
        first = self.instance(refusal(503, code.Code.DRAINING, "no", 3.0))
        second = self.instance(complete)
        self.submit(self.client(first.address, second.address))
        self.assertEqual(self.clock.pauses, [])

    def test_page_of_a_balancer_says_nothing_about_the_job(self):
        instance = self.instance(
            lambda request: response(502, "<html>bad gateway</html>"), complete
        )
        self.submit(self.client(instance.address))
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "2")

    def test_closed_attempt_is_followed_by_a_higher_one(self):
        instance = self.instance(refusal(409, code.Code.ATTEMPT_CLOSED, "no"), complete)
        self.submit(self.client(instance.address))
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "2")

    def test_id_of_the_caller_is_not_vouched_for(self):
        """A process submits a job, dies, and is started again with the same job.

        The library can't know that, so without the caller's word it never says "first attempt":
        that would spare the questions which find the first run in another data centre.
        """
        instance = self.instance(complete, complete)
        self.client(instance.address).submit("weighing", [client.Task("tag")], job_id="a")
        self.assertNotIn("rosedyke-attempt", instance.requests[0].headers)
        self.assertNotIn("rosedyke-age-ms", instance.requests[0].headers)
        self.client(instance.address).submit("weighing", [client.Task("tag")])
        self.assertEqual(instance.requests[1].headers["rosedyke-attempt"], "1")


class Failure(ClientCase):
    def test_final_answers_are_raised_by_what_ran(self):
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

    def test_nobody_reached_means_not_run(self):
        caller = self.client(self.refused_address(), self.refused_address())
        with self.assertRaises(client.JobNotRun) as raised:
            self.submit(caller, 5.0)
        self.assertIs(raised.exception.answer.code, code.Code.DEADLINE)

    def test_lost_attempt_means_unknown_though_later_connects_are_refused(self):
        instance = self.instance(lost)
        caller = self.client(instance.address)

        def reply(request):
            instance.socket.close()
            return b""

        instance.script[:] = [reply]
        with self.assertRaises(client.JobUnknown):
            self.submit(caller, 5.0)

    def test_refusals_until_the_end_are_true_for_the_whole_job(self):
        instance = self.instance(*[refusal(503, code.Code.OVERLOADED, "no", 3.0)] * 2)
        with self.assertRaises(client.JobNotRun):
            self.submit(self.client(instance.address), 5.0)

    def test_answer_for_another_job_is_not_taken(self):
        other = json.dumps({"job_id": "b", "results": [2]})
        instance = self.instance(lambda request: response(200, other))
        with self.assertRaises(client.JobUnknown):
            self.submit(self.client(instance.address))


class Lookup(ClientCase):
    def test_running_job(self):
        content = json.dumps({"job_id": "a", "outcome": "running", "holder": "north-1"})
        instance = self.instance(lambda request: response(202, content))
        with self.assertRaises(client.JobRunning):
            self.client(instance.address).find("a")

    def test_next_instance_is_asked_when_one_is_down(self):
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
