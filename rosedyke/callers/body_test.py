import unittest

from rosedyke.callers import bad_request, body, settings
from rosedyke.job import code

LIMITS = settings.CallersSettings()


def parse(data, attempt="1", age_ms=None):
    headers = body.parse_headers(attempt, age_ms)
    return body.parse("weighing", headers, data, LIMITS)


class Parse(unittest.TestCase):
    def test_payload_is_kept_byte_for_byte(self):
        data = b'{"job_id":"a","tasks":[{"name":"tag","payload":{"kg": 1.50, "n":"\\u00e9"}}]}'
        request = parse(data)
        self.assertEqual(request.tasks[0].payload, b'{"kg": 1.50, "n":"\\u00e9"}')
        self.assertTrue(request.is_first)

    def test_submission_without_attempt_header_is_not_a_first_attempt(self):
        request = parse(b'{"job_id":"a","tasks":[{"name":"tag"}]}', attempt=None)
        self.assertFalse(request.is_first)

    def test_submission_without_headers_has_the_maximum_age(self):
        """A caller without headers may have submitted the job before.

        With an age of 0, an instance that started after that would report the job as new, and it
        would run twice.
        """
        request = parse(b'{"job_id":"a","tasks":[{"name":"tag"}]}', attempt=None)
        self.assertEqual(request.age_s, LIMITS.unknown_age_s)
        request = parse(b'{"job_id":"a","tasks":[{"name":"tag"}]}', attempt="1")
        self.assertEqual(request.age_s, 0.0)

    def test_later_attempt_without_age_is_refused(self):
        with self.assertRaises(bad_request.BadRequest) as raised:
            parse(b'{"job_id":"a","tasks":[{"name":"tag"}]}', attempt="2")
        self.assertIs(raised.exception.reason, code.Code.INVALID_FIELD)

    def test_age_in_milliseconds_becomes_seconds(self):
        request = parse(b'{"job_id":"a","tasks":[{"name":"tag"}]}', attempt="2", age_ms="1500")
        self.assertEqual(request.age_s, 1.5)

    def test_invalid_bodies(self):
        task = '{"name":"tag"}'
        for reason, text in [
            (code.Code.MALFORMED, ""),
            (code.Code.MALFORMED, "{"),
            (code.Code.MALFORMED, '{"job_id":"a","tasks":[' + task + "]} x"),
            (code.Code.MALFORMED, '{"job_id":"a","job_id":"b","tasks":[' + task + "]}"),
            (code.Code.MALFORMED, '{"job_id":"a","tasks":[{"name":"tag","name":"day"}]}'),
            (
                code.Code.MALFORMED,
                '{"job_id":"a","tasks":[{"name":"tag","payload":{"kg":1,"kg":2}}]}',
            ),
            (code.Code.MALFORMED, '{"job_id":"a","tasks":[{"name":"tag","payload":NaN}]}'),
            (code.Code.MALFORMED, "[" * 100_000),
            (code.Code.INVALID_FIELD, "[]"),
            (code.Code.INVALID_FIELD, "{}"),
            (code.Code.INVALID_FIELD, '{"job_id":7,"tasks":[' + task + "]}"),
            (code.Code.INVALID_FIELD, '{"job_id":"","tasks":[' + task + "]}"),
            (code.Code.INVALID_FIELD, '{"job_id":"a/b","tasks":[' + task + "]}"),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[]}'),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[{"name":""}]}'),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[' + task + '],"timeout":5}'),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[' + task + '],"timeout_s":0}'),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[' + task + '],"idempotent":1}'),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[{"name":"t","run_time_s":-1}]}'),
            (code.Code.INVALID_FIELD, '{"job_id":"a","tasks":[{"name":"t","size":{"cores":-1}}]}'),
            (
                code.Code.TOO_MANY_TASKS,
                '{"job_id":"a","tasks":[' + ",".join([task] * 301) + "]}",
            ),
        ]:
            with self.subTest(text[:80]), self.assertRaises(bad_request.BadRequest) as raised:
                parse(text.encode())
            self.assertIs(raised.exception.reason, reason, text[:80])

    def test_invalid_utf8(self):
        with self.assertRaises(bad_request.BadRequest) as raised:
            parse(b'{"job_id":"a","tasks":[{"name":"tag","payload":"\xff"}]}')
        self.assertIs(raised.exception.reason, code.Code.MALFORMED)

    def test_300_tasks_are_accepted(self):
        tasks = ",".join(['{"name":"tag"}'] * 300)
        self.assertEqual(len(parse(b'{"job_id":"a","tasks":[%s]}' % tasks.encode()).tasks), 300)


class Headers(unittest.TestCase):
    def test_values_out_of_range(self):
        for attempt, age in [("0", None), ("-1", None), ("x", None), ("1", "1.5"), ("9" * 30, "0")]:
            with self.subTest(attempt=attempt, age=age), self.assertRaises(bad_request.BadRequest):
                body.parse_headers(attempt, age)


class Digest(unittest.TestCase):
    def test_differs_for_each_part(self):
        def digest(service, text):
            headers = body.Headers(1, 0.0)
            data = b'{"job_id":"a",' + text + b"}"
            return body.parse(service, headers, data, LIMITS).digest

        digests = [
            digest("weighing", b'"tasks":[{"name":"tag","payload":12}]'),
            digest("weighing", b'"tasks":[{"name":"tag1","payload":2}]'),
            digest("weighing", b'"tasks":[{"name":"tag","payload":12},{"name":"tag"}]'),
            digest("weighing", b'"tasks":[{"name":"tag","payload":12}],"idempotent":true'),
            digest("weighing", b'"tasks":[{"name":"tag","payload":12,"size":{"cores":1}}]'),
            digest("sealing", b'"tasks":[{"name":"tag","payload":12}]'),
        ]
        self.assertEqual(len(set(digests)), len(digests))

    def test_is_independent_of_the_timeout(self):
        first = parse(b'{"job_id":"a","tasks":[{"name":"tag"}],"timeout_s":5}')
        second = parse(b'{"job_id":"a","tasks":[{"name":"tag"}],"timeout_s":4}', "2", "1000")
        self.assertEqual(first.digest, second.digest)


if __name__ == "__main__":
    unittest.main()
