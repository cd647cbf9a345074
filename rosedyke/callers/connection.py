"""One connection of a caller: eventlet's WSGI protocol with bounds on what a peer may hold.

eventlet bounds the time of one read but not of a whole request, so a peer that sends a byte now
and then holds a connection for ever.  It also answers unreadable requests without a body.
"""

import time
from typing import Protocol

import eventlet
import eventlet.patcher
from eventlet import greenio, wsgi
from eventlet.green import socket

from rosedyke.callers import events, metrics, problem, settings
from rosedyke.job import answer, code
from rosedyke.observe import event, metric

# How long and how much is read after a refusal, so that the caller can read it.
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
# Between a caller's connect and its first request, more than the network takes.
NEW_S = 0.5

# eventlet's green ``select`` has no ``poll``; this one never blocks.
_select = eventlet.patcher.original("select")


class _TooLarge(Exception):
    """The headers of a request are beyond their bound."""


class _BoundedLines:
    """Lines of a request's headers, up to a bound for all together."""

    def __init__(self, file, limit: int):
        self.file = file
        self.left = limit

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; its size is bounded by what is left, not by ``size``."""
        line = self.file.readline(self.left + 1)
        self.left -= len(line)
        if self.left < 0:
            raise _TooLarge
        return line


class _BoundedWriter:
    """Writes an answer, each piece within a bound of time.

    A caller that stops reading would otherwise hold its answer's memory for ever; the socket's
    own timeout starts anew with each byte that passes.
    """

    def __init__(self, file, connection, limit_s: float):
        self.file = file
        self.connection = connection
        self.limit_s = limit_s

    def __getattr__(self, name):
        return getattr(self.file, name)

    def writelines(self, pieces):
        """Write several pieces."""
        self._bounded(self.file.writelines, pieces)

    def write(self, piece):
        """Write one piece."""
        self._bounded(self.file.write, piece)

    def flush(self):
        """Send what is buffered."""
        self._bounded(self.file.flush)

    def _bounded(self, function, *arguments):
        timeout = eventlet.Timeout(self.limit_s)
        try:
            function(*arguments)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            metric.count(metrics.CUT_OFF)
            event.log(events.CALLER_TOO_SLOW, part="answer")
            greenio.shutdown_safe(self.connection)
            raise TimeoutError("the caller does not take its answer") from error
        finally:
            timeout.cancel()


class Owner(Protocol):
    """The server that a connection belongs to."""

    limits: settings.CallersSettings
    is_draining: bool
    connections: "set[Connection]"


class Connection(wsgi.HttpProtocol):
    """Reads requests within bounds of time and size, and answers them in order."""

    def __init__(self, owner: Owner, conn_state, server):
        self.owner = owner
        self.bounds = owner.limits
        self.requests = 0
        self.opened = self.idle_since = time.monotonic()
        self.is_readable = False
        self.must_linger = False
        self.is_ending = False
        owner.connections.add(self)
        try:
            super().__init__(conn_state, server)
        finally:
            owner.connections.discard(self)

    def setup(self):
        """Prepare the two directions of the connection."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        self.wfile = _BoundedWriter(self.wfile, self.connection, self.bounds.write_timeout_s)

    def handle_one_request(self):
        """Serve one request or give up on the connection."""
        if not self._wait_for_first_byte():
            self.close_connection = True
            return
        self.conn_state[2] = wsgi.STATE_REQUEST
        self.requests += 1
        self.is_readable = False
        timeout = eventlet.Timeout(self.bounds.header_timeout_s)
        try:
            self._read_headers()
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            metric.count(metrics.CUT_OFF)
            event.log(events.CALLER_TOO_SLOW, caller=self.client_address[0], part="headers")
            self.refuse(code.Code.CALLER_TOO_SLOW, "the headers did not arrive in time")
        except _TooLarge:
            self.refuse(
                code.Code.TOO_LARGE,
                f"the headers may have {self.bounds.max_header_bytes} bytes at most",
            )
        except OSError:
            self.close_connection = True
        finally:
            timeout.cancel()
        if self.is_readable:
            self._serve()

    def is_busy(self) -> bool:
        """Return whether a request is being read or served."""
        return self.is_ending or self.conn_state[2] != wsgi.STATE_IDLE

    def is_new(self) -> bool:
        """Return whether the first request may still be on its way."""
        return not self.requests and time.monotonic() < self.opened + NEW_S

    def end_if_idle(self) -> bool:
        """Close the connection unless a request is in progress or has arrived."""
        if self.is_busy() or has_input([self]):
            return False
        greenio.shutdown_safe(self.connection)
        return True

    def _wait_for_first_byte(self):
        """Return whether a request begins before the connection has been idle for too long."""
        wait_s = self.bounds.idle_timeout_s if self.requests else self.bounds.header_timeout_s
        self.idle_since = time.monotonic()
        self.connection.settimeout(wait_s)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            # Longer than the bounds on whole requests, which are the ones that answer.
            self.connection.settimeout(self.bounds.header_timeout_s + self.bounds.body_timeout_s)

    def _read_headers(self):
        original = self.rfile
        self.rfile = _BoundedLines(original, self.bounds.max_header_bytes)
        try:
            self.raw_requestline = self.rfile.readline()
            self.is_readable = self.parse_request()
        finally:
            self.rfile = original

    def _serve(self):
        fault = self._framing_fault()
        if fault:
            self.refuse(code.Code.MALFORMED, fault)
            return
        self.environ = self.get_environ()
        self.environ["rosedyke.refused"] = self._close_unless_read
        self.environ["rosedyke.connection"] = self.connection
        self.application = self._call
        try:
            self.handle_one_response()
        except OSError:
            # The caller is gone; the job's answer is kept for its next attempt.
            self.close_connection = True

    def _call(self, environ, start_response):
        result = self.server.app(environ, start_response)
        # Looked at after the request: the shutdown may have begun meanwhile, and the caller must
        # learn from this answer not to send its next request here.
        if self.owner.is_draining:
            self.close_connection = True
        return result

    def _framing_fault(self):
        """Return what makes the length of the body doubtful, None if it is clear.

        What two parsers read differently, one of them takes for the start of another request.
        """
        lengths = self.headers.get_all("content-length") or []
        encodings = self.headers.get_all("transfer-encoding") or []
        if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
            return "the length of the body is given more than once"
        if encodings and encodings[0].strip().lower() != "chunked":
            return "the only transfer encoding is chunked"
        if lengths and not (lengths[0].isascii() and lengths[0].strip().isdigit()):
            return "the length of the body is not a number"
        if lengths and len(lengths[0]) > 18:
            return "the length of the body is not a number"
        return None

    def _close_unless_read(self):
        """Close after a refusal whose request is still on its way in."""
        request = self.environ["eventlet.input"]
        unread = request.position < (request.content_length or 0)
        if unread or (request.chunked_input and request.chunk_length != 0):
            self.close_connection = True
            self.must_linger = True

    def send_error(self, status, message=None, explain=None):
        """Answer what the standard library's parser rejects."""
        self.refuse(code.Code.MALFORMED, message or "the request is not HTTP")

    def refuse(self, reason: code.Code, detail: str, retry_after_s: float | None = None) -> None:
        """Write a problem document and close the connection.

        The headers were not read to the end, so it is open whether an earlier attempt ran.
        """
        self.close_connection = True
        self.must_linger = True
        metric.count(metrics.REJECTED)
        final = answer.Answer("", reason, answer.Ran.UNKNOWN, (), detail, retry_after_s)
        self.wfile.write(refusal_bytes(final))
        self.wfile.flush()

    def finish(self):
        """Close the connection; after a refusal, once the caller could read it.

        Closing a socket with unread input resets the connection, and the reset can overtake the
        refusal: the caller would see a lost connection instead of the reason.
        """
        self.is_ending = True
        if self.must_linger:
            linger(self.connection)
        try:
            super().finish()
        except OSError:
            self.connection.close()


def has_input(connections: list[Connection]) -> bool:
    """Return whether bytes have arrived on any of the connections that nobody has read yet."""
    poll = _select.poll()
    for one in connections:
        poll.register(one.connection.fileno(), _select.POLLIN)
    return bool(poll.poll(0))


def refusal_bytes(final: answer.Answer) -> bytes:
    """Return a whole HTTP response for a refusal that closes its connection."""
    content = problem.document(final)
    lines = [f"HTTP/1.1 {problem.status_line(final)}"]
    lines += [f"{name}: {value}" for name, value in problem.headers(final)]
    lines += [f"Content-Length: {len(content)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + content


def linger(connection: socket.socket) -> None:
    """Say that nothing more is sent, then discard input for a bounded time and size."""
    discarded = 0
    with eventlet.Timeout(LINGER_S, False):
        try:
            connection.shutdown(socket.SHUT_WR)
            while discarded < LINGER_BYTES and (data := connection.recv(65536)):
                discarded += len(data)
        except OSError:
            return
