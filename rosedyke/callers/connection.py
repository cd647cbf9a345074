"""Connection of a caller: eventlet's WSGI protocol with limits on time and size.

eventlet limits the time of a single read but not of a request, so a peer that sends occasional
bytes could occupy a connection indefinitely.  It also answers malformed requests without a body.
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
from rosedyke.overload import own_delay

# Limits on the input that is discarded after a refusal.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 1024 * 1024
# Time for the first request of a new connection to arrive; more than a network round trip.
FIRST_REQUEST_GRACE_S = 0.5

# eventlet's green ``select`` has no ``poll``; this one never blocks.
_select = eventlet.patcher.original("select")


class _HeadersTooLarge(Exception):
    """The headers of a request exceed the size limit."""


class _LimitedLineReader:
    """Reads the lines of a request's headers up to a total size."""

    def __init__(self, file, max_bytes: int):
        self.file = file
        self.remaining_bytes = max_bytes

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; ``size`` is ignored in favour of the remaining bytes."""
        line = self.file.readline(self.remaining_bytes + 1)
        self.remaining_bytes -= len(line)
        if self.remaining_bytes < 0:
            raise _HeadersTooLarge
        return line


class _TimeoutWriter:
    """Writes a response with a timeout on each write.

    A caller that stops reading would otherwise keep its response in memory indefinitely, because
    the socket's timeout restarts with each byte sent.  Most responses fit into the socket's buffer
    and need neither a timeout nor a copy in the file's buffer.

    Attributes
    ----------
    has_pending : bool
        The file's buffer holds bytes that were not sent at once.
    """

    def __init__(self, file, connection, timeout_s: float, delay: own_delay.OwnDelay | None):
        self.file = file
        self.connection = connection
        self.timeout_s = timeout_s
        self.delay = delay
        self.has_pending = False

    def __getattr__(self, name):
        return getattr(self.file, name)

    def writelines(self, chunks):
        """Write several chunks."""
        self.write(b"".join(chunks))

    def write(self, chunk):
        """Write one chunk."""
        if self.delay is not None:
            self.delay.record_sent(len(chunk))
        rest = chunk if self.has_pending else self._send_at_once(chunk)
        if rest:
            self.has_pending = True
            self._write_with_timeout(self.file.write, rest)

    def _send_at_once(self, chunk):
        """Send what the socket's buffer takes and return the rest."""
        try:
            return chunk[self.connection.fd.send(chunk) :]
        except BlockingIOError:
            return chunk

    def flush(self):
        """Flush the buffer."""
        if self.has_pending:
            self._write_with_timeout(self.file.flush)
            self.has_pending = False

    def _write_with_timeout(self, function, *arguments):
        timeout = eventlet.Timeout(self.timeout_s)
        try:
            function(*arguments)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            metric.count(metrics.CUT_OFF)
            event.log(events.CALLER_TOO_SLOW, part="answer")
            greenio.shutdown_safe(self.connection)
            raise TimeoutError("the caller does not read its response") from error
        finally:
            timeout.cancel()


class ConnectionOwner(Protocol):
    """Interface of the server that owns a connection."""

    limits: settings.CallersSettings
    is_draining: bool
    connections: "set[Connection]"
    delay: own_delay.OwnDelay | None


