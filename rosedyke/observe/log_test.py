import io
import json
import logging
import os
import unittest

from rosedyke.observe import event, log

SAMPLE_EVENT = event.Event(9999, "sample", logging.WARNING, "For this test.")


class Configure(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger(log.LOGGER_NAME)
        self.addCleanup(setattr, logger, "handlers", logger.handlers)
        self.addCleanup(setattr, logger, "propagate", logger.propagate)
        self.addCleanup(logger.setLevel, logger.level)
        self.stream = io.StringIO()

    def test_text(self):
        log.configure("info", log.Format.TEXT, self.stream)
        event.log(SAMPLE_EVENT, job="a", count=3)
        line = self.stream.getvalue()
        self.assertRegex(line, r"^\d{4}-.*Z WARNING E9999 sample job=a count=3\n$")

    def test_newlines_in_a_field_are_escaped(self):
        log.configure("info", log.Format.TEXT, self.stream)
        event.log(SAMPLE_EVENT, detail="a\nERROR E1 forged")
        self.assertEqual(self.stream.getvalue().count("\n"), 1)

    def test_json(self):
        log.configure("info", log.Format.JSON, self.stream)
        event.log(SAMPLE_EVENT, job="a", kind=object)
        line = json.loads(self.stream.getvalue())
        self.assertEqual((line["event"], line["name"], line["level"]), (9999, "sample", "warning"))
        self.assertEqual(line["fields"]["job"], "a")

    def test_traceback(self):
        log.configure("info", log.Format.JSON, self.stream)
        try:
            raise RuntimeError("reason")
        except RuntimeError:
            event.log(SAMPLE_EVENT, exc_info=True)
        self.assertIn("RuntimeError: reason", json.loads(self.stream.getvalue())["traceback"])

    def test_level(self):
        log.configure("error", log.Format.TEXT, self.stream)
        event.log(SAMPLE_EVENT)
        self.assertEqual(self.stream.getvalue(), "")


if __name__ == "__main__":
    unittest.main()


class RateLimitedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, write_fd)
        self.handler = log.RateLimitedHandler(write_fd, 10.0)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def emit(self, text):
        self.handler.emit(logging.LogRecord("x", logging.INFO, "", 0, text, (), None))

    def test_unread_pipe_drops_lines_without_blocking(self):
        # A blocking write to the full pipe of a stalled log reader would stop all requests.
        self.handler.tokens = self.handler.lines_per_s = 1e6
        for _ in range(100):
            self.emit("x" * 3000)
        self.assertGreater(self.handler.dropped_lines, 50)
        os.read(self.read_fd, 1 << 20)
        self.emit("after")
        lines = os.read(self.read_fd, 1 << 20).decode().splitlines()
        self.assertRegex(lines[0], r'^\{"log_lines_left_out":\d+\}$')
        self.assertEqual(lines[1], "after")

    def test_line_rate_is_limited(self):
        for _ in range(200):
            self.emit("line")
        written = os.read(self.read_fd, 1 << 20).count(b"\n")
        self.assertLess(written, 70)
        self.assertEqual(written + self.handler.dropped_lines, 200)
