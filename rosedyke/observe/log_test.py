import io
import json
import logging
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
