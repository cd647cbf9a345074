import io
import json
import logging
import os
import unittest

from rosedyke.observe import event, log

SAMPLE = event.Event(9999, "sample", logging.WARNING, "For this test.")


class Configured(unittest.TestCase):
    def setUp(self):
        logger = logging.getLogger(log.LOGGER)
        self.addCleanup(setattr, logger, "handlers", logger.handlers)
        self.addCleanup(setattr, logger, "propagate", logger.propagate)
        self.addCleanup(logger.setLevel, logger.level)
        self.stream = io.StringIO()

    def test_text(self):
        log.configure("info", log.Format.TEXT, self.stream)
        event.log(SAMPLE, job="a", count=3)
        line = self.stream.getvalue()
        self.assertRegex(line, r"^\d{4}-.*Z WARNING E9999 sample job=a count=3\n$")

    def test_text_of_a_caller_stays_on_its_line(self):
        log.configure("info", log.Format.TEXT, self.stream)
        event.log(SAMPLE, detail="a\nERROR E1 forged")
        self.assertEqual(self.stream.getvalue().count("\n"), 1)

    def test_json(self):
        log.configure("info", log.Format.JSON, self.stream)
        event.log(SAMPLE, job="a", kind=object)
        line = json.loads(self.stream.getvalue())
        self.assertEqual((line["event"], line["name"], line["level"]), (9999, "sample", "warning"))
        self.assertEqual(line["fields"]["job"], "a")

    def test_traceback(self):
        log.configure("info", log.Format.JSON, self.stream)
        try:
            raise RuntimeError("reason")
        except RuntimeError:
            event.log(SAMPLE, exc_info=True)
        self.assertIn("RuntimeError: reason", json.loads(self.stream.getvalue())["traceback"])

    def test_level(self):
        log.configure("error", log.Format.TEXT, self.stream)
        event.log(SAMPLE)
        self.assertEqual(self.stream.getvalue(), "")


if __name__ == "__main__":
    unittest.main()


class Bounded(unittest.TestCase):
    def setUp(self):
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        self.handler = log.BoundedHandler(writing, 10.0)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def emit(self, text):
        self.handler.emit(logging.LogRecord("x", logging.INFO, "", 0, text, (), None))

    def test_reader_that_stops_reading_costs_lines_and_blocks_nobody(self):
        # All requests stand still.  Nobody reads the log, its pipe is full, and a write waits.
        self.handler.allowed = self.handler.lines_per_s = 1e6
        for _ in range(100):
            self.emit("x" * 3000)
        self.assertGreater(self.handler.left_out, 50)
        os.read(self.reading, 1 << 20)
        self.emit("after")
        lines = os.read(self.reading, 1 << 20).decode().splitlines()
        self.assertRegex(lines[0], r'^\{"log_lines_left_out":\d+\}$')
        self.assertEqual(lines[1], "after")

    def test_flood_is_cut_to_the_budget(self):
        for _ in range(200):
            self.emit("line")
        written = os.read(self.reading, 1 << 20).count(b"\n")
        self.assertLess(written, 70)
        self.assertEqual(written + self.handler.left_out, 200)
