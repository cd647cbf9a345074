"""Where log lines go and how they look: text for a person, JSON for a collector."""

import datetime
import enum
import logging
import sys
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


def timestamp(seconds: float) -> str:
    """Return a time in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def configure(level: str, style: Format, stream: TextIO | None = None) -> None:
    """Send the product's log lines to a stream, by default standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter() if style is Format.JSON else TextFormatter())
    logger = logging.getLogger(LOGGER)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
