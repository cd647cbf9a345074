"""Log formatters and handlers: plain text for people, JSON lines for log collectors."""

import datetime
import enum
import logging
import os
import sys
import time
from typing import TextIO

import msgspec

LOGGER_NAME = "rosedyke"


class Format(enum.Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class TextFormatter(logging.Formatter):
    """``time level E<number> name key=value ...`` on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line with newlines escaped, so that field values can't forge log lines."""
        line = f"{timestamp(record.created)} {record.levelname} {record.getMessage()}"
        if record.exc_info:
            line += " traceback=" + self.formatException(record.exc_info)
        return line.replace("\r", "\\r").replace("\n", "\\n")


class JsonFormatter(logging.Formatter):
    """One JSON object per line, with the event's fields under ``fields``."""

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


class RateLimitedHandler(logging.Handler):
    """Non-blocking handler for a file descriptor, rate-limited by a token bucket.

    A log reader that stops reading can't block the process, and a burst of log lines can't take
    the time of requests.  Dropped lines are counted, and the count is written before the next line.

    Parameters
    ----------
    file_descriptor : int
        Switched to non-blocking mode, in which a pipe accepts a whole line or nothing.
    lines_per_s : float
        Average rate; bursts may have as many lines as ``BURST_S`` seconds allow.
    """

    # PIPE_BUF on Linux: larger writes to a pipe are not atomic.
    MAX_LINE_BYTES = 4096
    BURST_S = 6.0

    def __init__(self, file_descriptor: int, lines_per_s: float):
        super().__init__()
        self.file_descriptor = file_descriptor
        self.lines_per_s = lines_per_s
        self.tokens = lines_per_s * self.BURST_S
        self.refilled_at = time.monotonic()
        self.dropped_lines = 0
        os.set_blocking(file_descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        now = time.monotonic()
        refilled = self.tokens + (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(refilled, self.lines_per_s * self.BURST_S)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped_lines += 1
            return
        line = self.format(record).encode()
        if self.dropped_lines:
            line = b'{"log_lines_left_out":%d}\n' % self.dropped_lines + line
        try:
            os.write(self.file_descriptor, line[: self.MAX_LINE_BYTES - 1] + b"\n")
        except OSError:
            # The pipe is full or closed; the count is reported when writing works again.
            self.dropped_lines += 1
            return
        self.dropped_lines = 0
        self.tokens -= 1


def timestamp(unix_seconds: float) -> str:
    """Return a time in UTC with milliseconds."""
    time_utc = datetime.datetime.fromtimestamp(unix_seconds, datetime.UTC)
    return time_utc.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def configure(
    level: str,
    line_format: Format,
    stream: TextIO | None = None,
    handler: logging.Handler | None = None,
) -> None:
    """Send the log lines of rosedyke to a handler or a stream, by default standard error."""
    handler = handler or logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if line_format is Format.JSON else TextFormatter())
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
