"""Reads request bodies within bounds of size, time and memory."""

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet

from rosedyke.callers import body, events, metrics, settings
from rosedyke.job import code
from rosedyke.observe import event, metric

PIECE_BYTES = 64 * 1024


class BodyReader:
    """Reads bodies and counts what they hold of the instance's memory.

    Parameters
    ----------
    limits : CallersSettings
        The bounds.
    """

    def __init__(self, limits: settings.CallersSettings):
        self.limits = limits
        self.held_bytes = 0

    @contextlib.contextmanager
    def read(self, environ: dict[str, Any]) -> Iterator[bytes]:
        """Yield the body; its memory counts as held until the block ends.

        Raises
        ------
        body.BadRequest
            Too large, too slow, cut short, or too much held by other requests.
        """
        held = [0]
        try:
            yield self._read(environ, held)
        finally:
            self.held_bytes -= held[0]

    def _read(self, environ, held):
        length = environ.get("CONTENT_LENGTH")
        expected = int(length) if length else None
        if expected is not None and expected > self.limits.max_body_bytes:
            raise self._too_large()
        self._hold(held, expected or 0)
        # The bound is on the whole body: a bound on each read would let a caller that sends one
        # byte now and then hold its memory and its connection for hours.
        timeout = eventlet.Timeout(self.limits.body_timeout_s)
        try:
            return self._read_all(environ["wsgi.input"], expected, held)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            metric.count(metrics.CUT_OFF)
            event.log(events.CALLER_TOO_SLOW, caller=environ.get("REMOTE_ADDR"), part="body")
            raise body.BadRequest(
                code.Code.CALLER_TOO_SLOW,
                f"the body did not arrive within {self.limits.body_timeout_s} s",
            ) from error
        except OSError as error:
            raise _cut_short() from error
        except ValueError as error:
            raise body.BadRequest(code.Code.MALFORMED, "the chunks have no length") from error
        finally:
            timeout.cancel()

    def _read_all(self, stream, expected, held):
        if expected is not None:
            data = stream.read(expected)
            if len(data) < expected:
                raise _cut_short()
            return data
        pieces = []
        size = 0
        while piece := stream.read(PIECE_BYTES):
            size += len(piece)
            if size > self.limits.max_body_bytes:
                raise self._too_large()
            self._hold(held, len(piece))
            pieces.append(piece)
        return b"".join(pieces)

    def _hold(self, held, size):
        if self.held_bytes + size > self.limits.max_bodies_bytes:
            event.log(events.BODIES_FULL, held_bytes=self.held_bytes)
            raise body.BadRequest(
                code.Code.OVERLOADED, "the bodies of other requests fill the instance's memory"
            )
        held[0] += size
        self.held_bytes += size

    def _too_large(self):
        return body.BadRequest(
            code.Code.TOO_LARGE, f"the body may have {self.limits.max_body_bytes} bytes at most"
        )


def _cut_short() -> body.BadRequest:
    # Not "malformed": a copy of the request may have arrived whole elsewhere.
    return body.BadRequest(code.Code.CALLER_TOO_SLOW, "the body was cut short")
