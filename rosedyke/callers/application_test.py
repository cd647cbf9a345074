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

API_PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "API.md"
EXAMPLE = re.compile(r"```sh\n(curl .*?)```\n\n```(json|text)\n(.*?)```", re.DOTALL)


class Input:
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
        "wsgi.input": Input(content),
    }
    for name, value in headers:
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    begun = []
    pieces = app(environ, lambda status, fields: begun.append((status, fields)))
    status, fields = begun[0]
    return int(status.split()[0]), dict(fields), b"".join(pieces)


class ApplicationCase(unittest.TestCase):
    def setUp(self):
        self.manager = callers_fake.FakeManager()
        self.gate = callers_fake.FakeGate()
        self.recorder = callers_fake.FakeRecorder()
        self.application = application.Application(
            settings.CallersSettings(),
            eventlet_runtime.GreenRuntime(),
            self.manager,
            self.gate,
            self.recorder,
        )


class Examples(ApplicationCase):
    """The page's curl commands, each with the answer that the page shows."""

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
        words = shlex.split(command.replace("\\\n", " "))
        method, headers, content, url = "GET", [], b"", None
        rest = iter(words[1:])
        for word in rest:
            if word == "-X":
                method = next(rest)
            elif word == "-H":
                name, _, value = next(rest).partition(": ")
                headers.append((name, value))
            elif word == "-d":
                content = next(rest).encode()
            elif not word.startswith("-"):
                url = urllib.parse.urlsplit(word)
        return call(self.application, method, url.path, headers, content)

    def test_each_command_gives_the_answer_shown(self):
        examples = EXAMPLE.findall(API_PAGE.read_text())
        self.assertEqual(len(examples), API_PAGE.read_text().count("```sh"))
        for command, kind, shown in examples:
            with self.subTest(command):
                _, _, content = self.request(command)
                if kind == "json":
                    self.assertEqual(json.loads(content), json.loads(shown))
                else:
                    self.assertEqual(content.decode(), shown)

    def test_page_shows_every_path(self):
        commands = " ".join(command for command, _, _ in EXAMPLE.findall(API_PAGE.read_text()))
        for part in ("POST", "DELETE", "/v1/jobs/", "/healthz", "/readyz", "/v1/services/"):
            self.assertIn(part, commands)


class Submit(ApplicationCase):
    PATH = "/v1/services/weighing/jobs"
    BODY = b'{"job_id":"a","tasks":[{"name":"tag","payload":1}]}'

    def test_submission_has_what_headers_and_body_say(self):
        headers = [("Rosedyke-Attempt", "3"), ("Rosedyke-Age-Ms", "250")]
        status, _, _ = call(self.application, "POST", self.PATH, headers, self.BODY)
        self.assertEqual(status, 200)
        request = self.manager.submitted[0]
        self.assertEqual(
            (request.service, request.job_id, request.attempt, request.age_s),
            ("weighing", "a", 3, 0.25),
        )

    def test_timeout_that_nobody_named_is_one_that_the_service_allows(self):
        self.application.longest_timeout_s = {"weighing": 10.0}.get
        call(self.application, "POST", self.PATH, [], self.BODY)
        call(self.application, "POST", "/v1/services/other/jobs", [], self.BODY)
        timeouts = [request.timeout_s for request in self.manager.submitted]
        self.assertEqual(timeouts, [10.0, settings.CallersSettings().default_timeout_s])

    def test_bad_request_is_not_recorded_against_the_objective(self):
        status, _, _ = call(self.application, "POST", self.PATH, [], b"{")
        self.assertEqual(status, 400)
        self.assertEqual(self.recorder.records, [])

    def test_refusal_is_recorded_and_its_body_is_released(self):
        self.manager.answers["a"] = answer.Answer(
            "a", code.Code.OVERLOADED, answer.Ran.NO, retry_after_s=1.0
        )
        headers = [("Rosedyke-Attempt", "1")]
        status, fields, _ = call(self.application, "POST", self.PATH, headers, self.BODY)
        self.assertEqual((status, fields["Retry-After"]), (503, "1"))
        self.assertEqual(self.recorder.records[0][1].ran, answer.Ran.NO)
        self.assertEqual(self.application.reader.held_bytes, 0)
        self.assertEqual(self.application.in_progress, 0)


if __name__ == "__main__":
    unittest.main()
