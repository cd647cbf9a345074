"""The HTTP server of an instance: eventlet's WSGI server with bounds on what a peer may hold.

eventlet's own limits leave three gaps.  It bounds the time of one read but not of a whole
request, so a peer that sends a byte now and then holds a connection for ever.  It answers
unreadable requests without a body.  It lets connections beyond its limit wait in silence.
"""

import contextlib
import functools
import time

import eventlet
import eventlet.patcher
import greenlet
from eventlet import greenio, wsgi
from eventlet.green import socket

from rosedyke.callers import events, metrics, problem, settings
from rosedyke.job import answer, code
from rosedyke.observe import event, metric

BACKLOG = 1024
# How long and how much is read after a refusal, so that the caller can read it.
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024
RETRY_AFTER_S = 1.0
# Connections over the limit that are answered at one time; more are closed without an answer.
MAX_REFUSALS = 64
# Waiting for requests that have arrived but were not begun, when the server stops.
SETTLE_S = 0.002
SETTLE_LIMIT_S = 0.5

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


class Protocol(wsgi.HttpProtocol):
    """One connection: reads requests within bounds of time and size, and answers in order."""

    def __init__(self, owner: "Server", conn_state, server):
        self.owner = owner
        self.bounds = owner.limits
        self.requests = 0
        self.idle_since = 0.0
        self.is_readable = False
        self.must_linger = False
        self.is_ending = False
        owner.protocols.add(self)
        try:
            super().__init__(conn_state, server)
        finally:
            owner.protocols.discard(self)

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
        if self.owner.is_draining:
            self.close_connection = True
        self.environ = self.get_environ()
        self.environ["rosedyke.refused"] = self._close_unless_read
        self.application = self.server.app
        try:
            self.handle_one_response()
        except OSError:
            # The caller is gone; the job's answer is kept for its next attempt.
            self.close_connection = True

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


def has_input(protocols: list[Protocol]) -> bool:
    """Return whether bytes have arrived on any of the connections that nobody has read yet."""
    poll = _select.poll()
    for one in protocols:
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


class _Connections:
    """The pool of connections; one too many is told so instead of waiting in silence.

    A connection that idles between two requests makes room for a new one.  Otherwise callers that
    keep many open, or hold them on purpose, would keep all others out.
    """

    def __init__(self, owner: "Server"):
        self.owner = owner
        self.served = eventlet.GreenPool(owner.limits.max_connections)
        self.refused = eventlet.GreenPool(MAX_REFUSALS)

    def spawn(self, function, connection):
        """Serve a connection, or refuse it if there are too many."""
        metric.gauge(metrics.CONNECTIONS, self.served.running())
        if self.served.free() > 0 or self.owner.close_longest_idle():
            return self.served.spawn(function, connection)
        metric.count(metrics.CONNECTIONS_REFUSED)
        event.log(events.CONNECTIONS_FULL, connections=self.served.running())
        if self.refused.free() > 0:
            return self.refused.spawn(self._refuse, connection[1])
        return eventlet.spawn(connection[1].close)

    def _refuse(self, connection):
        final = answer.Answer(
            "",
            code.Code.OVERLOADED,
            answer.Ran.UNKNOWN,
            detail="the instance has too many connections",
            retry_after_s=RETRY_AFTER_S,
        )
        connection.settimeout(LINGER_S)
        try:
            connection.sendall(refusal_bytes(final))
        except OSError:
            return
        linger(connection)

    def waitall(self):
        """Wait until every connection has ended."""
        self.served.waitall()
        self.refused.waitall()


class Server:
    """Serves an application on one address.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 lets the kernel choose.
    application : callable
        The WSGI application.
    limits : CallersSettings
        The bounds.
    """

    def __init__(self, address: str, application, limits: settings.CallersSettings):
        self.limits = limits
        self.application = application
        self.protocols: set[Protocol] = set()
        self.is_draining = False
        host, port = address.rsplit(":", 1)
        self.socket = eventlet.listen((host, int(port)), backlog=BACKLOG)
        self.host, self.port = self.socket.getsockname()[:2]
        self.thread = None

    @property
    def address(self) -> str:
        """The address with the port that the kernel chose."""
        return f"{self.host}:{self.port}"

    def start(self) -> None:
        """Accept connections from now on."""
        self.thread = eventlet.spawn(
            wsgi.server,
            self.socket,
            self.application,
            protocol=functools.partial(Protocol, self),
            custom_pool=_Connections(self),
            log_output=False,
            debug=False,
            keepalive=True,
        )
        event.log(events.LISTENING, address=self.address)

    def drain(self) -> None:
        """Close each connection with its next answer."""
        self.is_draining = True

    def stop(self, timeout_s: float) -> bool:
        """Stop accepting, let requests in progress end, and return whether all ended in time."""
        self.drain()
        if self.thread is None or self.thread.dead:
            self.socket.close()
            return True
        self._settle()
        # The accept loop closes idle connections and waits for the others.
        self.thread.kill()
        with eventlet.Timeout(timeout_s, False):
            with contextlib.suppress(greenlet.GreenletExit):
                self.thread.wait()
            return True
        return False

    def close_longest_idle(self) -> bool:
        """Close the connection that has waited longest for its next request, if there is one."""
        idle = [one for one in self.protocols if one.requests and not one.is_busy()]
        for one in sorted(idle, key=lambda one: one.idle_since):
            if not has_input([one]):
                greenio.shutdown_safe(one.connection)
                return True
        return False

    def _settle(self):
        """Let requests that have arrived on idle connections begin before those are closed."""
        with eventlet.Timeout(SETTLE_LIMIT_S, False):
            while has_input([one for one in self.protocols if not one.is_busy()]):
                eventlet.sleep(SETTLE_S)
