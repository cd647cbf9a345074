"""Reads request bodies, with limits on size, time and total memory."""

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet

from rosedyke.callers import bad_request, events, metrics, settings
from rosedyke.job import code
from rosedyke.observe import event, metric

CHUNK_BYTES = 64 * 1024


class BodyReader:
    """Reads request bodies and accounts for the memory that they use.

    Parameters
    ----------
    limits : CallersSettings
        Limits on bodies.
    """

    def __init__(self, limits: settings.CallersSettings):
        self.limits = limits
        self.reserved_bytes = 0

    @contextlib.contextmanager
    def read(self, environ: dict[str, Any]) -> Iterator[bytes]:
        """Yield the body; its memory is accounted for until the block ends.

        Raises
        ------
        bad_request.BadRequest
            The body is too large, too slow or truncated, or other requests use too much memory.
        """
        reservation = [0]
        try:
            yield self._read(environ, reservation)
        finally:
            self.reserved_bytes -= reservation[0]

    def _read(self, environ, reservation):
        length = environ.get("CONTENT_LENGTH")
        expected = int(length) if length else None
        if expected is not None and expected > self.limits.max_body_bytes:
            raise self._too_large()
        self._reserve(reservation, expected or 0)
        # The timeout covers the whole body: with one per read, a caller that sends single bytes
        # could occupy memory and a connection for hours.
        timeout = eventlet.Timeout(self.limits.body_timeout_s)
        try:
            return self._read_all(environ["wsgi.input"], expected, reservation)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            metric.count(metrics.CUT_OFF)
            event.log(events.CALLER_TOO_SLOW, caller=environ.get("REMOTE_ADDR"), part="body")
            raise bad_request.BadRequest(
                code.Code.CALLER_TOO_SLOW,
                f"the body did not arrive within {self.limits.body_timeout_s} s",
            ) from error
        except OSError as error:
            raise _truncated() from error
        except ValueError as error:
            raise bad_request.BadRequest(
                code.Code.MALFORMED, "the chunks have no length"
            ) from error
        finally:
            timeout.cancel()

    def _read_all(self, stream, expected, reservation):
        if expected is not None:
            data = stream.read(expected)
            if len(data) < expected:
                raise _truncated()
            return data
        chunks = []
        size = 0
        while chunk := stream.read(CHUNK_BYTES):
            size += len(chunk)
            if size > self.limits.max_body_bytes:
                raise self._too_large()
            self._reserve(reservation, len(chunk))
            chunks.append(chunk)
        return b"".join(chunks)

    def _reserve(self, reservation, size):
        if self.reserved_bytes + size > self.limits.max_bodies_bytes:
            event.log(events.BODIES_FULL, held_bytes=self.reserved_bytes)
            raise bad_request.BadRequest(
                code.Code.OVERLOADED, "the bodies of other requests fill the instance's memory"
            )
        reservation[0] += size
        self.reserved_bytes += size

    def _too_large(self):
        return bad_request.BadRequest(
            code.Code.TOO_LARGE, f"the body may have {self.limits.max_body_bytes} bytes at most"
        )


def _truncated() -> bad_request.BadRequest:
    # Not "malformed": a copy of the request may have reached another instance completely.
    return bad_request.BadRequest(code.Code.CALLER_TOO_SLOW, "the body was cut short")
