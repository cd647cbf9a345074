"""Where log lines go and how they look: text for a person, JSON for a collector."""

import datetime
import enum
import logging
import os
import sys
import time
from typing import TextIO

import msgspec

LOGGER = "rosedyke"


class Format(enum.Enum):
    """How a log line is written."""

    TEXT = "text"
    JSON = "json"


class TextFormatter(logging.Formatter):
    """``time level E<number> name key=value ...`` on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; what a caller sent can't begin another one."""
        line = f"{timestamp(record.created)} {record.levelname} {record.getMessage()}"
        if record.exc_info:
            line += " traceback=" + self.formatException(record.exc_info)
        return line.replace("\r", "\\r").replace("\n", "\\n")


class JsonFormatter(logging.Formatter):
    """One JSON object a line, with the event's fields under ``fields``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        line: dict[str, object] = {
            "time": timestamp(record.created),
            "level": record.levelname.lower(),
        }
        if hasattr(record, "event"):
            line["event"] = record.event
            line["name"] = record.event_name
            line["fields"] = record.fields
        else:
            line["message"] = record.getMessage()
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor, never blocks on it, and bounds their number.

    A reader that stops reading would otherwise stop the whole process with its requests, and a
    flood of lines would cost more than the work that they tell of.  What is left out is counted,
    and the count is written with the next line that fits.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking; a pipe then takes a line whole or not at all.
    lines_per_s : float
        On average; a tenth of a minute's worth may come at once.
    """

    # A pipe takes no more than this at one time as a whole.
    MAX_BYTES = 4096
    BURST_S = 6.0

    def __init__(self, descriptor: int, lines_per_s: float):
        super().__init__()
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.allowed = lines_per_s * self.BURST_S
        self.counted_at = time.monotonic()
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as left out."""
        now = time.monotonic()
        grown = self.allowed + (now - self.counted_at) * self.lines_per_s
        self.allowed = min(grown, self.lines_per_s * self.BURST_S)
        self.counted_at = now
        if self.allowed < 1:
            self.left_out += 1
            return
        line = self.format(record).encode()
        if self.left_out:
            line = b'{"log_lines_left_out":%d}\n' % self.left_out + line
        try:
            os.write(self.descriptor, line[: self.MAX_BYTES - 1] + b"\n")
        except OSError:
            # Nobody reads, or the pipe is full: the count says so once somebody reads again.
            self.left_out += 1
            return
        self.left_out = 0
        self.allowed -= 1


def timestamp(seconds: float) -> str:
    """Return a time in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def configure(
    level: str,
    style: Format,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> None:
    """Send the product's log lines to a handler or a stream, by default standard error."""
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if style is Format.JSON else TextFormatter())
    logger = logging.getLogger(LOGGER)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
