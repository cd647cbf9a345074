import json
import pathlib
import re
import shlex
import unittest
import urllib.parse

from rosedyke.callers import application, settings
from rosedyke.daemon import eventlet_runtime
from rosedyke.job import answer, code
from rosedyke.standins import callers_fake

API_PAGE_PATH = pathlib.Path(__file__).resolve().parents[2] / "docs" / "API.md"
EXAMPLE_PATTERN = re.compile(r"```sh\n(curl .*?)```\n\n```(json|text)\n(.*?)```", re.DOTALL)


class FakeInput:
    def __init__(self, content):
        self.content = content

    def read(self, size):
        return self.content


def call(app, method, path, headers=(), content=b""):
    """Call the application as its server would and return (status, headers, body)."""
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(content)),
        "wsgi.input": FakeInput(content),
    }
    for name, value in headers:
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    started = []
    chunks = app(
        environ, lambda status, response_headers: started.append((status, response_headers))
    )
    status, response_headers = started[0]
    return int(status.split()[0]), dict(response_headers), b"".join(chunks)


class ApplicationTestCase(unittest.TestCase):
    def setUp(self):
        self.manager = callers_fake.FakeManager()
        self.readiness_check = callers_fake.FakeReadinessCheck()
        self.slo_recorder = callers_fake.FakeSloRecorder()
        self.application = application.Application(
            settings.CallersSettings(),
            eventlet_runtime.GreenRuntime(),
            self.manager,
            self.readiness_check,
            self.slo_recorder,
        )


class DocumentedExamples(ApplicationTestCase):
    """The curl commands of docs/API.md return the responses shown there."""

    def setUp(self):
        super().setUp()
        complete = (b'{"tag":"B17"}', b'{"tag":"B18"}')
        self.manager.answers = {
            "scale-3:8f1c": answer.Answer(
                "scale-3:8f1c", code.Code.COMPLETE, answer.Ran.YES, complete
            ),
            "tally:2031": answer.Answer("tally:2031", code.Code.CANCELLED, answer.Ran.NO),
        }

    def request(self, command):
        arguments = shlex.split(command.replace("\\\n", " "))
        method, headers, content, url = "GET", [], b"", None
        remaining = iter(arguments[1:])
        for argument in remaining:
            if argument == "-X":
                method = next(remaining)
            elif argument == "-H":
                name, _, value = next(remaining).partition(": ")
                headers.append((name, value))
            elif argument == "-d":
                content = next(remaining).encode()
            elif not argument.startswith("-"):
                url = urllib.parse.urlsplit(argument)
        return call(self.application, method, url.path, headers, content)

    def test_each_command_returns_the_response_shown(self):
        examples = EXAMPLE_PATTERN.findall(API_PAGE_PATH.read_text())
        self.assertEqual(len(examples), API_PAGE_PATH.read_text().count("```sh"))
        for command, content_type, expected in examples:
            with self.subTest(command):
                _, _, content = self.request(command)
                if content_type == "json":
                    self.assertEqual(json.loads(content), json.loads(expected))
                else:
                    self.assertEqual(content.decode(), expected)

    def test_api_page_shows_every_path(self):
        commands = " ".join(
            command for command, _, _ in EXAMPLE_PATTERN.findall(API_PAGE_PATH.read_text())
        )
        for fragment in ("POST", "DELETE", "/v1/jobs/", "/healthz", "/readyz", "/v1/services/"):
            self.assertIn(fragment, commands)


class Submission(ApplicationTestCase):
    PATH = "/v1/services/weighing/jobs"
    BODY = b'{"job_id":"a","tasks":[{"name":"tag","payload":1}]}'

    def test_submission_has_the_values_of_headers_and_body(self):
        headers = [("Rosedyke-Attempt", "3"), ("Rosedyke-Age-Ms", "250")]
        status, _, _ = call(self.application, "POST", self.PATH, headers, self.BODY)
        self.assertEqual(status, 200)
        request = self.manager.submitted[0]
        self.assertEqual(
            (request.service, request.job_id, request.attempt, request.age_s),
            ("weighing", "a", 3, 0.25),
        )

    def test_default_timeout_is_capped_at_the_service_maximum(self):
        self.application.max_timeout_s = {"weighing": 10.0}.get
        call(self.application, "POST", self.PATH, [], self.BODY)
        call(self.application, "POST", "/v1/services/other/jobs", [], self.BODY)
        timeouts = [request.timeout_s for request in self.manager.submitted]
        self.assertEqual(timeouts, [10.0, settings.CallersSettings().default_timeout_s])

    def test_bad_request_is_not_recorded(self):
        status, _, _ = call(self.application, "POST", self.PATH, [], b"{")
        self.assertEqual(status, 400)
        self.assertEqual(self.slo_recorder.records, [])

    def test_refusal_is_recorded_and_its_memory_is_released(self):
        self.manager.answers["a"] = answer.Answer(
            "a", code.Code.OVERLOADED, answer.Ran.NO, retry_after_s=1.0
        )
        headers = [("Rosedyke-Attempt", "1")]
        status, response_headers, _ = call(self.application, "POST", self.PATH, headers, self.BODY)
        self.assertEqual((status, response_headers["Retry-After"]), (503, "1"))
        self.assertEqual(self.slo_recorder.records[0][1].ran, answer.Ran.NO)
        self.assertEqual(self.application.reader.reserved_bytes, 0)
        self.assertEqual(self.application.in_progress, 0)


if __name__ == "__main__":
    unittest.main()