class Connection(wsgi.HttpProtocol):
    """Reads requests with limits on time and size, and answers them in order."""

    def __init__(self, owner: ConnectionOwner, conn_state, server):
        self.owner = owner
        self.request_limits = owner.limits
        self.request_count = 0
        self.opened_at = self.idle_since = time.monotonic()
        self.is_readable = False
        self.must_linger = False
        self.is_closing = False
        owner.connections.add(self)
        try:
            super().__init__(conn_state, server)
        finally:
            owner.connections.discard(self)

    def setup(self):
        """Set socket options and limit the time of writes."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        self.wfile = _TimeoutWriter(
            self.wfile, self.connection, self.request_limits.write_timeout_s, self.owner.delay
        )

    def handle_one_request(self):
        """Serve one request, or close the connection."""
        if not self._wait_for_first_byte():
            self.close_connection = True
            return
        self.conn_state[2] = wsgi.STATE_REQUEST
        self.request_count += 1
        self.is_readable = False
        timeout = eventlet.Timeout(self.request_limits.header_timeout_s)
        try:
            self._read_headers()
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            metric.count(metrics.CUT_OFF)
            event.log(events.CALLER_TOO_SLOW, caller=self.client_address[0], part="headers")
            self.refuse(code.Code.CALLER_TOO_SLOW, "the headers did not arrive in time")
        except _HeadersTooLarge:
            self.refuse(
                code.Code.TOO_LARGE,
                f"the headers may have {self.request_limits.max_header_bytes} bytes at most",
            )
        except OSError:
            self.close_connection = True
        finally:
            timeout.cancel()
        if self.is_readable:
            self._serve()

    def is_busy(self) -> bool:
        """Return whether a request is being read or served."""
        return self.is_closing or self.conn_state[2] != wsgi.STATE_IDLE

    def awaits_first_request(self) -> bool:
        """Return whether the first request of a new connection may still arrive."""
        return not self.request_count and time.monotonic() < self.opened_at + FIRST_REQUEST_GRACE_S

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is in progress or has arrived."""
        if self.is_busy() or has_input([self]):
            return False
        greenio.shutdown_safe(self.connection)
        return True

    def _wait_for_first_byte(self):
        """Return whether a request begins before the idle timeout."""
        wait_s = (
            self.request_limits.idle_timeout_s
            if self.request_count
            else self.request_limits.header_timeout_s
        )
        self.idle_since = time.monotonic()
        self.connection.settimeout(wait_s)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self._set_request_timeout()

    def _set_request_timeout(self):
        # Longer than the timeouts of a request, which send a response when they expire.
        self.connection.settimeout(
            self.request_limits.header_timeout_s + self.request_limits.body_timeout_s
        )

    def _read_headers(self):
        original_file = self.rfile
        self.rfile = _LimitedLineReader(original_file, self.request_limits.max_header_bytes)
        try:
            self.raw_requestline = self.rfile.readline()
            self.is_readable = self.parse_request()
        finally:
            header_bytes = self.request_limits.max_header_bytes - self.rfile.remaining_bytes
            self.rfile = original_file
            self._record_received(header_bytes)

    def _record_received(self, size):
        if self.owner.delay is not None:
            self.owner.delay.record_received(size)

    def _serve(self):
        framing_error = self._find_framing_error()
        if framing_error:
            self.refuse(code.Code.MALFORMED, framing_error)
            return
        # Bodies in chunks have no length here; the few that callers send are not recorded.
        self._record_received(int(self.headers.get("content-length") or 0))
        self.environ = self.get_environ()
        self.environ["rosedyke.refused"] = self._close_if_unread
        self.environ["rosedyke.connection"] = self.connection
        self.environ["rosedyke.connection_s"] = time.monotonic() - self.opened_at
        self.environ["rosedyke.request_number"] = self.request_count
        self.application = self._call_application
        try:
            self.handle_one_response()
        except OSError:
            # The caller has disconnected; the job's answer is cached for its next attempt.
            self.close_connection = True

    def _call_application(self, environ, start_response):
        result = self.server.app(environ, start_response)
        # Checked after the request, in case the shutdown began in the meantime: the response must
        # tell the caller not to reuse the connection.  Requests that it has sent already are
        # served.
        if self.owner.is_draining and not self._has_next_request():
            self.close_connection = True
        return result

    def _has_next_request(self):
        """Return whether a further request has arrived behind one that was read completely."""
        if self._is_unread():
            return False
        self.connection.settimeout(0)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self._set_request_timeout()

    def _find_framing_error(self):
        """Return why the length of the body is ambiguous, None if it isn't.

        Guards against request smuggling: parsers that disagree on the length disagree on where the
        next request starts.
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

    def _close_if_unread(self):
        """Close the connection after a rejection if the request was not read completely."""
        if self._is_unread():
            self.close_connection = True
            self.must_linger = True

    def _is_unread(self):
        request = self.environ["eventlet.input"]
        is_unread = request.position < (request.content_length or 0)
        return is_unread or (request.chunked_input and request.chunk_length != 0)

    def send_error(self, status, message=None, explain=None):
        """Refuse a request that the standard library's parser rejects."""
        self.refuse(code.Code.MALFORMED, message or "the request is not HTTP")

    def refuse(self, reason: code.Code, detail: str, retry_after_s: float | None = None) -> None:
        """Write a problem document and close the connection.

        Whether an earlier attempt ran is unknown, because the headers were not read completely.
        """
        self.close_connection = True
        self.must_linger = True
        metric.count(metrics.REJECTED)
        final = answer.Answer("", reason, answer.Ran.UNKNOWN, (), detail, retry_after_s)
        self.wfile.write(refusal_bytes(final))
        self.wfile.flush()

    def finish(self):
        """Close the connection; after a refusal, give the caller time to read it.

        Closing a socket with unread input resets the connection, and the caller may see the reset
        instead of the refusal.
        """
        self.is_closing = True
        if self.must_linger:
            linger(self.connection)
        try:
            super().finish()
        except OSError:
            self.connection.close()


def has_input(connections: list[Connection]) -> bool:
    """Return whether any of the connections has unread input."""
    poll = _select.poll()
    for conn in connections:
        poll.register(conn.connection.fileno(), _select.POLLIN)
    return bool(poll.poll(0))


def refusal_bytes(final: answer.Answer) -> bytes:
    """Return the complete HTTP response of a refusal that closes the connection."""
    content = problem.document(final)
    lines = [f"HTTP/1.1 {problem.status_line(final)}"]
    lines += [f"{name}: {value}" for name, value in problem.headers(final)]
    lines += [f"Content-Length: {len(content)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + content


def linger(connection: socket.socket) -> None:
    """Shut down the sending side, then discard input up to a time and size limit."""
    discarded_bytes = 0
    with eventlet.Timeout(LINGER_TIMEOUT_S, False):
        try:
            connection.shutdown(socket.SHUT_WR)
            while discarded_bytes < MAX_LINGER_BYTES and (data := connection.recv(65536)):
                discarded_bytes += len(data)
        except OSError:
            return
